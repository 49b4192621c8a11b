/// @file
/// The traffic decisions of one node: which route, service, version and upstream a request gets, and whether it is
/// admitted at all (concurrency limit, retry budget, admission queue). It updates its statistics from the results of
/// calls. Pure: time and messages go in, answers come out; traffic_service owns the core and runs it.
///
///     traffic_core core({.node_id = "dar-1-03", .availability_zone = "dar-1", .region = "dar", .seed = 7});
///     core.set_document(document);
///     core.set_members(*view, now);
///     pick_result answer = core.pick(now, attributes);
///     core.finish(now, finish_call{choice.pick_id, call_outcome::ok, 1200us, load});
///     core.tick(now);                                  // five times a second
///     if (auto report = core.take_evidence()) ...      // once a second
///
/// A request from another node goes to the upstream on this host or is refused as not run; it is never forwarded again.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include <boost/json/value.hpp>

#include "model/compiled_document.h"
#include "model/directory_messages.h"
#include "model/distribution_messages.h"
#include "model/quarantine_messages.h"
#include "model/traffic_messages.h"
#include "traffic/admission_queue.h"
#include "traffic/balancer.h"
#include "traffic/concurrency_limiter.h"
#include "traffic/evidence_collector.h"
#include "traffic/outlier_ejector.h"
#include "traffic/permit_store.h"
#include "traffic/retry_age_estimator.h"
#include "traffic/retry_budget.h"
#include "traffic/route_table.h"
#include "traffic/service_time_scale.h"
#include "traffic/slow_start.h"
#include "traffic/split_picker.h"
#include "traffic/version_circuit_breaker.h"
#include "traffic/warmup_tracker.h"

namespace heatherdeck {

/// Identity and location of this node.
struct traffic_identity {
  std::string node_id;
  std::string availability_zone;
  std::string region;
  std::uint64_t seed = 1;  ///< of all random decisions
};

/// Totals since the start of the process.
struct traffic_counters {
  std::uint64_t picks = 0;
  std::uint64_t refusals = 0;
  std::uint64_t shares_moved = 0;   ///< picks for which the version drawn first was cut or had no upstream to choose
  std::uint64_t late_finishes = 0;  ///< results with an unknown pick id, such as a second result for one pick
  // Requests refused as unauthenticated:
  std::uint64_t missing_keys = 0;    ///< without a key
  std::uint64_t unknown_keys = 0;    ///< with a key of no account
  std::uint64_t withdrawn_keys = 0;  ///< whose key was withdrawn while they waited
};

/// The rate limit of a cold upstream on this host has come into force, or has ended.
struct cold_limit_change {
  std::string target;
  bool cold = false;
};

class traffic_core {
 public:
  explicit traffic_core(traffic_identity identity);

  /// Replaces the document on which all later decisions are based.
  void set_document(compiled_document_ptr document);

  /// Replaces the list of members and their upstreams; statistics of upstreams that remain are kept.
  void set_members(const std::vector<member_record>& members, time_point now);

  /// Chooses an upstream for one attempt and reserves a slot of it, or returns the reason for a refusal.
  /// @param waiter_id under which `take_answers` returns the answer if the request waits for a slot of the upstream on
  ///   this host; 0 when it cannot wait.
  /// @return nothing when the request waits.
  std::optional<pick_result> pick(time_point now, request_attributes attributes, std::uint64_t waiter_id);

  /// The same for a request that cannot wait: instead of waiting it is refused as overloaded.
  pick_result pick(time_point now, const request_attributes& attributes);

  /// @return waiter ids and answers of the requests whose wait has ended. To be called after each call of any other
  ///   function that changes state.
  std::vector<std::pair<std::uint64_t, pick_result>> take_answers(time_point now);

  /// @return when to call take_answers besides: the rate limit of an upstream lets a waiting request start then, or a
  ///   later attempt has waited for the reports of a crash.
  std::optional<time_point> next_answer_time(time_point now) const;

  /// Releases the slot of a pick and updates statistics and limits from the result.
  void finish(time_point now, const finish_call& result);

  /// Records the load that the upstream on this host reported.
  void report_local_load(const std::string& target, const load_report& load, time_point now);

  /// Records what the upstream on this host announced about its cold start.
  void report_warmup(const std::string& target, const warmup_report& report, time_point now);

  /// @return limits of cold upstreams that have come into force or ended since the last call.
  std::vector<cold_limit_change> take_cold_limit_changes() { return std::exchange(cold_limit_changes_, {}); }

  /// Records what the upstream on this host states about itself.
  /// @return whether the statement differs from the one before.
  bool report_statement(const std::string& target, const upstream_statement& statement, time_point now);

  /// Replaces the list of requests that crash upstreams. A quarantined one is refused, also while it waits. A
  /// suspected one is on trial: it runs beside no other suspected one, so that the next crash shows which of them
  /// causes it, and all its copies go to the same upstream, which runs one at a time.
  void set_quarantine(quarantine_list_ptr list);

  /// @return what calls that have ended show about requests that crash upstreams, for the service "quarantine".
  std::vector<quarantine_message> take_quarantine_reports() { return std::exchange(quarantine_reports_, {}); }

  /// Prepares for the end of the process: requests from other nodes are refused from now on. Requests from callers are
  /// refused if they could be broken off: until `noticed_at` if their objective is after the end, and then if their
  /// deadline is. Requests that wait for a slot are refused before the end.
  /// @param stop when callers notice the stop, and when it ends.
  void start_draining(const start_draining& stop);

  /// Sets for how long the host has been suspended in total (CLOCK_BOOTTIME less CLOCK_MONOTONIC). Permits expire
  /// during that time too. To be called before every other function.
  void set_suspended_time(duration total) { suspended_ = total; }

  /// Changes the stream over which permits are requested; 0: there is none.
  void set_permit_source(time_point now, std::uint64_t stream) { permits_.set_source(now + suspended_, stream); }

  /// Takes over permits that the control host has granted.
  void apply_permits(time_point now, const permit_answer& answer) { permits_.apply(now + suspended_, answer); }

  /// @return the request for permits to send now; to be called after take_answers.
  std::optional<permit_request> take_permit_request(time_point now) { return permits_.take_request(now + suspended_); }

  const permit_store& permits() const { return permits_; }

  /// Evaluates the local circuit breaker of versions under rollout; to be called several times a second.
  /// @return versions that are cut at this node from now on.
  std::vector<withdrawn_key> tick(time_point now);

  /// @return evidence since the last call, or nothing.
  std::optional<evidence_report> take_evidence() { return evidence_.take(); }

  const traffic_counters& counters() const { return counters_; }

  /// @return document version, totals, cut versions, and for each service its limits and its upstreams, with the reason
  ///   why each upstream is or is not in use.
  boost::json::value dump(time_point now) const;

 private:
  struct upstream {
    std::string key;  ///< "<node id>/<target>"
    endpoint_record endpoint;
    std::string node_id;
    std::string availability_zone;
    std::string region;
    std::string mesh_address;
    locality_class locality = locality_class::remote;
    bool usable = false;   ///< ready, and its node has not left and is not draining
    bool suspect = false;  ///< its node has been silent; used only when there is no other upstream
    load_estimate load;
    double latency_ms = 0;     ///< moving average, with a penalty for failed calls; 0 when unknown
    double relative_time = 1;  ///< moving average of service_time_scale's samples, with the same penalty
    slow_start warmup;
    bool limited_as_cold = false;               ///< the rate limit of a cold upstream is in force; on this host only
    upstream_statement statement;               ///< known only of the upstream on this host
    admission_queue admission;                  ///< used only for the upstream on this host
    std::vector<request_fingerprint> on_trial;  ///< suspected requests that it is running; on this host only
  };

  struct service_state {
    std::map<std::string, std::vector<std::shared_ptr<upstream>>> versions;  ///< upstreams by version
    std::size_t upstreams = 0;                                               ///< of all versions
    concurrency_limiter limiter;
    retry_budget retries;
    outlier_ejector ejector;
    service_time_scale times;
    placement_policy placement = placement_policy::utilisation;
  };

  /// A pick whose result has not been reported.
  struct pending_call {
    std::string service;
    std::string route;
    std::shared_ptr<upstream> target;
    std::chrono::milliseconds timeout{0};
    bool limited = false;                         ///< counted by the service's concurrency limiter
    std::optional<request_fingerprint> on_trial;  ///< listed in upstream::on_trial
  };

  /// Settings that apply to a request: those of its route, or defaults when no route matches.
  struct route_policy {
    std::string name;
    bool idempotent = false;
    std::chrono::milliseconds timeout{1000};
    std::uint32_t attempts = 2;              ///< targets to which the request may be sent
    std::uint32_t priority = 0;              ///< of the account, or else of the route; 0 is the most urgent
    std::uint32_t route_priority = 0;        ///< of the route
    std::chrono::milliseconds objective{0};  ///< latency objective; 0 when the route has none
    std::string account;                     ///< client account of the request; empty when it has none
    std::optional<key_id> account_key;       ///< the key by which the account was authenticated
  };

  /// An attempt that is offered to, or waits in, the admission queue of an upstream on this host.
  struct queued_attempt {
    std::string service;
    route_policy route;
    request_attributes attributes;
    std::shared_ptr<upstream> target;
    time_point arrived{};
    bool limited = false;         ///< counted by the service's concurrency limiter
    std::optional<permit> drawn;  ///< spent when the attempt is let through
  };

  /// What the choice of an upstream for one attempt depends on.
  struct choice_criteria {
    std::vector<std::string> tried_targets;
    const route_rule* rule = nullptr;         ///< null without one
    const client_account* account = nullptr;  ///< null without one
    spillover_policy spillover = spillover_policy::any_region;
    std::optional<request_fingerprint> on_trial;  ///< set: the request is suspected
  };

  /// One attempt on its way through the stages of a pick. Pointers are valid until the pick returns or waits.
  struct pick_context {
    time_point now{};
    request_attributes attributes;
    std::uint64_t waiter_id = 0;
    const route_rule* rule = nullptr;         ///< null until a rule matches, and for requests from peers without one
    const client_account* account = nullptr;  ///< null without one
    route_policy route;
    std::string service;
    const service_spec* spec = nullptr;
    service_state* traffic = nullptr;
    choice_criteria criteria;
    std::optional<permit> drawn;  ///< permit of the account, not spent
  };

  /// What a stage decided: the attempt goes on to the next stage, or it has its answer, or it waits and `take_answers`
  /// returns its answer later.
  struct go_on {};
  struct waits {};
  using stage_result = std::variant<go_on, pick_result, waits>;
  /// A stage checks one condition or fills in one part of the context.
  using pick_stage = stage_result (traffic_core::*)(pick_context&);
  static const std::array<pick_stage, 11> caller_stages;  ///< of a request from a caller, in this order
  static const std::array<pick_stage, 6> peer_stages;     ///< of a request that another node has forwarded

  std::optional<pick_result> run_stages(pick_context context);
  std::optional<pick_result> run_stages(std::span<const pick_stage> stages, pick_context& context);
  stage_result check_document(pick_context& context);
  stage_result match_route(pick_context& context);
  stage_result authenticate(pick_context& context);
  stage_result draw_permit(pick_context& context);
  stage_result infer_earlier_attempts(pick_context& context);
  stage_result choose_destination(pick_context& context);
  stage_result refuse_quarantined(pick_context& context);
  stage_result refuse_while_stopping(pick_context& context);
  stage_result draw_on_retry_budget(pick_context& context);
  stage_result limit_concurrency(pick_context& context);
  stage_result choose_and_admit(pick_context& context);
  stage_result refuse_peer_while_stopping(pick_context& context);
  stage_result find_forwarded_service(pick_context& context);
  stage_result adopt_account(pick_context& context);
  stage_result admit_forwarded(pick_context& context);

  /// An attempt that waits before its first stage, or for a permit: a later one waits for the reports of the crash that
  /// may have ended the earlier one. The stages start again when the wait ends.
  struct held_attempt {
    request_attributes attributes;
    time_point arrived{};
  };

  static request_attributes after_wait(request_attributes attributes, duration waited);
  void pick_for_held(time_point now, std::vector<std::pair<std::uint64_t, pick_result>>& answers);
  std::optional<pick_result> resume(time_point now, std::uint64_t waiter_id, held_attempt attempt,
                                    std::optional<permit> drawn);
  void pick_with_permits(time_point now, std::vector<std::pair<std::uint64_t, pick_result>>& answers);
  refusal refuse_without_permit(const permit_refusal& reason);
  void give_back(time_point now, const std::optional<permit>& unused);
  bool spend_or_replace(time_point now, const std::optional<permit>& used);
  void settle_permit(pick_context& context, std::optional<pick_result>& answer);
  std::optional<pick_result> admit_locally(time_point now, queued_attempt attempt, std::uint64_t waiter_id);
  refusal refuse_overloaded(time_point now, const upstream& target);
  bool may_be_broken_off(time_point now, const route_policy& route, const request_attributes& attributes) const;
  std::optional<pick_result> check_quarantine(const std::string& service, const request_attributes& attributes);
  bool suspected(const std::string& service, const request_attributes& attributes) const;
  std::optional<refusal> refuse_trial(time_point now, const queued_attempt& attempt);
  static void set_account(pick_context& context, const client_account& account);
  void note_withdrawn_keys(const account_key_table& before, const account_key_table& after);
  void refuse_withdrawn_waiters(time_point now, std::vector<std::pair<std::uint64_t, pick_result>>& answers);
  void refuse_quarantined_waiters(time_point now, std::vector<std::pair<std::uint64_t, pick_result>>& answers);
  bool permitted(const upstream& u, const choice_criteria& criteria) const;
  bool any_permitted(const service_state& traffic, const choice_criteria& criteria) const;
  bool cold(const upstream& u, time_point now) const;
  void update_rate_limit(upstream& u, time_point now);
  void start_slowly_after_evacuation(time_point now);
  void move_unpermitted_waiters(time_point now, std::vector<std::pair<std::uint64_t, pick_result>>& answers);
  void report_to_quarantine(const pending_call& call, const finish_call& result);
  std::shared_ptr<upstream> choose_upstream(time_point now, const service_spec& spec, service_state& traffic,
                                            const choice_criteria& criteria);
  std::shared_ptr<upstream> choose_upstream_of_version(time_point now, service_state& traffic, const std::string& name,
                                                       const choice_criteria& criteria);
  std::shared_ptr<upstream> choose_for_trial(const std::vector<std::shared_ptr<upstream>>& members,
                                             const choice_criteria& criteria) const;
  const std::string& resolve_version(const service_spec& spec, const service_state& traffic,
                                     const std::string& share) const;
  std::string draw_version(const std::vector<version_share>& shares);
  bool tried_other_version(const service_state& traffic, const std::vector<std::string>& tried_targets,
                           const std::string& upstream_version) const;
  load_report load_of(const upstream& own, time_point now) const;
  upstream_choice reserve(time_point now, std::shared_ptr<upstream> chosen, const std::string& service,
                          const route_policy& route, const request_attributes& attributes, bool limited);
  route_policy route_policy_for(const route_rule* rule, const request_attributes& attributes) const;
  std::chrono::milliseconds spread(std::chrono::milliseconds wait);
  refusal refuse(refusal_reason reason);
  void record_result(time_point now, const pending_call& call, const finish_call& result);
  void add_member(const member_record& member, const std::map<std::string, std::shared_ptr<upstream>>& previous,
                  time_point now);
  bool starts_cold(const upstream& added, time_point now) const;
  locality_class locality_of(const member_record& member) const;
  static std::uint32_t slots_of(const upstream& u);
  boost::json::value dump_accounts() const;
  boost::json::object dump_upstream(const upstream& shown, const service_state& traffic, const std::string& service,
                                    time_point now) const;

  traffic_identity identity_;
  compiled_document_ptr document_;
  route_table routes_;
  std::map<std::string, service_state> services_;
  std::map<std::string, std::shared_ptr<upstream>> upstreams_;  ///< by key
  warmup_tracker warmups_;                                      ///< of the upstreams on this host
  std::vector<cold_limit_change> cold_limit_changes_;
  std::unordered_map<std::uint64_t, pending_call> pending_;                    ///< by pick id
  std::unordered_map<std::string, retry_age_estimator> retry_age_estimators_;  ///< by route
  std::map<std::uint64_t, queued_attempt> waiting_;                            ///< by waiter id
  std::map<std::uint64_t, held_attempt> held_;                                 ///< by waiter id, the oldest first
  std::map<std::uint64_t, held_attempt> awaiting_permits_;                     ///< by waiter id
  permit_store permits_;
  duration suspended_{};
  std::uint64_t next_pick_id_ = 1;
  balancer balancer_;
  random_source random_;
  split_picker splits_;
  evidence_collector evidence_;
  version_circuit_breaker circuit_breaker_;
  traffic_counters counters_;
  quarantine_list_ptr quarantine_ = std::make_shared<quarantine_list>();
  std::set<std::string> evacuated_before_;  ///< zones of the document with which waiting requests were last compared
  bool document_changed_ = false;           ///< since the requests that wait were last compared with it
  std::set<key_id> withdrawn_keys_;         ///< of requests that wait, since they were last compared with it
  bool quarantine_changed_ = false;         ///< since the requests that wait were last compared with it
  std::vector<quarantine_message> quarantine_reports_;
  std::optional<time_point> first_view_at_;
  std::optional<heatherdeck::start_draining> stop_;  ///< set while the process is stopping
};

}  // namespace heatherdeck
