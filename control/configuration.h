/// @file
/// Converts between a complete configuration as one JSON text and the sections of the document that store it.
///
/// The platform's operators submit the complete configuration as one text with an increasing label. The text is split
/// into sections, so that a change of one route edits one small section, and is reassembled when it is read. Called by
/// the configuration service (platform/configuration_service.h):
///
///     BOOST_LEAF_AUTO(sent, parse_configuration(body));            // {"version": "0000000c", "routes": {...}, ...}
///     std::vector<section_edit> edits = diff_configuration(sent, document);
///     std::string whole = serialize_configuration(document);
///
/// Members: `version` (the label), `routes` (a map of routes by name), `services`, `limits` of callers, and optionally
/// `accounts` (a map of client accounts by name); see model/section_parser.h and model/account_section.h for their
/// content. Pure functions, no I/O.
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
  std::uint64_t label = 0;                      ///< number given by the operators; not the version of the document
  std::map<std::string, std::string> sections;  ///< text of each section, by section name
};

/// Length of a label in its text form, in hexadecimal digits.
inline constexpr std::size_t label_hex_digits = 8;

/// @return the value of a label that is written in eight hexadecimal digits, or `bad_document`.
result<std::uint64_t> parse_label(std::string_view text);

/// @return the label and the sections of the text, or `bad_document`. References between sections are not checked
/// here but when the ledger accepts the sections.
result<configuration> parse_configuration(std::string_view json);

/// @return the label of the configuration that the document stores; 0 when it stores none.
std::uint64_t configuration_label(const document_state& document);

/// @return the edits that turn the document's configuration into `wanted`; sections of other kinds, such as rollouts,
/// are left unchanged.
std::vector<section_edit> diff_configuration(const configuration& wanted, const document_state& document);

/// @return the document's configuration as JSON; empty when it stores none.
std::string serialize_configuration(const document_state& document);

}  // namespace heatherdeck
