// Converts mailbox messages into events of the Raft state machine and executes its actions in order. Invariants: at
// most one batch is with the log writer and one message with the ledger, so both keep their order; entries that arrive
// meanwhile join the next batch (group commit). A full mailbox suspends its sender, never this task.
// An event costs one step; a commit costs one write and one sync on this host.
#include "consensus/consensus_task.h"

#include <algorithm>
#include <random>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "consensus/log_record.h"
#include "consensus/wire_entry_codec.h"
#include "kernel/log.h"
#include "wire/codec.h"

namespace heatherdeck {

namespace {
using namespace std::chrono_literals;

constexpr std::size_t inbox_capacity = 1024;
constexpr std::size_t requests_capacity = 1024;
constexpr std::size_t streams_capacity = 32;
// Proposals are rejected while more messages than this wait for the ledger, which bounds its backlog.
constexpr std::size_t max_undelivered = 1024;
// On start a host must apply all entries after the last snapshot before it can serve requests. On a small host (0.15
// CPU cores) 45 entries took 0.6 to 1.3 s; a snapshot costs one write and two syncs.
constexpr std::uint64_t entries_per_snapshot = 16;
constexpr std::uint64_t bytes_per_snapshot = 32 << 20;
constexpr milliseconds image_timeout = 10'000ms;
// More than three election timeouts (600 ms) without an answer: the connection is replaced even when writes still
// succeed.
constexpr milliseconds peer_silence_timeout = 2000ms;

// Sorted by id, so that every host has the same order whatever the order in the settings.
std::vector<raft_member> founders_of(const settings& s) {
  std::vector<raft_member> founders;
  for (const control_host& host : s.control_hosts) founders.push_back({host.id, {}, host.mesh_address, false});
  if (founders.empty()) founders.push_back({s.id, {}, s.mesh_address(), false});
  std::sort(founders.begin(), founders.end(),
            [](const raft_member& a, const raft_member& b) { return a.host_id < b.host_id; });
  return founders;
}
}  // namespace

consensus_service::task::task(executor_type executor)
    : requests(executor, requests_capacity),
      streams(executor, streams_capacity),
      executor_(executor),
      inbox_(executor, inbox_capacity) {}

result<void> consensus_service::task::start(const settings& s, environment env) {
  environment_ = std::move(env);
  host_id_ = s.id;
  seed_ = (s.seed != 0 ? s.seed : std::random_device{}()) ^ (std::uint64_t{crc32c(s.id)} << 16U);
  BOOST_LEAF_AUTO(store, log_store::open(file_system_, {s.data_folder, wire_entry_codec()}));
  stored_state stored = store.take_state();
  store_id_ = stored.store_id;
  raft_config config;
  config.host_id = s.id;
  config.founders = founders_ = founders_of(s);
  config.may_bootstrap = s.form_log;
  config.automatic_membership = !s.founders.empty();
  // With 2n + 1 voters every commit is durable on n + 1 of them, so after the loss of n data folders at least one of
  // the remaining voters holds it, and these are still a quorum.
  config.min_voters = s.tolerated_losses == 0 ? 0 : 2 * s.tolerated_losses + 1;
  config.heartbeat_interval = s.heartbeat_interval;
  config.election_timeout = s.election_timeout;
  config.lease = s.election_timeout * 5 / 6;  // 500 ms with the default of 600 ms
  config.seed = seed_;
  config.codec = wire_entry_codec();
  const snapshot_ptr snapshot = stored.snapshot;
  BOOST_LEAF_ASSIGN(core_, raft_core::make(std::move(config), std::move(stored), timer_service::now()));
  writer_ = std::make_unique<log_writer>(executor_, std::move(store),
                                         [to = inbox_.address(), ex = executor_](outcome<std::uint64_t> ticket) {
                                           boost::asio::co_spawn(
                                               ex,
                                               [to, ticket = std::move(ticket)]() mutable -> awaitable<void> {
                                                 consensus_input input = batch_written{std::move(ticket)};
                                                 (void)co_await to.send(std::move(input));
                                               },
                                               boost::asio::detached);
                                         });
  if (snapshot) execute(restore_state{snapshot});
  const auto self = shared_from_this();
  boost::asio::co_spawn(
      executor_, [self]() -> awaitable<void> { co_await self->run(); }, boost::asio::detached);
  boost::asio::co_spawn(
      executor_, [self]() -> awaitable<void> { co_await self->forward_requests(); }, boost::asio::detached);
  boost::asio::co_spawn(
      executor_, [self]() -> awaitable<void> { co_await self->accept_streams(); }, boost::asio::detached);
  arm_timer();
  return {};
}

void consensus_service::task::stop() {
  if (stopped_) return;
  stopped_ = true;
  timer_.cancel();
  requests.close();
  streams.close();
  inbox_.close();
  links_.clear();
  proposals_.clear();
  reads_.clear();
  writer_.reset();
}

// Coroutines.

awaitable<void> consensus_service::task::run() {
  const auto self = shared_from_this();
  for (;;) {
    auto input = co_await inbox_.receive();
    if (!input || stopped_) co_return;
    std::visit([this](auto&& message) { handle(std::forward<decltype(message)>(message)); }, std::move(*input));
    // Checked after every input, so that a long queue does not delay heartbeats.
    if (!failure_ && timer_service::now() >= core_->timer_deadline()) step(timer_expired{});
    arm_timer();
  }
}

awaitable<void> consensus_service::task::forward_requests() {
  const auto self = shared_from_this();
  const auto to = inbox_.address();
  for (;;) {
    auto message = co_await requests.receive();
    if (!message) co_return;
    consensus_input input = std::move(*message);
    auto sent = co_await to.send(std::move(input));
    if (!sent) co_return;
  }
}

awaitable<void> consensus_service::task::accept_streams() {
  const auto self = shared_from_this();
  const auto to = inbox_.address();
  for (;;) {
    auto incoming = co_await streams.receive();
    if (!incoming) co_return;
    boost::asio::co_spawn(executor_, read_stream(std::move(*incoming), to), boost::asio::detached);
  }
}

awaitable<void> consensus_service::task::read_stream(incoming_stream incoming, address<consensus_input> to) {
  header_list headers{{":status", "200"}};
  auto begun = co_await incoming.stream->send_headers(std::move(headers), false);
  if (!begun) co_return;
  for (;;) {
    auto frame = co_await incoming.stream->read_frame();
    if (!frame) co_return;
    outcome<raft_message> message = capture([&] { return decode<raft_message>(*frame); });
    if (!message || message->from != incoming.peer_id) {
      log_error("raft_message_refused",
                message
                    ? error{error_kind::unauthorised, "the sender of the Raft message is not the authenticated peer",
                            "check the ids in the settings of both hosts", message->from}
                    : message.failure(),
                {{"peer", incoming.peer_id}});
      co_return;
    }
    consensus_input input = message_received{std::move(*message)};
    auto sent = co_await to.send(std::move(input));
    if (!sent) co_return;
  }
}

awaitable<void> consensus_service::task::deliver(address<ledger_message> ledger, ledger_message message,
                                                 address<consensus_input> to) {
  auto sent = co_await ledger.send(std::move(message));
  if (!sent) co_return;
  consensus_input input = delivered{};
  (void)co_await to.send(std::move(input));
}

awaitable<void> consensus_service::task::fetch_image(timer_service& timers, executor_type executor,
                                                     address<ledger_message> ledger, address<consensus_input> to) {
  auto make = [](reply<ledger_image> answer) { return get_ledger_image{std::move(answer)}; };
  auto image = co_await ask<ledger_image>(timers, executor, ledger, image_timeout, make);
  consensus_input input = image_received{std::move(image)};
  (void)co_await to.send(std::move(input));
}

// Input handlers.

void consensus_service::task::handle(consensus_message message) {
  std::visit([this](auto&& request) { on_request(std::forward<decltype(request)>(request)); }, std::move(message));
}

void consensus_service::task::on_request(propose_command request) {
  if (failure_) return request.answer(*failure_);
  if (undelivered_.size() > max_undelivered) {
    return request.answer(
        error{error_kind::overloaded, "the ledger is too far behind the replicated log", "try again later", {}});
  }
  const std::uint64_t id = next_id_++;
  proposals_[id] = std::move(request.answer);
  step(proposal_received{id, std::move(request.payload)});
}

void consensus_service::task::on_request(forward_command request) {
  if (!failure_ && undelivered_.size() <= max_undelivered) step(command_forwarded{std::move(request.payload)});
}

void consensus_service::task::on_request(confirm_read request) {
  if (failure_) return request.answer(*failure_);
  const std::uint64_t id = next_id_++;
  reads_[id] = std::move(request.answer);
  step(read_received{id});
}

void consensus_service::task::on_request(get_consensus_status request) {
  request.answer(core_->status(timer_service::now()));
}

void consensus_service::task::on_request(change_membership request) {
  if (failure_) return request.answer(*failure_);
  const std::uint64_t id = next_id_++;
  proposals_[id] = std::move(request.answer);
  step(membership_change{id, request.action, std::move(request.member)});
}

void consensus_service::task::on_request(const directory_changed& view) {
  if (failure_) return;
  std::vector<raft_member> hosts;
  for (const member_record& member : *view.members) {
    if (member.role != process_role::control || member.state == member_state::left) continue;
    if (member.node_id != host_id_) hosts.push_back({member.node_id, {}, member.mesh_address, false});
  }
  discovered_hosts_ = hosts;
  step(hosts_discovered{std::move(hosts)});
}

void consensus_service::task::handle(message_received message) {
  if (failure_) return;
  unanswered_since_.erase(message.message.from);
  step(std::move(message));
}

void consensus_service::task::handle(timer_expired /*message*/) {
  // `run` steps the core after every input once its deadline has passed.
}

void consensus_service::task::handle(batch_written message) {
  writing_ = false;
  if (!message.ticket) return stop_process(message.ticket.failure());
  if (failure_) return;
  step(persisted{*message.ticket});
  write_next_batch();
}

void consensus_service::task::handle(delivered /*message*/) {
  delivering_ = false;
  deliver_next();
}

void consensus_service::task::handle(image_received message) {
  fetching_image_ = false;
  if (failure_) return;
  if (!message.image) return log_error("snapshot_failed", message.image.failure());
  entries_since_snapshot_ = 0;
  bytes_since_snapshot_ = 0;
  step(image_taken{message.image->index, std::move(message.image->bytes)});
}

// Action handlers.

void consensus_service::task::step(raft_event event) {
  std::vector<raft_action> actions = core_->step(timer_service::now(), std::move(event));
  for (raft_action& action : actions) {
    std::visit([this](auto&& a) { execute(std::forward<decltype(a)>(a)); }, std::move(action));
    if (failure_) return;
  }
  log_role_change();
}

void consensus_service::task::execute(persist_state action) {
  unwritten_.push_back(std::move(action));
  write_next_batch();
}

void consensus_service::task::write_next_batch() {
  if (writing_ || unwritten_.empty() || !writer_) return;
  writing_ = true;
  writer_->write(std::exchange(unwritten_, {}));
}

void consensus_service::task::execute(send_message action) {
  const std::string to = action.message.to;
  peer_link* link = link_to(to);
  if (link == nullptr) return;
  const auto [since, added] = unanswered_since_.try_emplace(to, timer_service::now());
  if (!added && timer_service::now() - since->second > peer_silence_timeout) {
    since->second = timer_service::now();
    link->reconnect();
  }
  link->post(std::move(action.message));
}

peer_link* consensus_service::task::link_to(const std::string& host_id) {
  // The settings take precedence over the membership, so that a host with a new address is reached there.
  const raft_member* host = find_member(founders_, host_id);
  if (host == nullptr) host = find_member(core_->known_hosts(), host_id);
  if (host == nullptr) host = find_member(discovered_hosts_, host_id);
  const auto found = links_.find(host_id);
  if (host == nullptr) return found == links_.end() ? nullptr : found->second.get();
  if (found != links_.end() && found->second->mesh_address() == host->mesh_address) return found->second.get();
  auto link = std::make_unique<peer_link>(peer_link::target{host_id, host->mesh_address, seed_ ^ crc32c(host_id)},
                                          environment_.owner->timers(), executor_, environment_.mesh);
  return (links_[host_id] = std::move(link)).get();
}

void consensus_service::task::execute(apply_committed action) {
  entries_since_snapshot_ += action.entries.size();
  for (const log_entry& entry : action.entries) bytes_since_snapshot_ += entry.payload.size();
  apply_entries* last = undelivered_.empty() ? nullptr : std::get_if<apply_entries>(&undelivered_.back());
  if (last != nullptr) {
    std::move(action.entries.begin(), action.entries.end(), std::back_inserter(last->entries));
  } else {
    undelivered_.emplace_back(apply_entries{std::move(action.entries)});
  }
  deliver_next();
  take_snapshot_if_due();
}

void consensus_service::task::execute(restore_state action) {
  undelivered_.clear();  // the snapshot contains these entries
  undelivered_.emplace_back(install_ledger_image{action.snapshot->index, std::string(action.snapshot->state())});
  deliver_next();
}

void consensus_service::task::deliver_next() {
  if (delivering_ || undelivered_.empty()) return;
  delivering_ = true;
  ledger_message message = std::move(undelivered_.front());
  undelivered_.pop_front();
  boost::asio::co_spawn(executor_, deliver(environment_.ledger, std::move(message), inbox_.address()),
                        boost::asio::detached);
}

void consensus_service::task::take_snapshot_if_due() {
  if (fetching_image_ || (entries_since_snapshot_ < entries_per_snapshot && bytes_since_snapshot_ < bytes_per_snapshot))
    return;
  fetching_image_ = true;
  boost::asio::co_spawn(executor_,
                        fetch_image(environment_.owner->timers(), executor_, environment_.ledger, inbox_.address()),
                        boost::asio::detached);
}

void consensus_service::task::execute(answer_proposal action) {
  if (auto found = proposals_.extract(action.id)) found.mapped()(std::move(action.answer));
}

void consensus_service::task::execute(answer_read action) {
  if (auto found = reads_.extract(action.id)) found.mapped()(std::move(action.answer));
}

void consensus_service::task::execute(halt action) { stop_process(action.reason); }

// After this nothing is sent or accepted, because the state on disk is unknown.
void consensus_service::task::stop_process(const error& reason) {
  if (failure_) return;
  failure_ = reason;
  log_error("consensus_failed", reason);
  for (auto& [id, answer] : std::exchange(proposals_, {})) {
    answer(error{error_kind::unknown_outcome, "consensus stopped before the outcome was known: " + reason.text,
                 reason.remedy, reason.where});
  }
  for (auto& [id, answer] : std::exchange(reads_, {})) answer(reason);
  timer_.cancel();
  links_.clear();
  environment_.owner->request_stop(1);
}

void consensus_service::task::arm_timer() {
  if (failure_ || stopped_ || core_->timer_deadline() == armed_deadline_) return;
  armed_deadline_ = core_->timer_deadline();
  const duration delay = armed_deadline_ - timer_service::now();
  timer_ = environment_.owner->timers().after(delay, [to = inbox_.address()] { to.post(timer_expired{}); });
}

}  // namespace heatherdeck
