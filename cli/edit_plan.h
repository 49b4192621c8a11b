/// @file
/// Computes which sections an operator has changed, by comparing the edited document with its base.
///
///     std::vector<section_edit> edits = changed_sections(document.sections, base);
///
/// The base file contains, as JSON, the document that `show --out` wrote next to it.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "kernel/result.h"
#include "model/document_parser.h"
#include "model/ledger_messages.h"

namespace heatherdeck {

/// @param base the document on which the edits were made.
/// @return one edit for each section that was added, changed or removed; a removal has an empty text.
std::vector<section_edit> changed_sections(const section_texts& edited, const document_state& base);

/// @param current the document that is in force now.
/// @param base version on which the edits were made. The control host refuses an edit of a section that changed after
/// it as a conflict, so that no other operator's change is overwritten.
std::vector<section_edit> changed_sections(const section_texts& edited, const document_state& current,
                                           const version& base);

/// @return the base with the accepted edits applied, for the next submission of the same file.
document_state updated_base(document_state base, const std::vector<section_edit>& edits, const version& accepted);

/// Reads a base file.
/// @return the document, or `bad_message` when the file is not a valid base file.
result<document_state> read_base(const std::string& path);

/// Writes a base file.
result<void> write_base(const std::string& path, const document_state& base);

}  // namespace heatherdeck
