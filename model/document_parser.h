/// @file
/// The whole document as one text, split into its sections and put together again.
///
///     BOOST_LEAF_AUTO(document, parse_document(text, "mesh.yaml"));
///     document.sections["routes.certdesk"];                       // text of the section's value, comments kept
///     std::string text = render_document(document.sections);      // parse_document(text) gives the same sections
///
/// Each section stands on lines of its own. Comments inside a section (indented deeper than its name) stay with it;
/// comments between sections belong to the file and are not stored.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "kernel/result.h"
#include "model/document.h"
#include "model/yaml_reader.h"

namespace heatherdeck {

/// Where each section's text comes from, by name; used for the places in errors.
using section_places = std::map<std::string, yaml_source>;

/// Text of each section by name.
using section_texts = std::map<std::string, std::string>;

struct parsed_document {
  section_texts sections;
  section_places places;
};

/// @param text YAML map with the single key `sections`.
/// @param file_name used in the places of errors.
/// @return the sections, or `bad_document` with file, line and remedy.
result<parsed_document> parse_document(std::string_view text, const std::string& file_name);

/// @return the whole document as YAML; sections in the order of their names.
std::string render_document(const section_texts& sections);

/// @return the texts of a state's sections.
section_texts texts_of(const document_state& state);

/// Splits a section's name.
/// @return its kind, or `bad_document` when the name is not `kind` or `kind.suffix`.
result<section_kind> kind_of_section(std::string_view name);

}  // namespace heatherdeck
