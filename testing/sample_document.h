/// @file
/// A sample document (the one of docs/design.md), and random document states for property tests.
///
///     document_state state = sample_state();
///     std::mt19937_64 random(7);
///     document_state later = random_successor(state, random);
#pragma once

#include <random>
#include <string>

#include "model/document.h"
#include "model/document_parser.h"

namespace heatherdeck {

/// The sample document as YAML.
inline constexpr const char* sample_text = R"(sections:
  services:
    certdesk: { versions: [v1, v2, v3], slots: 20, connections: 130 }
    recordhold: { versions: [v1] }
  # between two sections
  routes.certdesk:
    # lookups keep ferries moving
    - name: lookup
      match: { host: certdesk.pwani, path_prefix: /certificates, method: GET, headers: { x-team: ferry } }
      service: certdesk
      timeout_ms: 800
      idempotent: true
  shares:
    certdesk: { v1: 90, v3: 10 }
  rollouts:
    certdesk: { from: v1, to: v2, finish_within_s: 600, watch_s: 300, max_first_share: 1 }
  limits:
    certdesk: { in_flight: 140, retry_ratio: 0.1 }
)";

/// @return a state at version 1.1 with these sections, all with revision 1.1.
inline document_state make_state(const section_texts& sections) {
  document_state state;
  state.document_version = {1, 1};
  for (const auto& [name, text] : sections) state.sections[name] = {name, text, {1, 1}};
  return state;
}

/// @return the state of the sample document, at version 1.1.
inline document_state sample_state() {
  return make_state(capture([] { return parse_document(sample_text, "sample.yaml"); })->sections);
}

/// @return a later state: `base` with up to four random changes of sections, rollouts or withdrawn versions.
inline document_state random_successor(const document_state& base, std::mt19937_64& random) {
  document_state next = base;
  next.document_version.index += 1 + random() % 5;
  for (std::uint64_t changes_left = random() % 4 + 1; changes_left != 0; --changes_left) {
    const std::string name = "routes.r" + std::to_string(random() % 8);
    const std::string service = "s" + std::to_string(random() % 4);
    switch (random() % 5) {
      case 0:
        next.sections.erase(name);
        break;
      case 1:
        next.rollouts.erase(service);
        break;
      case 2:
        next.rollouts[service] = {service, "v1", "v2", static_cast<basis_points>(random() % 10'000)};
        break;
      case 3:
        next.withdrawn.try_emplace({service, "v2"}, withdrawn_version{service, "v2", "failed", next.document_version});
        break;
      default:
        next.sections[name] = {name, std::string(random() % 300, 'x') + "\n", next.document_version};
    }
  }
  return next;
}

}  // namespace heatherdeck
