// Cost: one copy of the state if it has such sections.
#include "model/distributed_document.h"

#include <algorithm>

#include "kernel/enum_names.h"

namespace heatherdeck {

bool kept_by_control_hosts(std::string_view section_name) {
  return section_name.substr(0, section_name.find('.')) == to_name(section_kind::account_keys);
}

document_state_ptr distributed_part(document_state_ptr state) {
  const auto kept = [](const auto& item) { return kept_by_control_hosts(item.first); };
  if (!state || std::none_of(state->sections.begin(), state->sections.end(), kept)) return state;
  auto sent = std::make_shared<document_state>();
  sent->document_version = state->document_version;
  sent->rollouts = state->rollouts;
  sent->withdrawn = state->withdrawn;
  for (const auto& item : state->sections) {
    if (!kept(item)) sent->sections.insert(item);
  }
  return sent;
}

}  // namespace heatherdeck
