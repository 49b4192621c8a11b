/// @file
/// Which sections an operator has changed, found by comparing the edited document with its base.
///
///     std::vector<section_edit> edits = changed_sections(document.sections, base);
///
/// The base file is the JSON of the document that `show --out` saved beside it.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "kernel/result.h"
#include "model/document_parser.h"
#include "model/ledger_messages.h"

namespace heatherdeck {

/// @param base the document on which the edits were made.
/// @return one edit for each section that is new, differs or is gone.
std::vector<section_edit> changed_sections(const section_texts& edited, const document_state& base);

/// @param current the document as it is now.
/// @param base version on which the edits were made; a section that changed later gives a conflict, so that nobody's
/// change is overwritten unseen.
std::vector<section_edit> changed_sections(const section_texts& edited, const document_state& current,
                                           const version& base);

/// @return the base with the accepted edits in it, for the next submission from the same file.
document_state base_after(document_state base, const std::vector<section_edit>& edits, const version& accepted);

/// Reads a base file.
result<document_state> read_base(const std::string& path);

/// Writes a base file.
result<void> write_base(const std::string& path, const document_state& base);

}  // namespace heatherdeck
