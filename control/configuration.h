/// @file
/// A whole configuration as one JSON text, and the sections of the document that hold it.
///
/// Operators who keep one text for everything send it with a label that rises. The text is cut into sections, so that a
/// change of one route is a change of one small section, and is put together again when it is read:
///
///     BOOST_LEAF_AUTO(sent, read_configuration(body));            // {"version": "0000000c", "routes": {...}, ...}
///     std::vector<section_edit> edits = edits_to(sent, document);
///     std::string whole = write_configuration(document);
///
/// Members: `version` (the label), `routes` (a map of routes by name), `services`, and `limits` of callers; see
/// model/section_parser.h for their content. Members that are left out are empty. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/result.h"
#include "model/ledger_messages.h"

namespace heatherdeck {

struct configuration {
  std::uint64_t label = 0;
  std::map<std::string, std::string> sections;  ///< by name
};

/// Length of a label, in hexadecimal digits.
inline constexpr std::size_t label_digits = 8;

/// @return the number that a label of eight hexadecimal digits stands for, or `bad_document`.
result<std::uint64_t> read_label_number(std::string_view text);

/// @return the parts of the text, or `bad_document`; cross-references are checked when the sections are accepted.
result<configuration> read_configuration(std::string_view json);

/// @return the label of the document's configuration; 0 when it has none.
std::uint64_t label_of(const document_state& document);

/// @return the edits that turn the document's configuration into the given one; sections of other kinds stay.
std::vector<section_edit> edits_to(const configuration& wanted, const document_state& document);

/// @return the document's configuration as JSON; empty when it has none.
std::string write_configuration(const document_state& document);

}  // namespace heatherdeck
