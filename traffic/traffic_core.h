/// @file
/// The traffic decisions of one node: route, version by share, upstream, limits and budgets; and what it learns from
/// the results of calls. Pure: time and messages go in, answers come out.
///
///     traffic_core core({.node_id = "dar-1-03", .availability_zone = "dar-1", .region = "dar", .seed = 7});
///     core.use(document);
///     core.use_members(*view, now);
///     pick_answer answer = core.pick(now, facts);
///     core.finish(now, finish_call{choice.ticket, call_outcome::ok, 1200us, load});
///     core.tick(now);                                  // five times a second
///     if (auto report = core.take_evidence()) ...      // once a second
///
/// A request from another node is given to the upstream on this host or refused as not run; it never travels on.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/json/value.hpp>

#include "model/compiled_document.h"
#include "model/directory_messages.h"
#include "model/distribution_messages.h"
#include "model/traffic_messages.h"
#include "traffic/balancer.h"
#include "traffic/concurrency_limiter.h"
#include "traffic/deadline_habit.h"
#include "traffic/evidence_collector.h"
#include "traffic/outlier_ejector.h"
#include "traffic/retry_budget.h"
#include "traffic/route_table.h"
#include "traffic/slow_start.h"
#include "traffic/split_picker.h"
#include "traffic/upstream_gate.h"
#include "traffic/version_cutter.h"

namespace heatherdeck {

/// Who this node is.
struct traffic_identity {
  std::string node_id;
  std::string availability_zone;
  std::string region;
  std::uint64_t seed = 1;
};

/// Totals since the start of the process.
struct traffic_counters {
  std::uint64_t picks = 0;
  std::uint64_t refusals = 0;
  std::uint64_t shares_moved = 0;   ///< calls whose drawn version had no upstream ready
  std::uint64_t late_finishes = 0;  ///< results for a ticket that is not known
};

class traffic_core {
 public:
  explicit traffic_core(traffic_identity identity);

  /// Acts on another document from now on.
  void use(compiled_document_ptr document);

  /// Takes in a new view of members and their upstreams; what was learnt of upstreams that stay is kept.
  void use_members(const std::vector<member_record>& members, time_point now);

  /// Chooses an upstream for one attempt and reserves its slot, or says why there is none.
  /// @param waiter the asker's number, if it can wait for a slot of the upstream on this host.
  /// @return nothing when the answer comes later, from `take_answers`.
  std::optional<pick_answer> pick(time_point now, const request_facts& facts, std::uint64_t waiter);

  /// The same for an asker that cannot wait: it is refused as overloaded.
  pick_answer pick(time_point now, const request_facts& facts);

  /// @return the answers for askers that have waited; call it after every other call.
  std::vector<std::pair<std::uint64_t, pick_answer>> take_answers(time_point now);

  /// Releases the slot and learns from the result.
  void finish(time_point now, const finish_call& result);

  /// Load that the upstream on this host reported.
  void report_local_load(const std::string& target, const load_report& load, time_point now);

  /// Refuses requests from other nodes from now on.
  void stop_new_work() { stopping_ = true; }

  /// Closes the window of the local cut; call it several times a second.
  /// @return versions that are cut from now on.
  std::vector<withdrawn_key> tick(time_point now);

  /// @return evidence since the last call, or nothing.
  std::optional<evidence_report> take_evidence() { return evidence_.take(); }

  const traffic_counters& counters() const { return counters_; }

  /// @return upstreams with the reason why each is in or out, limits, document version and cut versions.
  boost::json::value dump(time_point now) const;

 private:
  struct upstream {
    std::string key;
    endpoint_record endpoint;
    std::string node_id;
    std::string availability_zone;
    std::string mesh_address;
    choice_reason locality = choice_reason::remote;
    bool usable = false;   ///< ready, and its node has not left and is not draining
    bool suspect = false;  ///< its node has been silent; used only when there is no other
    load_estimate load;
    double latency_ms = 0;
    slow_start start;
    upstream_gate gate;  ///< only of the upstream on this host
  };

  struct service_traffic {
    std::map<std::string, std::vector<std::shared_ptr<upstream>>> versions;
    std::size_t upstreams = 0;
    concurrency_limiter limiter;
    retry_budget retries;
    outlier_ejector ejector;
  };

  struct pending_call {
    std::string service;
    std::string route;
    std::shared_ptr<upstream> target;
    std::chrono::milliseconds timeout{0};
    bool limited = false;  ///< counted by the service's limiter
  };

  struct route_facts {
    std::string name;
    bool idempotent = false;
    std::chrono::milliseconds timeout{1000};
    std::uint32_t attempts = 2;
    std::uint32_t priority = 0;
    std::chrono::milliseconds objective{0};
  };

  /// An asker whose request waits at the gate.
  struct waiting_pick {
    std::string service;
    route_facts route;
    request_facts facts;
    std::shared_ptr<upstream> target;
    time_point arrived{};
    bool limited = false;
  };

  std::optional<pick_answer> pick_for_peer(time_point now, const request_facts& facts, std::uint64_t waiter);
  std::optional<pick_answer> pick_by_route(time_point now, const request_facts& facts, const route_rule& rule,
                                           std::uint64_t waiter);
  std::optional<pick_answer> enter_gate(time_point now, waiting_pick asked, std::uint64_t waiter);
  refusal refuse_full(const upstream& target);
  std::shared_ptr<upstream> choose(time_point now, const service_spec& spec, service_traffic& traffic,
                                   const std::vector<std::string>& avoid, balance_reach reach);
  std::shared_ptr<upstream> choose_of_version(time_point now, service_traffic& traffic, const std::string& name,
                                              const std::vector<std::string>& avoid, balance_reach reach);
  const std::string& version_behind(const service_spec& spec, const service_traffic& traffic,
                                    const std::string& share) const;
  std::string draw_version(const std::vector<version_share>& shares);
  upstream_choice reserve(std::shared_ptr<upstream> chosen, const std::string& service, const route_facts& route,
                          const request_facts& facts, bool limited);
  route_facts facts_of(const route_rule* rule, const request_facts& facts) const;
  refusal refuse(refusal_reason reason);
  void learn(time_point now, const pending_call& call, const finish_call& result);
  void take_member(const member_record& member, const std::map<std::string, std::shared_ptr<upstream>>& old,
                   time_point now);
  bool cold_when_new(const upstream& added, time_point now) const;
  choice_reason locality_of(const member_record& member) const;
  boost::json::object dump_upstream(const upstream& shown, const service_traffic& traffic, const std::string& service,
                                    time_point now) const;

  traffic_identity identity_;
  compiled_document_ptr document_;
  route_table routes_;
  std::map<std::string, service_traffic> services_;
  std::map<std::string, std::shared_ptr<upstream>> upstreams_;  ///< by node id and target
  std::unordered_map<std::uint64_t, pending_call> pending_;
  std::unordered_map<std::string, deadline_habit> habits_;  ///< by route
  std::map<std::uint64_t, waiting_pick> waiting_;           ///< by the asker's number
  std::uint64_t next_ticket_ = 1;
  balancer balancer_;
  random_source random_;
  split_picker splits_;
  evidence_collector evidence_;
  version_cutter cutter_;
  traffic_counters counters_;
  std::optional<time_point> first_view_;
  bool stopping_ = false;
};

}  // namespace heatherdeck
