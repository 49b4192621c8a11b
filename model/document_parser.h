/// @file
/// Splits the text of a whole document into its sections and joins sections into a document. The command-line client
/// uses it; control hosts and nodes handle sections only.
///
///     BOOST_LEAF_AUTO(document, parse_document(text, "mesh.yaml"));
///     document.sections["routes.certdesk"];                       // text of the section's value, comments kept
///     std::string text = render_document(document.sections);      // parse_document(text) gives the same sections
///
/// Each section must be on lines of its own. Comments inside a section (indented deeper than its name) are kept with
/// it; comments between sections belong to the file and are not stored.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "kernel/result.h"
#include "model/document.h"
#include "model/yaml_reader.h"

namespace heatherdeck {

/// Location of each section's text in its file, by section name; used in errors.
using section_places = std::map<std::string, yaml_source>;

/// Text of each section, by section name.
using section_texts = std::map<std::string, std::string>;

/// A document split into sections.
struct parsed_document {
  section_texts sections;
  section_places places;
};

/// @param text YAML map with the single key `sections`.
/// @param file_name for the locations in errors.
/// @return the sections, or `bad_document` with file, line and remedy.
result<parsed_document> parse_document(std::string_view text, const std::string& file_name);

/// @return the whole document as YAML, with the sections sorted by name.
std::string render_document(const section_texts& sections);

/// @return the texts of all sections of a state.
section_texts section_texts_of(const document_state& state);

/// @return the kind of a section, or `bad_document` when the name is not `kind` or `kind.suffix`.
result<section_kind> kind_of_section(std::string_view name);

}  // namespace heatherdeck
