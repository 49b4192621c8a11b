// The main task receives messages and does no I/O itself, so a slow node never delays the others. Confirmations are
// batched: all nodes that need one while another is in progress share the next one, so a reconnect storm costs a quorum
// round per round-trip time, not per node. Invariant: `confirmed` is set only on a state that the ledger returned for a
// request that was made after the node subscribed.
#include "control/publisher_service.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "control/subscription_task.h"
#include "kernel/log.h"
#include "model/service_names.h"
#include "wire/codec.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t inbox_capacity = 4096;
constexpr std::size_t stream_capacity = 1024;
constexpr auto tick_period = 500ms;
constexpr auto confirmation_timeout = 2s;
constexpr auto status_timeout = 400ms;
// A node waits at most this long for the receipt of a departure.
constexpr auto departure_timeout = 700ms;
// During an election a confirmation fails at once; a new leader needs several round trips for its first commit, and a
// few retries fit into them.
constexpr auto confirmation_retry_delay = 50ms;
constexpr auto max_wait = 60s;

// An offer is answered within two keep-alive periods, the time after which a node gives up a silent host.
std::uint32_t answer_checks(milliseconds keepalive) {
  return static_cast<std::uint32_t>(2 * keepalive / milliseconds(tick_period)) + 1;
}

}  // namespace

result<std::unique_ptr<service>> publisher_service::make(const settings& s) {
  return std::unique_ptr<service>(new publisher_service(s));
}

publisher_service::publisher_service(const settings& s)
    : settings_(s),
      core_({.keepalive = s.keepalive, .tick_period = tick_period, .answer_checks = answer_checks(s.keepalive)},
            s.seed != 0 ? s.seed : std::random_device{}()) {}

std::string_view publisher_service::name() const { return to_name(service_name::publisher); }

std::vector<std::string_view> publisher_service::dependencies() const {
  return {to_name(service_name::ledger), to_name(service_name::mesh)};
}

void publisher_service::publish(kernel& k) {
  kernel_ = &k;
  inbox_ = std::make_unique<mailbox<publisher_message>>(k.executor(), inbox_capacity);
  streams_ = std::make_unique<mailbox<incoming_stream>>(k.executor(), stream_capacity);
  k.publish(name(), inbox_->address());
  k.publish(name(), streams_->address());
}

result<void> publisher_service::start(kernel& k) {
  BOOST_LEAF_ASSIGN(ledger_, k.find<ledger_message>(to_name(service_name::ledger)));
  BOOST_LEAF_ASSIGN(consensus_, k.find<consensus_message>(to_name(service_name::consensus)));
  if (k.has(to_name(service_name::rollout))) {
    BOOST_LEAF_ASSIGN(rollout_, k.find<rollout_message>(to_name(service_name::rollout)));
  }
  if (k.has(to_name(service_name::permits))) {
    BOOST_LEAF_ASSIGN(permits_, k.find<permits_message>(to_name(service_name::permits)));
  }
  tick_ = k.timers().every(tick_period, [inbox = inbox_->address()] { inbox.post(publisher_tick{}); });
  boost::asio::co_spawn(k.executor(), run(), boost::asio::detached);
  boost::asio::co_spawn(k.executor(), accept_streams(), boost::asio::detached);
  return {};
}

void publisher_service::stop() {
  tick_.cancel();
  confirmation_retry_.cancel();
  inbox_->close();
  streams_->close();
  outgoing_.clear();
  resets_.clear();
}

awaitable<void> publisher_service::run() {
  for (;;) {
    outcome<publisher_message> message = co_await inbox_->receive();
    if (!message) co_return;
    std::visit([this](auto&& m) { handle(std::forward<decltype(m)>(m)); }, std::move(*message));
  }
}

awaitable<void> publisher_service::accept_streams() {
  for (;;) {
    outcome<incoming_stream> incoming = co_await streams_->receive();
    if (!incoming) co_return;
    spawn_subscription_task(*kernel_, next_id_++, std::move(*incoming), inbox_->address());
  }
}

void publisher_service::handle(publisher_tick&&) {
  boost::asio::co_spawn(kernel_->executor(), ask_host_state(), boost::asio::detached);
  reset_stalled();
  send(core_.make_keepalives(quorum_, timer_service::now()));
  if (!queued_confirmations_.empty()) begin_confirmation();
  answer_waits();
}

void publisher_service::handle(document_changed&& m) {
  offer_document(std::move(m.state));
  answer_waits();
}

void publisher_service::offer_document(document_state_ptr state) {
  const version before = core_.current();
  const std::vector<publisher_core::offer> offers = core_.set_document(std::move(state), timer_service::now());
  if (core_.current() != before) {
    log_event(log_level::info, "document_offered",
              {{"version", core_.current().text()},
               {"offers", offers.size()},
               {"unanswered", core_.unanswered_offers()},
               {"subscriptions", core_.size()}});
  }
  send(offers);
}

void publisher_service::handle(get_subscribers&& m) { m.answer(core_.statuses(timer_service::now())); }

void publisher_service::handle(await_applied&& m) {
  pending_waits_.push_back({std::move(m), timer_service::now()});
  answer_waits();
}

void publisher_service::handle(subscription_opened&& m) {
  outgoing_[m.id] = m.outgoing;
  resets_[m.id] = m.resets;
  if (const auto busy = core_.open(m.id, m.request, timer_service::now())) {
    ++refused_busy_;
    send({m.id, std::make_shared<const control_message>(*busy)});
    end_stream(m.id);
    return;
  }
  peers_[m.id] = m.request;
  if (m.request.want_confirmed) {
    queued_confirmations_.push_back(m.id);
    begin_confirmation();
  } else if (const auto offer = core_.first_offer(m.id, quorum_, timer_service::now())) {
    send(*offer);
  }
}

void publisher_service::handle(subscription_message&& m) {
  std::visit([&](const auto& message) { on_node_message(m.id, message); }, m.message);
}

void publisher_service::handle(subscription_closed&& m) {
  core_.close(m.id);
  end_stream(m.id);
  answer_waits();
}

void publisher_service::handle(confirmation_finished&& m) {
  confirming_ = false;
  const std::vector<std::uint64_t> waiting = std::exchange(running_confirmations_, {});
  const time_point now = timer_service::now();
  if (m.state) {
    offer_document(m.state->document);
  } else {
    log_event(log_level::debug, "confirmation_failed", {{"reason", m.state.failure().message()}});
  }
  // When the confirmation has failed, a node gets an unconfirmed message and looks for another control host, unless it
  // may wait for the next confirmation.
  for (const std::uint64_t id : waiting) {
    if (!m.state && core_.may_await_confirmation(id, now)) {
      queued_confirmations_.push_back(id);
    } else if (const auto offer = core_.first_offer(id, m.state.has_value(), now)) {
      if (m.state) send_departures(id, m.state->departures);
      send(*offer);
    }
  }
  if (queued_confirmations_.empty()) return;
  if (m.state) return begin_confirmation();
  confirmation_retry_ = kernel_->timers().after(confirmation_retry_delay,
                                                [inbox = inbox_->address()] { inbox.post(confirmation_retry_due{}); });
}

void publisher_service::handle(confirmation_retry_due&&) {
  if (!queued_confirmations_.empty()) begin_confirmation();
}

// What was committed at the last report has to be applied by now; otherwise this host serves an old document, although
// it hears from the leader.
void publisher_service::handle(host_state_reported&& m) {
  const bool is_current = m.is_current && m.applied_index >= reported_commit_index_;
  reported_commit_index_ = m.commit_index;
  const bool serves = m.has_quorum && is_current;
  if (quorum_ != serves) {
    log_event(log_level::info, "publisher_quorum",
              {{"present", m.has_quorum},
               {"current", is_current},
               {"version", core_.current().text()},
               {"subscriptions", core_.size()}});
  }
  quorum_ = serves;
  send(core_.make_keepalives(quorum_, timer_service::now()));
}

void publisher_service::handle(departure_recorded&& m) {
  send({m.subscription, std::make_shared<const control_message>(departure_receipt{m.report})});
}

void publisher_service::on_node_message(std::uint64_t id, const subscribe_request&) {
  log_error("second_subscribe_refused",
            {error_kind::bad_message, "a node subscribed twice on one stream", "report this as a defect", {}});
  core_.close(id);
  end_stream(id);
}

void publisher_service::on_node_message(std::uint64_t id, const applied_report& report) {
  if (const auto offer = core_.on_applied(id, report, timer_service::now())) send(*offer);
  if (const auto confirmed = core_.take_confirmed_version()) {
    log_event(log_level::info, "document_confirmed", {{"version", confirmed->text()}, {"subscriptions", core_.size()}});
  }
  answer_waits();
}

void publisher_service::on_node_message(std::uint64_t id, const refused_report& report) {
  log_error("offer_refused", report.reason, {{"node", peers_[id].node_id}, {"version", report.refused.text()}});
  if (const auto offer = core_.on_refused(id, report, timer_service::now())) send(*offer);
}

void publisher_service::on_node_message(std::uint64_t id, const evidence_report& report) {
  if (!rollout_) return;
  const subscribe_request& peer = peers_[id];
  rollout_.post(evidence_received{peer.node_id, peer.availability_zone, report});
}

void publisher_service::on_node_message(std::uint64_t id, const permit_request& request) {
  const auto to = outgoing_.find(id);
  if (permits_ && to != outgoing_.end()) permits_.post(permits_requested{id, request, to->second});
}

void publisher_service::on_node_message(std::uint64_t id, const departure_report& report) {
  const auto peer = peers_.find(id);
  if (peer == peers_.end()) return;
  boost::asio::co_spawn(kernel_->executor(), record(id, {peer->second.node_id, report.departure}, report.id),
                        boost::asio::detached);
}

// A node that gets no receipt in time reports the departure again.
awaitable<void> publisher_service::record(std::uint64_t subscription, record_departure command, std::uint64_t report) {
  const address<publisher_message> inbox = inbox_->address();
  auto make = [&command](reply<std::uint64_t> answer) { return submit_departure{command, std::move(answer)}; };
  const outcome<std::uint64_t> recorded =
      co_await ask<std::uint64_t>(kernel_->timers(), kernel_->executor(), ledger_, departure_timeout, make);
  if (!recorded) {
    log_error("departure_not_recorded", recorded.failure(),
              {{"node", command.host}, {"target", command.departure.target}});
    co_return;
  }
  departure_recorded done{subscription, report};
  (void)co_await inbox.send(std::move(done));
}

// The list comes before the offer, so that a node with a document has it.
void publisher_service::send_departures(std::uint64_t id, const host_departures& departures) {
  const auto peer = peers_.find(id);
  if (peer == peers_.end() || !peer->second.want_departures) return;
  const auto found = departures.find(peer->second.node_id);
  departure_list list;
  if (found != departures.end()) list.departures = found->second;
  send({id, std::make_shared<const control_message>(std::move(list))});
}

void publisher_service::send(const publisher_core::offer& offer) {
  const auto found = outgoing_.find(offer.to);
  if (found == outgoing_.end()) return;
  if (encoded_message_ != offer.message) {
    encoded_message_ = offer.message;
    encoded_ = std::make_shared<const std::string>(encode(*offer.message));
  }
  if (!found->second.post(encoded_)) {
    log_error("subscriber_too_slow",
              {error_kind::overloaded,
               "a node does not read its subscription stream fast enough",
               "check the node's load",
               {}},
              {{"node", peers_[offer.to].node_id}});
    core_.close(offer.to);
    reset_stream(offer.to);
  }
}

void publisher_service::send(const std::vector<publisher_core::offer>& offers) {
  for (const publisher_core::offer& offer : offers) send(offer);
}

// A null frame makes the subscription task end the stream after the frames posted before it.
void publisher_service::end_stream(std::uint64_t id) {
  if (const auto found = outgoing_.find(id); found != outgoing_.end()) found->second.post(nullptr);
  forget_stream(id);
}

// Frames that the node doesn't read may fill the mailbox, so the reset has one of its own.
void publisher_service::reset_stream(std::uint64_t id) {
  if (const auto found = resets_.find(id); found != resets_.end()) found->second.post(reset_subscription{});
  forget_stream(id);
}

void publisher_service::forget_stream(std::uint64_t id) {
  outgoing_.erase(id);
  resets_.erase(id);
  peers_.erase(id);
}

void publisher_service::begin_confirmation() {
  if (confirming_) return;
  confirming_ = true;
  running_confirmations_ = std::exchange(queued_confirmations_, {});
  std::vector<std::string> hosts;
  for (const std::uint64_t id : running_confirmations_) {
    if (const auto peer = peers_.find(id); peer != peers_.end()) hosts.push_back(peer->second.node_id);
  }
  boost::asio::co_spawn(kernel_->executor(), ask_confirmation(std::move(hosts)), boost::asio::detached);
}

// The departures are read after the document, so they are at least as recent as the confirmation.
awaitable<void> publisher_service::ask_confirmation(std::vector<std::string> hosts) {
  const address<publisher_message> inbox = inbox_->address();
  auto make = [](reply<document_state_ptr> answer) { return get_document{true, std::move(answer)}; };
  outcome<document_state_ptr> state =
      co_await ask<document_state_ptr>(kernel_->timers(), kernel_->executor(), ledger_, confirmation_timeout, make);
  confirmation_finished finished{outcome<confirmed_state>(confirmed_state{})};
  if (!state) {
    finished.state = state.failure();
  } else {
    auto make_request = [&hosts](reply<host_departures> answer) {
      return get_departures{std::move(hosts), std::move(answer)};
    };
    outcome<host_departures> departures =
        co_await ask<host_departures>(kernel_->timers(), kernel_->executor(), ledger_, status_timeout, make_request);
    if (departures) {
      finished.state = confirmed_state{std::move(*state), std::move(*departures)};
    } else {
      finished.state = departures.failure();
    }
  }
  (void)co_await inbox.send(std::move(finished));
}

awaitable<void> publisher_service::ask_host_state() {
  const address<publisher_message> inbox = inbox_->address();
  auto make = [](reply<consensus_status> answer) { return get_consensus_status{std::move(answer)}; };
  const outcome<consensus_status> status =
      co_await ask<consensus_status>(kernel_->timers(), kernel_->executor(), consensus_, status_timeout, make);
  auto make_request = [](reply<std::uint64_t> answer) { return get_applied_index{std::move(answer)}; };
  const outcome<std::uint64_t> applied =
      co_await ask<std::uint64_t>(kernel_->timers(), kernel_->executor(), ledger_, status_timeout, make_request);
  host_state_reported report;
  if (status && applied) report = {status->has_quorum, status->is_current, status->commit_index, *applied};
  inbox.post(report);
}

void publisher_service::reset_stalled() {
  for (const publisher_core::stalled_subscription& stalled : core_.take_stalled()) {
    log_event(log_level::warning, "subscription_stalled",
              {{"node", stalled.node_id}, {"offered", stalled.offered.text()}, {"applied", stalled.applied.text()}});
    reset_stream(stalled.id);
  }
}

void publisher_service::answer_waits() {
  const time_point now = timer_service::now();
  std::erase_if(pending_waits_, [&](const pending_wait& wait) {
    if (core_.all_applied(wait.request.wanted)) {
      wait.request.answer(core_.statuses(now));
      return true;
    }
    return now - wait.received > max_wait;
  });
}

boost::json::value publisher_service::dump() const {
  boost::json::array rows;
  for (const subscriber_status& row : core_.statuses(timer_service::now())) {
    boost::json::object item{{"node", row.node_id},
                             {"availability_zone", row.availability_zone},
                             {"version", row.applied.text()},
                             {"since_ms", row.applied_for.count()}};
    if (row.refused) item["refused"] = to_json(*row.refused);
    rows.push_back(std::move(item));
  }
  return boost::json::object{
      {"version", core_.current().text()},
      {"quorum", quorum_},
      {"waiting_for_first_offer", core_.waiting()},
      {"refused_busy", refused_busy_},
      {"mailbox", boost::json::object{{"depth", inbox_->depth()}, {"refused", inbox_->refused()}}},
      {"subscribers", std::move(rows)}};
}

}  // namespace heatherdeck
