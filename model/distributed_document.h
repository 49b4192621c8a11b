/// @file
/// The part of a document that leaves the control hosts. Sections with API keys are kept by control hosts only.
///
///     document_state_ptr sent = distributed_part(state);        // of the same version; without `account_keys`
#pragma once

#include <string_view>

#include "model/ledger_messages.h"

namespace heatherdeck {

/// @return whether only control hosts may have the section.
bool kept_by_control_hosts(std::string_view section_name);

/// @return the state without the sections that only control hosts keep; `state` itself if it has none.
document_state_ptr distributed_part(document_state_ptr state);

}  // namespace heatherdeck
