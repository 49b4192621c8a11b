// One task receives all messages; while it waits for an answer, evidence queues in its mailbox, which has room for some
// seconds of evidence from a whole fleet. Invariant: a proposal is made only when the consensus service has just
// answered that this host leads with a quorum, in the term for which the core collects evidence. Cost: one request a
// second to the directory, and one a tick to the consensus service while there are rollouts; one more for each
// proposal.
#include "control/rollout_service.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "kernel/log.h"
#include "model/service_names.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t inbox_capacity = 8192;
constexpr std::size_t stream_capacity = 64;
constexpr milliseconds members_period = 1000ms;
// A timer may fire a little early or late with respect to the previous question.
constexpr milliseconds members_tolerance = 50ms;
constexpr milliseconds ask_timeout = 400ms;
constexpr milliseconds propose_timeout = 2000ms;

void add_row(evidence_report& sum, const evidence_row& row) {
  const auto same = std::find_if(sum.rows.begin(), sum.rows.end(), [&](const evidence_row& r) {
    return r.service == row.service && r.upstream_version == row.upstream_version && r.route == row.route;
  });
  if (same == sum.rows.end()) {
    sum.rows.push_back(row);
    return;
  }
  same->calls += row.calls;
  same->failures += row.failures;
  for (std::size_t i = 0; i < latency_buckets; ++i) same->latency[i] += row.latency[i];
}

void add_report(evidence_report& sum, const evidence_report& report) {
  for (const evidence_row& row : report.rows) add_row(sum, row);
  for (const withdrawn_key& cut : report.disabled_locally) {
    const bool known =
        std::find(sum.disabled_locally.begin(), sum.disabled_locally.end(), cut) != sum.disabled_locally.end();
    if (!known) sum.disabled_locally.push_back(cut);
  }
}

}  // namespace

result<std::unique_ptr<rollout_service>> rollout_service::make(const settings& own) {
  if (own.convergence_weight < 0 || own.convergence_weight > 1) {
    return fail(error_kind::bad_settings, "convergence_weight is out of range", "use 0 to 1", "convergence_weight");
  }
  return std::unique_ptr<rollout_service>(new rollout_service(own));
}

std::string_view rollout_service::name() const { return to_name(service_name::rollout); }

std::vector<std::string_view> rollout_service::dependencies() const {
  return {to_name(service_name::consensus), to_name(service_name::ledger)};
}

void rollout_service::publish(kernel& k) {
  kernel_ = &k;
  inbox_ = std::make_unique<mailbox<rollout_message>>(k.executor(), inbox_capacity);
  streams_ = std::make_unique<mailbox<incoming_stream>>(k.executor(), stream_capacity);
  k.publish(name(), inbox_->address());
  k.publish(name(), streams_->address());
}

result<void> rollout_service::start(kernel& k) {
  BOOST_LEAF_ASSIGN(consensus_, k.find<consensus_message>(to_name(service_name::consensus)));
  BOOST_LEAF_ASSIGN(ledger_, k.find<ledger_message>(to_name(service_name::ledger)));
  // Without a directory no upstream counts as warm, so no share is raised.
  if (k.has(to_name(service_name::directory))) {
    BOOST_LEAF_ASSIGN(directory_, k.find<directory_message>(to_name(service_name::directory)));
  }
  if (k.has(to_name(service_name::mesh))) {
    BOOST_LEAF_AUTO(mesh, k.find<mesh_message>(to_name(service_name::mesh)));
    link_ = std::make_unique<evidence_link>(k.timers(), k.executor(), mesh);
  }
  schedule_tick();
  boost::asio::co_spawn(k.executor(), run(), boost::asio::detached);
  boost::asio::co_spawn(k.executor(), accept_streams(), boost::asio::detached);
  return {};
}

void rollout_service::stop() {
  next_tick_.cancel();
  link_.reset();
  inbox_->close();
  streams_->close();
}

awaitable<void> rollout_service::run() {
  for (;;) {
    outcome<rollout_message> message = co_await inbox_->receive();
    if (!message) co_return;
    if (std::holds_alternative<rollout_tick>(*message)) {
      schedule_tick();
      co_await tick();
      continue;
    }
    std::visit([this](auto&& m) { handle(std::forward<decltype(m)>(m)); }, std::move(*message));
  }
}

void rollout_service::schedule_tick() {
  next_tick_ =
      kernel_->timers().after(core_.tick_period(), [inbox = inbox_->address()] { inbox.post(rollout_tick{}); });
}

awaitable<void> rollout_service::accept_streams() {
  for (;;) {
    outcome<incoming_stream> incoming = co_await streams_->receive();
    if (!incoming) co_return;
    read_evidence(kernel_->executor(), std::move(*incoming), inbox_->address());
  }
}

void rollout_service::handle(document_changed&& changed) {
  const outcome<compiled_document_ptr> compiled = capture([&] { return compiler_.compile(*changed.state); });
  if (!compiled) {
    log_error("document_not_compiled", compiled.failure(), {{"version", changed.state->document_version.text()}});
    return;
  }
  const milliseconds period_before = core_.tick_period();
  core_.set_document(*changed.state, **compiled, timer_service::now());
  if (core_.tick_period() < period_before) schedule_tick();
}

void rollout_service::handle(evidence_received&& received) {
  if (core_.leading()) {
    core_.add_evidence(received.availability_zone, received.report, timer_service::now());
  } else {
    add_report(to_forward_[received.availability_zone], received.report);
  }
}

void rollout_service::handle(get_rollouts&& request) { request.answer(core_.views(timer_service::now())); }

awaitable<std::optional<consensus_status>> rollout_service::ask_status() {
  auto make = [](reply<consensus_status> answer) { return get_consensus_status{std::move(answer)}; };
  auto status = co_await ask<consensus_status>(kernel_->timers(), kernel_->executor(), consensus_, ask_timeout, make);
  if (!status) co_return std::nullopt;
  co_return std::move(*status);
}

awaitable<void> rollout_service::ask_members() {
  auto make = [](reply<member_list_ptr> answer) { return get_members{std::move(answer)}; };
  auto view = co_await ask<member_list_ptr>(kernel_->timers(), kernel_->executor(), directory_, ask_timeout, make);
  if (view && *view) core_.set_members(**view, timer_service::now());
}

void rollout_service::update_leadership(const consensus_status& status, time_point now) {
  const bool leads = status.role == raft_role::leader && status.has_quorum;
  if (!leads) {
    core_.end_term();
    return;
  }
  if (core_.leading() && status.term == term_) return;
  term_ = status.term;
  core_.begin_term(now);
}

void rollout_service::forward(const consensus_status& status) {
  std::map<std::string, evidence_report> collected = std::exchange(to_forward_, {});
  if (core_.leading() || collected.empty() || !link_) return;
  const auto leader = std::find_if(status.voters.begin(), status.voters.end(),
                                   [&](const raft_member& v) { return v.host_id == status.leader; });
  if (leader == status.voters.end()) return;
  evidence_batch batch{.leader_address = leader->mesh_address};
  for (auto& [zone, report] : collected) batch.by_zone.emplace_back(zone, std::move(report));
  if (!link_->post(std::move(batch))) ++dropped_batches_;
}

awaitable<void> rollout_service::tick() {
  const bool idle = !core_.active() && to_forward_.empty();
  const time_point now = timer_service::now();
  if (directory_ && now - members_asked_at_ + members_tolerance >= members_period) {
    members_asked_at_ = now;
    co_await ask_members();
  }
  if (idle) {
    // A term of leadership that begins while there is no rollout must not be mistaken for the previous one later.
    core_.end_term();
    co_return;
  }
  const std::optional<consensus_status> status = co_await ask_status();
  if (!status) {
    core_.end_term();
    co_return;
  }
  update_leadership(*status, timer_service::now());
  forward(*status);
  std::vector<rollout_proposal> proposals = core_.on_tick(timer_service::now());
  for (rollout_proposal& proposal : proposals) {
    rollout_proposal next = std::move(proposal);
    co_await propose(std::move(next));
  }
}

awaitable<void> rollout_service::propose(rollout_proposal proposal) {
  const std::optional<consensus_status> status = co_await ask_status();
  const bool leads = status && status->role == raft_role::leader && status->has_quorum && status->term == term_;
  if (!leads) {
    core_.end_term();
    co_return;
  }
  ++proposals_;
  auto make = [command = proposal.command](reply<command_result> answer) {
    return propose_system_command{command, std::move(answer)};
  };
  auto answer = co_await ask<command_result>(kernel_->timers(), kernel_->executor(), ledger_, propose_timeout, make);
  const bool accepted = answer && answer->ok();
  if (accepted) {
    const auto* step = std::get_if<set_rollout_step>(&proposal.command);
    log_event(log_level::info, "rollout_step",
              {{"service", proposal.service},
               {"share", step == nullptr ? 0 : step->share},
               {"reason", proposal.reason},
               {"evidence", proposal.evidence}});
    co_return;
  }
  ++refused_proposals_;
  log_error("rollout_step_refused", answer ? answer->refusal : answer.failure(), {{"service", proposal.service}});
}

boost::json::value rollout_service::dump() const {
  boost::json::array rows;
  for (const rollout_view& row : core_.views(timer_service::now())) {
    rows.push_back(boost::json::object{{"service", row.state.service},
                                       {"from", row.state.from},
                                       {"to", row.state.to},
                                       {"share", row.state.share},
                                       {"status", to_name(row.state.status)},
                                       {"reason", row.state.reason},
                                       {"time_left_s", row.time_left.count()},
                                       {"evidence", row.evidence}});
  }
  return boost::json::object{{"leading", core_.leading()},
                             {"term", term_},
                             {"proposals", proposals_},
                             {"refused_proposals", refused_proposals_},
                             {"dropped_batches", dropped_batches_},
                             {"rollouts", std::move(rows)}};
}

}  // namespace heatherdeck
