// Section texts are compared byte by byte, so a changed comment is a change.
//
// Invariant: the base revision of an edit is that of the text on which the edit was made, never a later one. Cost:
// linear in the size of the document.
#include "cli/edit_plan.h"

#include <algorithm>

#include <boost/json/serialize.hpp>

#include "cli/files.h"
#include "wire/operator_api.h"

namespace heatherdeck {

std::vector<section_edit> changed_sections(const section_texts& edited, const document_state& base) {
  std::vector<section_edit> edits;
  for (const auto& [name, text] : edited) {
    const auto old = base.sections.find(name);
    if (old == base.sections.end()) {
      edits.push_back({name, text, {}});
    } else if (old->second.text != text) {
      edits.push_back({name, text, old->second.revision});
    }
  }
  for (const auto& [name, old] : base.sections) {
    if (!edited.contains(name)) edits.push_back({name, {}, old.revision});
  }
  return edits;
}

std::vector<section_edit> changed_sections(const section_texts& edited, const document_state& current,
                                           const version& base) {
  std::vector<section_edit> edits = changed_sections(edited, current);
  for (section_edit& edit : edits) edit.base = std::min(edit.base, base);
  return edits;
}

document_state updated_base(document_state base, const std::vector<section_edit>& edits, const version& accepted) {
  base.document_version = accepted;
  for (const section_edit& edit : edits) {
    if (edit.text.empty()) {
      base.sections.erase(edit.name);
    } else {
      base.sections[edit.name] = {edit.name, edit.text, accepted};
    }
  }
  return base;
}

result<document_state> read_base(const std::string& path) {
  BOOST_LEAF_AUTO(text, read_file(path));
  const outcome<document_state> base = capture([&]() -> result<document_state> {
    BOOST_LEAF_AUTO(body, parse_json(text));
    return from_json<document_state>(body);
  });
  if (base) return *base;
  return fail(error_kind::bad_message, "the file is not a valid base file: " + base.failure().text,
              "create one with 'heatherdeck show --out=FILE'", path);
}

result<void> write_base(const std::string& path, const document_state& base) {
  return write_file(path, boost::json::serialize(to_json(base)) + "\n");
}

}  // namespace heatherdeck
