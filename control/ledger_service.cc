// One task receives messages; proposals and confirmed reads wait in child tasks that hold addresses only and report
// back by message.
//
// Invariants: a command is answered as accepted or refused only after its entry has been applied here; a caller whose
// proposal may still be committed gets unknown_outcome, never a refusal. Cost: one copy of the document for each batch
// of entries that changes it.
#include "control/ledger_service.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/json/object.hpp>

#include "control/ledger_image.h"
#include "kernel/log.h"
#include "model/document_digest.h"
#include "model/service_names.h"
#include "wire/codec.h"
#include "wire/metrics.h"

namespace heatherdeck {
namespace {

error unknown_outcome(std::string text) {
  return {
      error_kind::unknown_outcome, std::move(text), "send it again with the same id; the first answer is returned", {}};
}

// Errors of the consensus service that prove that the command was not appended to the log; with any other error the
// outcome is unknown.
bool proves_not_appended(error_kind kind) {
  return kind == error_kind::not_leader || kind == error_kind::no_quorum || kind == error_kind::overloaded;
}

awaitable<void> propose_task(timer_service& timers, executor_type executor, address<consensus_message> consensus,
                             address<ledger_message> ledger, std::string payload, std::uint64_t proposal_id) {
  auto make = [&payload](reply<committed_position> answer) {
    return consensus_message(propose_command{std::move(payload), std::move(answer)});
  };
  const duration limit = ledger_service::propose_timeout;
  outcome<committed_position> result = co_await ask<committed_position>(timers, executor, consensus, limit, make);
  ledger_message report = proposal_finished{proposal_id, std::move(result)};
  // A closed mailbox means that the service has stopped; the report is not needed then.
  (void)co_await ledger.send(std::move(report));
}

awaitable<void> read_task(timer_service& timers, executor_type executor, address<consensus_message> consensus,
                          address<ledger_message> ledger, reply<document_state_ptr> answer) {
  auto make = [](reply<std::uint64_t> index) { return consensus_message(confirm_read{std::move(index)}); };
  const duration limit = ledger_service::propose_timeout;
  outcome<std::uint64_t> index = co_await ask<std::uint64_t>(timers, executor, consensus, limit, make);
  if (!index) {
    answer(index.failure());
    co_return;
  }
  ledger_message report = read_confirmed{*index, std::move(answer)};
  // A closed mailbox means that the service has stopped; the report is not needed then.
  (void)co_await ledger.send(std::move(report));
}

template <class Message, class Change>
awaitable<void> send_task(address<Message> target, Change change) {
  Message message = std::move(change);
  (void)co_await target.send(std::move(message));
}

}  // namespace

result<std::unique_ptr<service>> ledger_service::make(const settings& s) {
  return std::unique_ptr<service>(new ledger_service(s.epoch));
}

std::string_view ledger_service::name() const { return to_name(service_name::ledger); }

void ledger_service::publish(kernel& k) {
  inbox_.emplace(k.executor(), mailbox_capacity);
  k.publish(name(), inbox_->address());
}

result<void> ledger_service::start(kernel& k) {
  kernel_ = &k;
  BOOST_LEAF_ASSIGN(consensus_, k.find<consensus_message>(to_name(service_name::consensus)));
  const auto publisher = capture([&] { return k.find<publisher_message>(to_name(service_name::publisher)); });
  if (publisher) publisher_ = *publisher;
  const auto permits = capture([&] { return k.find<permits_message>(to_name(service_name::permits)); });
  if (permits) permits_ = *permits;
  const auto rollout = capture([&] { return k.find<rollout_message>(to_name(service_name::rollout)); });
  if (rollout) rollout_ = *rollout;
  const auto operators = capture([&] { return k.find<operators_message>(to_name(service_name::operators)); });
  if (operators) operators_ = *operators;
  boost::asio::co_spawn(k.executor(), run(), boost::asio::detached);
  return {};
}

void ledger_service::stop() {
  if (inbox_) inbox_->close();
}

boost::json::value ledger_service::dump() const {
  boost::json::object withdrawn;
  for (const auto& [key, value] : state_.document().withdrawn) withdrawn[key.first + "/" + key.second] = value.reason;
  boost::json::object rollouts;
  for (const auto& [service, value] : state_.document().rollouts) {
    rollouts[service] = boost::json::object{
        {"to", value.to}, {"share", value.share}, {"status", to_name(value.status)}, {"reason", value.reason}};
  }
  std::size_t answers = 0;
  for (const auto& [operator_name, stored] : state_.content().answers) answers += stored.size();
  return boost::json::object{{"version", state_.document().document_version.text()},
                             {"digest", to_hex(digest_of(state_.document()))},
                             {"applied", state_.applied()},
                             {"sections", state_.document().sections.size()},
                             {"rollouts", std::move(rollouts)},
                             {"withdrawn", std::move(withdrawn)},
                             {"stored_answers", answers},
                             {"departures", state_.departures().size()},
                             {"steps_from", state_.history().oldest().text()},
                             {"proposals", proposed_.size()},
                             {"mailbox_depth", inbox_ ? inbox_->depth() : 0},
                             {"mailbox_refused", inbox_ ? inbox_->refused() : 0}};
}

awaitable<void> ledger_service::run() {
  for (;;) {
    outcome<ledger_message> message = co_await inbox_->receive();
    if (!message) co_return;
    auto* entries = std::get_if<apply_entries>(&*message);
    if (entries == nullptr) {
      std::visit(
          [this](auto& one) {
            if constexpr (!std::is_same_v<std::decay_t<decltype(one)>, apply_entries>) handle(std::move(one));
          },
          *message);
      continue;
    }
    auto applying = apply_all(std::move(*entries));
    co_await std::move(applying);
  }
}

void ledger_service::handle(submit message) {
  // Applied entries are committed, so a known id is answered without asking a quorum.
  if (auto known = state_.answer_to_resend(message.change)) {
    message.answer(std::move(*known));
    return;
  }
  const ledger_command command = message.change;
  propose(command, {std::move(message.change), std::move(message.answer)});
}

void ledger_service::handle(propose_system_command message) {
  propose(message.command, {std::nullopt, std::move(message.answer)});
}

void ledger_service::propose(const ledger_command& command, pending_command pending) {
  if (proposed_.size() >= max_proposals) {
    pending.answer(error{error_kind::overloaded, "too many commands wait to be committed", "try again later", {}});
    return;
  }
  std::string payload = encode(command);
  // An entry that the codec cannot decode would stop every control host once it is committed, so it is refused here.
  const auto readable = capture([&] { return decode<ledger_command>(payload); });
  if (!readable) {
    pending.answer(error{error_kind::limit,
                         "the command is not accepted: " + readable.failure().text,
                         "keep a section under 64 KiB and a submission under 4 MiB",
                         {}});
    return;
  }
  const std::uint64_t proposal_id = next_proposal_id_++;
  proposed_.emplace(proposal_id, std::move(pending));
  boost::asio::co_spawn(kernel_->executor(),
                        propose_task(kernel_->timers(), kernel_->executor(), consensus_, inbox_->address(),
                                     std::move(payload), proposal_id),
                        boost::asio::detached);
}

void ledger_service::handle(proposal_finished message) {
  const auto found = proposed_.find(message.proposal_id);
  if (found == proposed_.end()) return;
  pending_command pending = std::move(found->second);
  proposed_.erase(found);
  if (!message.result) {
    const error& e = message.result.failure();
    answer_from_store(pending,
                      proves_not_appended(e.kind) ? e : unknown_outcome("no answer to the proposal: " + e.text));
    return;
  }
  const std::uint64_t index = message.result->index;
  if (index > state_.applied()) {
    committed_.emplace(index, std::move(pending));
    return;
  }
  const auto known =
      std::find_if(recent_.begin(), recent_.end(), [&](const auto& entry) { return entry.first == index; });
  if (known != recent_.end()) {
    pending.answer(known->second);
  } else {
    answer_from_store(pending, unknown_outcome("the entry was applied as part of an image of the state"));
  }
}

// The answer to a submission may be stored under its id although the proposal was reported as failed.
void ledger_service::answer_from_store(const pending_command& pending, const error& otherwise) {
  if (pending.change) {
    if (auto known = state_.answer_to_resend(*pending.change)) {
      pending.answer(std::move(*known));
      return;
    }
  }
  pending.answer(otherwise);
}

void ledger_service::handle(get_document message) {
  if (!message.confirmed) {
    message.answer(document_);
    return;
  }
  boost::asio::co_spawn(
      kernel_->executor(),
      read_task(kernel_->timers(), kernel_->executor(), consensus_, inbox_->address(), std::move(message.answer)),
      boost::asio::detached);
}

void ledger_service::handle(read_confirmed message) {
  reads_.emplace(message.index, std::move(message.answer));
  answer_reads();
}

void ledger_service::answer_reads() {
  const auto end = reads_.upper_bound(state_.applied());
  for (auto read = reads_.begin(); read != end; ++read) read->second(document_);
  reads_.erase(reads_.begin(), end);
}

void ledger_service::handle(find_submission message) {
  if (const command_result* known = state_.find(message.operator_name, message.id)) {
    message.answer(*known);
    return;
  }
  message.answer(error{error_kind::not_found,
                       "operator '" + message.operator_name + "' has no submission with the id '" + message.id + "'",
                       "submit it again with the same id, or ask another control host",
                       {}});
}

// The command has no answer of its own: it is recorded when this host has applied it, whichever host appended it.
void ledger_service::handle(submit_departure message) {
  if (!departure_log::is_valid(message.command)) {
    message.answer(error{error_kind::usage,
                         "the name of the host or of the target is empty or too long",
                         "use 1 to " + std::to_string(departure_log::max_name_bytes) + " bytes",
                         {}});
    return;
  }
  if (state_.departures().contains(message.command)) {
    message.answer(state_.applied());
    return;
  }
  answer_departures();  // drops those that have waited too long
  const ledger_command command = message.command;
  if (pending_departures_.size() >= max_pending_departures || !consensus_.post(forward_command{encode(command)})) {
    message.answer(error{error_kind::overloaded, "too many departures wait to be committed", "try again later", {}});
    return;
  }
  pending_departures_.push_back({std::move(message), timer_service::now()});
}

void ledger_service::handle(get_departures message) {
  host_departures found;
  for (const std::string& host : message.hosts) {
    if (auto list = state_.departures().of_host(host); !list.empty()) found[host] = std::move(list);
  }
  message.answer(std::move(found));
}

void ledger_service::answer_departures() {
  const time_point now = timer_service::now();
  std::erase_if(pending_departures_, [&](const pending_departure& pending) {
    if (!state_.departures().contains(pending.request.command)) return now - pending.since > propose_timeout;
    pending.request.answer(state_.applied());
    return true;
  });
}

// At start many entries are replayed in one message. The task yields after each entry: a new leader that sends no
// heartbeats during the replay loses its lease (seen with 0.15 of a core: 0.6 s for 45 entries, and a second election).
awaitable<void> ledger_service::apply_all(apply_entries message) {
  for (const log_entry& entry : message.entries) {
    if (entry.index <= state_.applied()) continue;
    apply(entry);
    if (entry.index == message.entries.back().index) break;
    co_await boost::asio::post(kernel_->executor(), boost::asio::use_awaitable);
  }
  notify_document_changed();
  answer_reads();
  answer_departures();
}

void ledger_service::apply(const log_entry& entry) {
  if (entry.kind != entry_kind::command) {
    state_.skip(entry.index);
    return;
  }
  const auto command = capture([&] { return decode<ledger_command>(entry.payload); });
  if (!command) {
    // Skipping this entry would make the state of this host diverge from the other hosts.
    fail_process("committed_entry_unreadable", command.failure());
    return;
  }
  const command_result answer = state_.apply(entry.index, *command);
  counter("heatherdeck_ledger_commands_total", "Committed commands by their answer",
          {{"answer", answer.ok() ? "accepted" : std::string(to_name(answer.refusal.kind))}})
      .Increment();
  recent_.emplace_back(entry.index, answer);
  if (recent_.size() > max_recent_answers) recent_.pop_front();
  answer_applied(entry.index, answer);
}

void ledger_service::answer_applied(std::uint64_t index, const command_result& answer) {
  const auto [first, last] = committed_.equal_range(index);
  for (auto pending = first; pending != last; ++pending) pending->second.answer(answer);
  committed_.erase(first, last);
}

void ledger_service::handle(install_ledger_image message) {
  if (message.bytes.empty()) return;
  auto content = capture([&] { return decode_image(message.bytes); });
  if (!content) return fail_process("image_refused", content.failure());
  if (content->applied < state_.applied()) return;
  auto restored = capture([&] { return ledger::restore(epoch_, std::move(*content)); });
  if (!restored) return fail_process("image_refused", restored.failure());
  state_ = std::move(*restored);
  if (state_.applied() < message.index) state_.skip(message.index);
  log_event(log_level::info, "image_installed",
            {{"index", message.index}, {"version", state_.document().document_version.text()}});
  answer_skipped();
  notify_document_changed();
  answer_reads();
  answer_departures();
}

// Entries up to the index of the image were applied on another host; their answers can be found by id only.
void ledger_service::answer_skipped() {
  const auto end = committed_.upper_bound(state_.applied());
  for (auto pending = committed_.begin(); pending != end; ++pending) {
    answer_from_store(pending->second, unknown_outcome("the entry was applied as part of an image of the state"));
  }
  committed_.erase(committed_.begin(), end);
}

void ledger_service::handle(get_ledger_image message) {
  message.answer(ledger_image{state_.applied(), encode_image(state_.content())});
}

void ledger_service::handle(get_applied_index message) { message.answer(state_.applied()); }

void ledger_service::notify_document_changed() {
  if (document_->document_version == state_.document().document_version) return;
  document_ = std::make_shared<const document_state>(state_.document());
  const document_changed change{document_, std::make_shared<const document_history>(state_.history())};
  gauge("heatherdeck_document_version_index", "Index of the accepted document's version")
      .Set(static_cast<double>(document_->document_version.index));
  log_event(log_level::info, "document_changed",
            {{"version", document_->document_version.text()}, {"sections", document_->sections.size()}});
  deliver(publisher_, change);
  if (permits_ && state_.compiled()) deliver(permits_, limits_changed{state_.compiled()});
  deliver(rollout_, change);
  deliver(operators_, change);
}

// A change must not be lost when the mailbox is full; a child task waits until there is room.
template <class Message, class Change>
void ledger_service::deliver(const address<Message>& target, const Change& change) {
  if (!target || target.post(change)) return;
  boost::asio::co_spawn(kernel_->executor(), send_task(target, change), boost::asio::detached);
}

void ledger_service::fail_process(const char* event, const error& e) {
  log_error(event, e);
  inbox_->close();
  kernel_->request_stop(1);
}

}  // namespace heatherdeck
