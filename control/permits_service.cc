// One task owns the core and handles all messages; answers go straight to the mailbox of the node's subscription.
// Invariant: a permit is deducted before its answer is posted, so a dropped or lost answer loses permits and never
// duplicates them. Cost: one message each way for each batch of a node, and for each round of loans with a peer.
#include "control/permits_service.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>

#include "kernel/log.h"
#include "model/service_names.h"
#include "wire/codec.h"
#include "wire/metrics.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t inbox_capacity = 1024;
constexpr std::size_t stream_capacity = 64;
constexpr auto tick_period = 250ms;
constexpr auto status_timeout = 200ms;

void add(std::string_view event, double total, double& shown) {
  if (total <= shown) return;
  counter("heatherdeck_permits_total", "Permits of the fleet-wide rate limit by what became of them",
          {{"event", std::string(event)}})
      .Increment(total - shown);
  shown = total;
}

void add(std::string_view event, std::uint64_t total, std::uint64_t& shown) {
  auto before = static_cast<double>(shown);
  add(event, static_cast<double>(total), before);
  shown = total;
}

}  // namespace

result<std::unique_ptr<permits_service>> permits_service::make(const settings& s) {
  return std::unique_ptr<permits_service>(new permits_service(s.id));
}

std::string_view permits_service::name() const { return to_name(service_name::permits); }

std::vector<std::string_view> permits_service::dependencies() const {
  return {to_name(service_name::mesh), to_name(service_name::consensus)};
}

void permits_service::publish(kernel& k) {
  kernel_ = &k;
  inbox_ = std::make_unique<mailbox<permits_message>>(k.executor(), inbox_capacity);
  streams_ = std::make_unique<mailbox<incoming_stream>>(k.executor(), stream_capacity);
  k.publish(name(), inbox_->address());
  k.publish(name(), streams_->address());
}

result<void> permits_service::start(kernel& k) {
  BOOST_LEAF_ASSIGN(mesh_, k.find<mesh_message>(to_name(service_name::mesh)));
  BOOST_LEAF_ASSIGN(consensus_, k.find<consensus_message>(to_name(service_name::consensus)));
  tick_ = k.timers().every(tick_period, [inbox = inbox_->address()] { inbox.post(permits_tick{}); });
  boost::asio::co_spawn(k.executor(), run(), boost::asio::detached);
  boost::asio::co_spawn(k.executor(), accept_streams(), boost::asio::detached);
  return {};
}

void permits_service::stop() {
  tick_.cancel();
  loan_timer_.cancel();
  links_.clear();
  inbox_->close();
  streams_->close();
}

awaitable<void> permits_service::run() {
  for (;;) {
    outcome<permits_message> message = co_await inbox_->receive();
    if (!message) co_return;
    std::visit([this](auto&& m) { handle(std::forward<decltype(m)>(m)); }, std::move(*message));
    send_loan_requests();
  }
}

awaitable<void> permits_service::accept_streams() {
  for (;;) {
    outcome<incoming_stream> incoming = co_await streams_->receive();
    if (!incoming) co_return;
    serve_loans(*kernel_, std::move(*incoming), inbox_->address());
  }
}

awaitable<void> permits_service::ask_membership() {
  const address<permits_message> inbox = inbox_->address();
  auto make = [](reply<consensus_status> answer) { return get_consensus_status{std::move(answer)}; };
  outcome<consensus_status> status =
      co_await ask<consensus_status>(kernel_->timers(), kernel_->executor(), consensus_, status_timeout, make);
  if (status) inbox.post(membership_reported{std::move(*status)});
}

void permits_service::handle(permits_tick&&) {
  boost::asio::co_spawn(kernel_->executor(), ask_membership(), boost::asio::detached);
  const time_point now = timer_service::now();
  core_.tick(now);
  publish_metrics();
  if (core_.grants(now) == granting_) return;
  granting_ = !granting_;
  log_event(log_level::info, "permits_granting", {{"grants", granting_}});
}

void permits_service::handle(limits_changed&& m) { core_.set_accounts(timer_service::now(), m.document->accounts); }

void permits_service::handle(permits_requested&& m) {
  control_message answer = core_.on_request(timer_service::now(), m.subscription, m.request);
  if (!m.outgoing.post(std::make_shared<const std::string>(encode(answer)))) ++answers_dropped_;
}

void permits_service::handle(loan_requested&& m) {
  const loan_message answer = core_.on_loan_request(timer_service::now(), m.request);
  if (!m.outgoing.post(std::make_shared<const std::string>(encode(answer)))) ++answers_dropped_;
}

void permits_service::handle(loan_answered&& m) { core_.on_loan_answer(timer_service::now(), m.peer_id, m.answer); }

void permits_service::handle(membership_reported&& m) {
  std::size_t voters = 0;
  std::vector<std::string> peers;
  for (const raft_member& member : m.status.voters) {
    if (member.learner) continue;
    ++voters;
    if (member.host_id != own_id_) peers.push_back(member.host_id);
  }
  core_.set_membership(timer_service::now(), voters, m.status.role != raft_role::learner, std::move(peers));
  connect_peers(m.status);
}

void permits_service::connect_peers(const consensus_status& status) {
  const auto address_of = [&](const std::string& host_id) -> const std::string* {
    for (const raft_member& member : status.voters) {
      if (!member.learner && member.host_id == host_id) return &member.mesh_address;
    }
    return nullptr;
  };
  std::erase_if(links_, [&](const auto& link) {
    const std::string* where = address_of(link.first);
    return where == nullptr || *where != link.second->mesh_address();
  });
  for (const raft_member& member : status.voters) {
    if (member.learner || member.host_id == own_id_ || links_.contains(member.host_id)) continue;
    links_[member.host_id] =
        std::make_unique<loan_link>(*kernel_, mesh_, member.host_id, member.mesh_address, inbox_->address());
  }
}

void permits_service::send_loan_requests() {
  const time_point now = timer_service::now();
  for (auto& [peer, request] : core_.take_loan_requests(now)) {
    // A request that is dropped here is given up by the core after its time-out.
    if (const auto link = links_.find(peer); link != links_.end()) link->second->post(std::move(request));
  }
  const std::optional<time_point> due = core_.next_loan_time(now);
  if (!due || (loans_due_at_ && *loans_due_at_ <= *due && *loans_due_at_ > now)) return;
  loans_due_at_ = due;
  loan_timer_ = kernel_->timers().after(*due - now, [inbox = inbox_->address()] { inbox.post(loans_due{}); });
}

void permits_service::publish_metrics() {
  const permit_counters& totals = core_.counters();
  add("granted", totals.granted, published_.granted);
  add("spent", totals.spent, published_.spent);
  add("returned", totals.returned, published_.returned);
  add("expired", totals.expired, published_.expired);
  add("refused", totals.refused, published_.refused);
  add("deferred", totals.deferred, published_.deferred);
  add("lent", totals.lent, published_.lent);
  add("borrowed", totals.borrowed, published_.borrowed);
}

boost::json::value permits_service::dump() const {
  boost::json::value state = core_.dump(timer_service::now());
  state.as_object()["answers_dropped"] = answers_dropped_;
  return state;
}

}  // namespace heatherdeck
