// Each tracked rollout has a judge and the times that the planner needs. The times are read on this host, because
// steady clocks of different hosts cannot be compared. Invariants: no proposal outside a term of leadership; every
// rollout step carries the document version it was decided on, so that the ledger refuses it when the rollout has
// changed since. Cost per tick: closing one window of each judge.
#include "control/rollout_core.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace heatherdeck {

bool rollout_core::active() const {
  return std::any_of(rollouts_.begin(), rollouts_.end(), [](const auto& r) { return r.second.state.active(); });
}

version_judge rollout_core::new_judge(const rollout_spec& spec) const {
  const std::chrono::milliseconds length =
      std::max<std::chrono::milliseconds>(std::chrono::seconds(60), spec.finish_within + spec.watch_period);
  judge_options options{.windows = static_cast<std::size_t>(length / tick_period_)};
  // Upstreams of one service differ in speed. In the few seconds of such a rollout this does not average out, so only a
  // version that is several times slower counts as slow.
  if (spec.max_exposure) {
    options.slow_edge_shifts = {0, 2, 1};
    options.tolerated_slow_odds = 2;
  }
  return {spec.from, spec.to, options};
}

void rollout_core::track(const rollout_state& state, const rollout_spec& spec, time_point now) {
  tracked_rollout r{.spec = spec, .state = state, .judge = new_judge(spec)};
  // A host that restarts during a rollout estimates the start from the share that has been reached.
  r.first_seen = planner_.estimated_start(spec, state.share, now);
  r.last_step = now;
  r.watching_since = now;
  r.exposure_counted_to = now;
  r.judge_from = now;
  rollouts_.insert_or_assign(state.service, std::move(r));
}

void rollout_core::update_tracked(tracked_rollout& r, const rollout_state& state, const rollout_spec& spec,
                                  time_point now) {
  count_exposure(r, now);
  if (state.share != r.state.share) {
    if (state.share > r.state.share) r.judge.reset_drift();
    if (state.share < r.state.share) ++r.comparisons;
    r.judge.begin_step();
    r.last_step = now;
    r.settling = true;
  }
  if (state.status == rollout_status::watching && r.state.status == rollout_status::running) r.watching_since = now;
  r.state = state;
  r.spec = spec;
}

void rollout_core::count_exposure(tracked_rollout& r, time_point now) {
  if (r.state.active()) r.exposure += (now - r.exposure_counted_to) * r.state.share / full_share;
  r.exposure_counted_to = now;
}

// The new version's part of the calls that were served, as time at full traffic. It exceeds the integral of the share
// when the old version is overloaded and refuses more of its calls.
duration rollout_core::observed_exposure(const tracked_rollout& r, time_point now) {
  const call_totals& calls = r.judge.totals();
  if (calls.new_calls == 0) return {};
  const auto all = static_cast<double>(calls.new_calls + calls.old_calls);
  return std::chrono::duration_cast<duration>((now - r.judge_from) * (static_cast<double>(calls.new_calls) / all));
}

void rollout_core::set_document(const document_state& state, const compiled_document& compiled, time_point now) {
  current_ = state.document_version;
  tick_period_ = compiled.evidence_period();
  std::erase_if(rollouts_, [&](const auto& r) { return !state.rollouts.contains(r.first); });
  for (const auto& [service, next] : state.rollouts) {
    rollout_spec spec{.service = service, .from = next.from, .to = next.to};
    const auto spec_entry = compiled.rollouts.find(service);
    if (spec_entry != compiled.rollouts.end()) spec = spec_entry->second;
    const auto known = rollouts_.find(service);
    const bool same = known != rollouts_.end() && known->second.state.to == next.to &&
                      known->second.state.from == next.from && known->second.state.started_in == next.started_in;
    if (same) {
      update_tracked(known->second, next, spec, now);
    } else {
      track(next, spec, now);
    }
  }
}

void rollout_core::set_members(const std::vector<member_record>& members, time_point now) {
  std::map<std::string, known_upstream> ready;
  for (const member_record& member : members) {
    if (member.state != member_state::alive || member.draining) continue;
    for (const endpoint_record& endpoint : member.endpoints) {
      if (endpoint.state != upstream_state::ready) continue;
      const std::string key = member.node_id + "/" + endpoint.target;
      const auto known = ready_upstreams_.find(key);
      const bool same = known != ready_upstreams_.end() && known->second.service == endpoint.service &&
                        known->second.upstream_version == endpoint.upstream_version;
      // Upstreams in the first view were ready before this host started, so they count as warm.
      const time_point since = same ? known->second.ready_since : members_known_ ? now : now - warmup_time;
      ready.emplace(key, known_upstream{endpoint.service, endpoint.upstream_version, since});
    }
  }
  ready_upstreams_ = std::move(ready);
  members_known_ = members_known_ || !members.empty();
}

std::size_t rollout_core::count_warm_upstreams(const std::string& service, const std::string& upstream_version,
                                               time_point now) const {
  // An empty version stands for every version except the new one.
  const auto rollout = rollouts_.find(service);
  const duration ready_for = rollout == rollouts_.end()
                                 ? duration(warmup_time)
                                 : std::min<duration>(warmup_time, rollout->second.spec.finish_within / 4);
  const auto matches = [&](const std::string& announced) {
    if (!upstream_version.empty()) return announced == upstream_version;
    return rollout == rollouts_.end() || announced != rollout->second.state.to;
  };
  return static_cast<std::size_t>(std::count_if(ready_upstreams_.begin(), ready_upstreams_.end(), [&](const auto& u) {
    return u.second.service == service && matches(u.second.upstream_version) && now - u.second.ready_since >= ready_for;
  }));
}

void rollout_core::begin_term(time_point now) {
  leading_ = true;
  for (auto& [service, r] : rollouts_) {
    r.judge = new_judge(r.spec);
    r.judge_from = now;
    r.last_step = now;
    r.last_cut = {};
  }
}

void rollout_core::add_evidence(const std::string& availability_zone, const evidence_report& report, time_point now) {
  for (const evidence_row& row : report.rows) {
    const auto found = rollouts_.find(row.service);
    if (found != rollouts_.end() && found->second.state.active()) found->second.judge.add(availability_zone, row);
  }
  for (const auto& [service, upstream_version] : report.disabled_locally) {
    const auto found = rollouts_.find(service);
    if (found != rollouts_.end() && found->second.state.to == upstream_version) found->second.last_cut = now;
  }
}

planner_input rollout_core::make_input(const tracked_rollout& r, time_point now) const {
  return {.now = now,
          .spec = r.spec,
          .share = r.state.share,
          .status = r.state.status,
          .started = r.first_seen,
          .last_step = r.last_step,
          .watching_since = r.watching_since,
          .warm_new = count_warm_upstreams(r.state.service, r.state.to, now),
          .warm_old = count_warm_upstreams(r.state.service, r.state.from, now),
          .new_calls = r.judge.calls_since_step().new_calls,
          .old_calls = r.judge.calls_since_step().old_calls,
          .e_value = r.judge.e_value(),
          .threshold = r.judge.threshold(),
          .comparisons = r.comparisons,
          .drift_detected = r.judge.drift_detected(),
          .cut_recently = r.last_cut != time_point{} && now - r.last_cut < local_cut_hold,
          .exposure = std::max(r.exposure, observed_exposure(r, now))};
}

std::vector<rollout_proposal> rollout_core::on_tick(time_point now) {
  std::vector<rollout_proposal> proposals;
  if (!leading_) return proposals;
  for (auto& [service, r] : rollouts_) {
    if (!r.state.active()) continue;
    count_exposure(r, now);
    // A report takes one period at the node and one at the control host that forwards it; what arrives earlier counts
    // calls at the previous share.
    if (r.settling && now - r.last_step >= 2 * tick_period_) {
      r.settling = false;
      r.judge.restart_step_counts();
    }
    r.judge.close_window();
    const planner_decision step = planner_.next(make_input(r, now));
    r.reason = step.reason;
    if (step.action == plan_action::withdraw) {
      const std::string reason = r.judge.summary();
      proposals.push_back({service, withdraw_version{service, r.state.to, reason}, step.reason, reason});
    } else if (step.action == plan_action::set_share) {
      proposals.push_back({service, set_rollout_step{service, r.state.to, step.share, step.status, current_},
                           step.reason, r.judge.summary()});
    }
  }
  return proposals;
}

std::vector<rollout_view> rollout_core::views(time_point now) const {
  std::vector<rollout_view> rows;
  for (const auto& [service, r] : rollouts_) {
    rollout_view row{.state = r.state};
    const auto since = r.state.status == rollout_status::watching ? r.watching_since : r.first_seen;
    const auto length = r.state.status == rollout_status::watching ? r.spec.watch_period : r.spec.finish_within;
    const auto left = std::chrono::duration_cast<std::chrono::seconds>(length - (now - since));
    if (r.state.active()) row.time_left = std::max(left, std::chrono::seconds(0));
    row.evidence = leading_ ? r.judge.summary() : "evidence is collected on the leader";
    if (leading_ && r.state.active()) {
      row.evidence +=
          fmt::format("; {} warm upstreams of {}, {} of {}; {}", count_warm_upstreams(service, r.state.to, now),
                      r.state.to, count_warm_upstreams(service, r.state.from, now), r.state.from, r.reason);
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

}  // namespace heatherdeck
