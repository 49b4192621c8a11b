/// @file
/// Names under which the services of a process publish their mailboxes in the kernel. A table in `daemon/` determines
/// which services a process runs.
///
///     BOOST_LEAF_AUTO(traffic, k.find<traffic_message>(to_name(service_name::traffic)));
#pragma once

#include "kernel/enum_names.h"

namespace heatherdeck {

enum class service_name {
  consensus,      ///< replicated log of the control hosts
  ledger,         ///< replicated state: document, submissions, rollouts, withdrawn versions
  permits,        ///< grants permits of the fleet-wide rate limit, on a control host
  publisher,      ///< sends the document to subscribed nodes, on a control host
  rollout,        ///< plans rollout steps and decides on rollback; active on the leader
  configuration,  ///< HTTP API for whole configurations and rollouts, on a control host
  operators,      ///< HTTP API for operators, on a control host
  mesh,           ///< HTTP/2 connections between processes
  admin,          ///< HTTP API for dump, metrics, liveness and readiness
  subscriber,     ///< the node's copy of the document
  directory,      ///< members and endpoints of the mesh, spread by gossip
  announcements,  ///< HTTP API on which the upstream of the same host announces itself
  traffic,        ///< routing, load balancing, concurrency limits and retry budgets
  pool,           ///< connections to upstreams and to other nodes
  proxy,          ///< connections of callers
  quarantine,     ///< finds the requests that crash the upstreams that run them
  evidence,       ///< call counts per upstream version, for decisions on rollouts
};

template <>
struct enum_table<service_name> {
  static constexpr auto entries = std::to_array<enum_entry<service_name>>({
      {service_name::consensus, "consensus"},
      {service_name::ledger, "ledger"},
      {service_name::permits, "permits"},
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
      {service_name::quarantine, "quarantine"},
      {service_name::evidence, "evidence"},
  });
};

}  // namespace heatherdeck
