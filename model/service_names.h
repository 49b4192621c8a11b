/// @file
/// The names under which services publish their mailboxes. Which services a process runs is a table in `daemon/`.
///
///     BOOST_LEAF_AUTO(traffic, k.find<traffic_message>(to_name(service_name::traffic)));
#pragma once

#include "kernel/enum_names.h"

namespace heatherdeck {

enum class service_name {
  consensus,      ///< replicated log of the control hosts
  ledger,         ///< replicated state: document, submissions, rollouts, withdrawn versions
  publisher,      ///< subscriptions of nodes at a control host
  rollout,        ///< planner and judge, active on the leader
  configuration,  ///< HTTP API for whole configurations and rollouts at a control host
  operators,      ///< HTTP API for operators at a control host
  mesh,           ///< h2 connections between processes
  admin,          ///< HTTP listener for dump, metrics, liveness and readiness
  subscriber,     ///< the node's copy of the document
  directory,      ///< members and endpoints, spread by gossip
  announcements,  ///< HTTP listener for the upstream on the same host
  traffic,        ///< routing, balancing, limits and budgets
  pool,           ///< connections to upstreams and to other nodes
  proxy,          ///< callers' connections
  evidence,       ///< call counts per upstream version for the judge
};

template <>
struct enum_table<service_name> {
  static constexpr auto entries = std::to_array<enum_entry<service_name>>({
      {service_name::consensus, "consensus"},
      {service_name::ledger, "ledger"},
      {service_name::publisher, "publisher"},
      {service_name::rollout, "rollout"},
      {service_name::configuration, "configuration"},
      {service_name::operators, "operators"},
      {service_name::mesh, "mesh"},
      {service_name::admin, "admin"},
      {service_name::subscriber, "subscriber"},
      {service_name::directory, "directory"},
      {service_name::announcements, "announcements"},
      {service_name::traffic, "traffic"},
      {service_name::pool, "pool"},
      {service_name::proxy, "proxy"},
      {service_name::evidence, "evidence"},
  });
};

}  // namespace heatherdeck
