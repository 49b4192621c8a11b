/// @file
/// The configuration document as the control hosts replicate it and nodes receive it.
///
/// `document_state` is the replicated value: the operators' sections as YAML text, and the entries that the system
/// writes itself (progress of rollouts, withdrawn upstream versions). A `document_delta` turns one state into a later
/// one; `model/document_delta.h` makes and applies deltas. The parsed form that traffic decisions use is in
/// `model/compiled_document.h`.
///
/// A document file is a YAML map with the single key `sections`; a section's name is its kind or `kind.suffix`.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "kernel/enum_names.h"
#include "model/version.h"

namespace heatherdeck {

// Limits of a document; a document beyond one of them is refused.
inline constexpr std::size_t max_section_bytes = std::size_t{64} * 1024;
inline constexpr std::size_t max_document_bytes = std::size_t{4} * 1024 * 1024;
inline constexpr std::size_t max_sections = 512;
inline constexpr std::size_t max_document_depth = 16;  ///< nesting of maps and lists within a section

/// A share of a service's traffic in basis points (hundredths of a percent); 10,000 is all traffic.
using basis_points = std::uint32_t;
inline constexpr basis_points full_share = 10'000;

/// What a section configures; the first part of its name.
enum class section_kind {
  services,
  routes,
  shares,
  rollouts,
  limits,
  callers,
  label,
  evacuations,
  accounts,
  account_keys
};

template <>
struct enum_table<section_kind> {
  static constexpr auto entries = std::to_array<enum_entry<section_kind>>({
      {section_kind::services, "services"},
      {section_kind::routes, "routes"},
      {section_kind::shares, "shares"},
      {section_kind::rollouts, "rollouts"},
      {section_kind::limits, "limits"},
      {section_kind::callers, "callers"},
      {section_kind::label, "label"},
      {section_kind::evacuations, "evacuations"},
      {section_kind::accounts, "accounts"},
      {section_kind::account_keys, "account_keys"},
  });
};

/// One section of the document, as the operator who owns it wrote it.
struct section {
  std::string name;  ///< `kind` or `kind.suffix`, e.g. "routes.certdesk"
  std::string text;  ///< YAML of the section's value
  version revision;  ///< document version that last changed the section

  bool operator==(const section&) const = default;
};

/// `running`: the share of the new version rises; `watching`: it has all traffic and is still observed; `done` and
/// `rolled_back`: it has ended.
enum class rollout_status { running, watching, done, rolled_back };

template <>
struct enum_table<rollout_status> {
  static constexpr auto entries = std::to_array<enum_entry<rollout_status>>({
      {rollout_status::running, "running"},
      {rollout_status::watching, "watching"},
      {rollout_status::done, "done"},
      {rollout_status::rolled_back, "rolled_back"},
  });
};

/// Progress of one rollout. The rollout service writes it, the operators don't; a service has at most one.
struct rollout_state {
  std::string service;
  std::string from;        ///< upstream version to replace
  std::string to;          ///< new upstream version
  basis_points share = 0;  ///< traffic of the service that goes to `to`
  rollout_status status = rollout_status::running;
  std::string reason;  ///< why it was rolled back, for operators; empty otherwise
  version started_in;  ///< document version that added the rollout

  /// @return true until the rollout is done or rolled back.
  bool active() const { return status == rollout_status::running || status == rollout_status::watching; }

  bool operator==(const rollout_state&) const = default;
};

/// An upstream version that was rolled back. It never receives traffic again.
struct withdrawn_version {
  std::string service;
  std::string upstream_version;
  std::string reason;
  version withdrawn_in;  ///< document version that withdrew it

  bool operator==(const withdrawn_version&) const = default;
};

/// Service and upstream version; identifies a withdrawn version.
using withdrawn_key = std::pair<std::string, std::string>;

/// The whole document at one version.
struct document_state {
  version document_version;                       ///< version of this state
  std::map<std::string, section> sections;        ///< by section name
  std::map<std::string, rollout_state> rollouts;  ///< by service
  std::map<withdrawn_key, withdrawn_version> withdrawn;

  bool operator==(const document_state&) const = default;
};

/// All changes between two document versions. Withdrawn versions are never removed, so a delta only adds them.
struct document_delta {
  version from;
  version to;
  std::vector<section> sections_changed;      ///< new and changed sections
  std::vector<std::string> sections_removed;  ///< names of removed sections
  std::vector<rollout_state> rollouts_changed;
  std::vector<std::string> rollouts_removed;  ///< services
  std::vector<withdrawn_version> withdrawn_added;
  digest result_digest;  ///< digest of the state at version `to`

  bool operator==(const document_delta&) const = default;
};

}  // namespace heatherdeck
