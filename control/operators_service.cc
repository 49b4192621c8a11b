// A routing table maps method and path to a member function; each call asks the service that owns the state and
// converts its answer to JSON. This service's own task keeps only the current version and the calls that wait for a
// newer one.
//
// Invariant: no submission reaches the ledger unsigned or with a section that the operator does not own. Cost: a
// waiting call holds one connection and one entry until a change or its time limit; there is no polling.
#include "control/operators_service.h"

#include <algorithm>
#include <charconv>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "kernel/log.h"
#include "model/distributed_document.h"
#include "model/operator_signature.h"
#include "model/service_names.h"
#include "wire/metrics.h"

namespace heatherdeck {
namespace {

std::string parameter(const http_request& request, const std::string& name) {
  const auto found = request.query.find(name);
  return found == request.query.end() ? std::string() : found->second;
}

// The longest time that a call waits for a change; 0 when the parameter is absent or malformed.
duration wait_limit(const http_request& request) {
  const std::string text = parameter(request, "wait_ms");
  std::uint32_t ms = 0;
  std::from_chars(text.data(), text.data() + text.size(), ms);
  return std::min<duration>(milliseconds(ms), operators_service::max_wait);
}

outcome<submission> read_submission(const std::string& body, const std::vector<operator_settings>& operators) {
  return capture([&]() -> result<submission> {
    BOOST_LEAF_AUTO(parsed, parse_json(body));
    BOOST_LEAF_AUTO(change, from_json<submission>(parsed));
    BOOST_LEAF_CHECK(authorise(change, operators));
    return change;
  });
}

// If the request to the ledger timed out or its mailbox was closed, the change may or may not have been accepted.
error submission_failure(const error& e) {
  if (e.kind != error_kind::timeout && e.kind != error_kind::closed) return e;
  return {error_kind::unknown_outcome, "the change may or may not have been accepted: " + e.text,
          "send it again with the same id; the first answer is returned", e.where};
}

}  // namespace

bool matches_section(std::string_view pattern, std::string_view section_name) {
  if (!pattern.ends_with('*')) return pattern == section_name;
  pattern.remove_suffix(1);
  return section_name.starts_with(pattern);
}

result<void> authorise(const submission& change, const std::vector<operator_settings>& operators) {
  const auto owner = std::find_if(operators.begin(), operators.end(),
                                  [&](const operator_settings& key) { return key.name == change.operator_name; });
  if (owner == operators.end()) {
    return fail(error_kind::unauthorised, "operator '" + change.operator_name.substr(0, 64) + "' is not known here",
                "add the operator to the settings of every control host", "operators");
  }
  BOOST_LEAF_CHECK(verify_submission(change, owner->public_key));
  for (const section_edit& edit : change.edits) {
    const bool owned = std::any_of(owner->sections.begin(), owner->sections.end(),
                                   [&](const std::string& pattern) { return matches_section(pattern, edit.name); });
    if (owned) continue;
    return fail(error_kind::not_owner,
                "operator '" + change.operator_name + "' does not own section '" + edit.name.substr(0, 128) + "'",
                "leave this section unchanged, or have it added to the operator's sections in the settings",
                "section " + edit.name.substr(0, 128));
  }
  return {};
}

struct operators_service::route {
  std::string_view method;
  std::string_view path;
  awaitable<http_response> (operators_service::*answer)(http_request);
};

const operators_service::route operators_service::routes[] = {
    {"POST", "/v1/submissions", &operators_service::accept_submission},
    {"GET", "/v1/submission", &operators_service::show_submission},
    {"GET", "/v1/document", &operators_service::show_document},
    {"GET", "/v1/section", &operators_service::show_section},
    {"GET", "/v1/status", &operators_service::show_status},
    {"GET", "/v1/rollouts", &operators_service::show_rollouts},
    {"GET", "/v1/dump", &operators_service::show_dump},
};

result<std::unique_ptr<service>> operators_service::make(const settings& s) {
  return std::unique_ptr<service>(new operators_service(s));
}

std::string_view operators_service::name() const { return to_name(service_name::operators); }

std::vector<std::string_view> operators_service::dependencies() const { return {to_name(service_name::ledger)}; }

void operators_service::publish(kernel& k) {
  inbox_.emplace(k.executor(), mailbox_capacity);
  k.publish(name(), inbox_->address());
}

result<void> operators_service::start(kernel& k) {
  kernel_ = &k;
  BOOST_LEAF_ASSIGN(ledger_, k.find<ledger_message>(to_name(service_name::ledger)));
  BOOST_LEAF_ASSIGN(consensus_, k.find<consensus_message>(to_name(service_name::consensus)));
  const auto publisher = capture([&] { return k.find<publisher_message>(to_name(service_name::publisher)); });
  if (publisher) publisher_ = *publisher;
  const auto rollout = capture([&] { return k.find<rollout_message>(to_name(service_name::rollout)); });
  if (rollout) rollout_ = *rollout;
  const auto directory = capture([&] { return k.find<directory_message>(to_name(service_name::directory)); });
  if (directory) directory_ = *directory;
  BOOST_LEAF_ASSIGN(listener_, http_listener::make(k, settings_.operator_listen,
                                                   [this](http_request r) { return serve(std::move(r)); }));
  boost::asio::co_spawn(k.executor(), run(), boost::asio::detached);
  return {};
}

awaitable<void> operators_service::drain() {
  answer_waiters(true);
  co_return;
}

void operators_service::stop() {
  answer_waiters(true);
  listener_.reset();
  if (inbox_) inbox_->close();
}

boost::json::value operators_service::dump() const {
  boost::json::array names;
  for (const operator_settings& key : settings_.operators) names.emplace_back(key.name);
  return boost::json::object{{"listen", settings_.operator_listen},
                             {"version", current_.text()},
                             {"operators", std::move(names)},
                             {"waiting_calls", waiters_.size()}};
}

// Messages to this service.

awaitable<void> operators_service::run() {
  for (;;) {
    outcome<operators_message> message = co_await inbox_->receive();
    if (!message) co_return;
    std::visit([this](auto& one) { handle(std::move(one)); }, *message);
  }
}

void operators_service::handle(document_changed message) {
  current_ = std::max(current_, message.state->document_version);
  answer_waiters(false);
}

void operators_service::handle(await_newer_version message) {
  // HTTP calls past their deadline have already been answered, because their `ask` timed out; only their entries are
  // left to be removed.
  const time_point now = timer_service::now();
  std::erase_if(waiters_, [&](const auto& item) { return item.second.deadline < now; });
  waiters_.emplace(message.after, waiter{message.deadline, std::move(message.answer)});
  answer_waiters(false);
}

void operators_service::answer_waiters(bool all) {
  const auto end = all ? waiters_.end() : waiters_.lower_bound(current_);
  for (auto one = waiters_.begin(); one != end; ++one) one->second.answer(current_);
  waiters_.erase(waiters_.begin(), end);
}

// Calls of the API.

awaitable<http_response> operators_service::serve(http_request request) {
  for (const route& r : routes) {
    if (r.method != request.method || r.path != request.path) continue;
    awaitable<http_response> answer = (this->*r.answer)(std::move(request));
    co_return co_await std::move(answer);
  }
  std::string known;
  for (const route& r : routes)
    known += (known.empty() ? "" : ", ") + std::string(r.method) + " " + std::string(r.path);
  co_return error_response({error_kind::not_found,
                            request.method + " " + request.path + " is not a call of the operators' API",
                            "use one of: " + known, request.path});
}

awaitable<http_response> operators_service::accept_submission(http_request request) {
  outcome<submission> change = read_submission(request.body, settings_.operators);
  if (!change) {
    counter("heatherdeck_submissions_total", "Submissions by their answer",
            {{"answer", std::string(to_name(change.failure().kind))}})
        .Increment();
    log_error("submission_refused", change.failure());
    co_return error_response(change.failure());
  }
  auto make = [&change](reply<command_result> answer) { return ledger_message(submit{*change, std::move(answer)}); };
  const duration limit = ask_timeout;
  outcome<command_result> answer =
      co_await ask<command_result>(kernel_->timers(), kernel_->executor(), ledger_, limit, make);
  submission_result result;
  if (answer) {
    result.answer = *answer;
  } else {
    result.answer.refusal = submission_failure(answer.failure());
  }
  if (result.answer.refusal.kind == error_kind::not_leader) {
    consensus_status status = co_await fetch_consensus_status();
    result.leader = operator_address_of(status.leader);
  }
  const bool accepted = result.answer.ok();
  counter("heatherdeck_submissions_total", "Submissions by their answer",
          {{"answer", accepted ? "accepted" : std::string(to_name(result.answer.refusal.kind))}})
      .Increment();
  const unsigned status = accepted ? 200 : error_response(result.answer.refusal).status;
  co_return json_response(status, to_json(result));
}

awaitable<http_response> operators_service::show_submission(http_request request) {
  const std::string operator_name = parameter(request, "operator");
  const std::string id = parameter(request, "id");
  auto make = [&](reply<command_result> answer) {
    return ledger_message(find_submission{operator_name, id, std::move(answer)});
  };
  const duration limit = ask_timeout;
  outcome<command_result> answer =
      co_await ask<command_result>(kernel_->timers(), kernel_->executor(), ledger_, limit, make);
  if (!answer) co_return error_response(answer.failure());
  co_return json_response(200, to_json(submission_result{*answer, {}}));
}

awaitable<http_response> operators_service::show_document(http_request request) {
  outcome<void> waited = co_await wait_for_change(request);
  if (!waited) co_return error_response(waited.failure());
  const bool confirmed = parameter(request, "confirmed") == "true";
  outcome<document_state_ptr> state = co_await fetch_document(confirmed);
  if (!state) co_return error_response(state.failure());
  co_return json_response(200, to_json(*distributed_part(*state)));
}

awaitable<http_response> operators_service::show_section(http_request request) {
  const std::string wanted = parameter(request, "name");
  outcome<document_state_ptr> state = co_await fetch_document(false);
  if (!state) co_return error_response(state.failure());
  const auto found = (*state)->sections.find(wanted);
  if (found == (*state)->sections.end() || kept_by_control_hosts(wanted)) {
    co_return error_response({error_kind::not_found, "the document has no section '" + wanted + "'",
                              "see the names with GET /v1/document", "section " + wanted});
  }
  co_return json_response(200, to_json(found->second));
}

awaitable<http_response> operators_service::show_status(http_request request) {
  control_status status;
  status.host = settings_.id;
  status.availability_zone = settings_.availability_zone;
  status.subscribers = co_await fetch_subscribers(request);
  status.nodes = co_await fetch_nodes();
  status.consensus = co_await fetch_consensus_status();
  status.leader_address = operator_address_of(status.consensus.leader);
  for (const control_host& one : settings_.control_hosts) status.control_addresses.push_back(one.operator_address);
  outcome<document_state_ptr> state = co_await fetch_document(false);
  if (!state) co_return error_response(state.failure());
  status.document = (*state)->document_version;
  co_return json_response(200, to_json(status));
}

awaitable<http_response> operators_service::show_rollouts(http_request request) {
  outcome<void> waited = co_await wait_for_change(request);
  if (!waited) co_return error_response(waited.failure());
  outcome<document_state_ptr> state = co_await fetch_document(false);
  if (!state) co_return error_response(state.failure());
  rollouts_status status;
  status.document = (*state)->document_version;
  for (const auto& [key, one] : (*state)->withdrawn) status.withdrawn.push_back(one);
  std::map<std::string, rollout_view> views;
  if (rollout_) {
    auto make = [](reply<std::vector<rollout_view>> answer) {
      return rollout_message(get_rollouts{std::move(answer)});
    };
    const duration limit = ask_timeout;
    outcome<std::vector<rollout_view>> known =
        co_await ask<std::vector<rollout_view>>(kernel_->timers(), kernel_->executor(), rollout_, limit, make);
    if (known) {
      for (rollout_view& view : *known) views[view.state.service] = std::move(view);
    }
  }
  // The document gives the state of each rollout; the rollout service adds the evidence and the time left.
  for (const auto& [service, one] : (*state)->rollouts) {
    rollout_view& view = views[service];
    view.state = one;
    status.rollouts.push_back(view);
  }
  co_return json_response(200, to_json(status));
}

awaitable<http_response> operators_service::show_dump(http_request) { co_return json_response(200, kernel_->dump()); }

// Requests to other services.

awaitable<outcome<document_state_ptr>> operators_service::fetch_document(bool confirmed) {
  auto make = [confirmed](reply<document_state_ptr> answer) {
    return ledger_message(get_document{confirmed, std::move(answer)});
  };
  const duration limit = ask_timeout;
  outcome<document_state_ptr> state =
      co_await ask<document_state_ptr>(kernel_->timers(), kernel_->executor(), ledger_, limit, make);
  co_return state;
}

awaitable<outcome<void>> operators_service::wait_for_change(http_request request) {
  const std::string after = parameter(request, "after");
  const duration limit = wait_limit(request);
  if (after.empty() || limit == duration::zero()) co_return outcome<void>();
  const outcome<version> known = capture([&] { return parse_version(after); });
  if (!known) co_return known.failure();
  const address<operators_message> self = inbox_->address();
  auto make = [&known, limit](reply<version> answer) {
    return operators_message(await_newer_version{*known, timer_service::now() + limit, std::move(answer)});
  };
  outcome<version> newer = co_await ask<version>(kernel_->timers(), kernel_->executor(), self, limit, make);
  if (!newer && newer.failure().kind == error_kind::overloaded) co_return newer.failure();
  co_return outcome<void>();
}

awaitable<std::vector<subscriber_status>> operators_service::fetch_subscribers(http_request request) {
  using subscriber_list = std::vector<subscriber_status>;
  if (!publisher_) co_return subscriber_list();
  const std::string wanted_text = parameter(request, "wanted");
  const outcome<version> wanted = capture([&] { return parse_version(wanted_text); });
  const duration limit = wait_limit(request);
  if (wanted && limit != duration::zero()) {
    auto make = [&wanted](reply<subscriber_list> answer) {
      return publisher_message(await_applied{*wanted, std::move(answer)});
    };
    outcome<subscriber_list> applied =
        co_await ask<subscriber_list>(kernel_->timers(), kernel_->executor(), publisher_, limit, make);
    if (applied) co_return std::move(*applied);
  }
  auto make = [](reply<subscriber_list> answer) { return publisher_message(get_subscribers{std::move(answer)}); };
  const duration timeout = ask_timeout;
  outcome<subscriber_list> known =
      co_await ask<subscriber_list>(kernel_->timers(), kernel_->executor(), publisher_, timeout, make);
  if (!known) co_return subscriber_list();
  co_return std::move(*known);
}

awaitable<std::vector<known_node>> operators_service::fetch_nodes() {
  std::vector<known_node> nodes;
  if (!directory_) co_return nodes;
  auto make = [](reply<member_list_ptr> answer) { return directory_message(get_members{std::move(answer)}); };
  const duration limit = ask_timeout;
  outcome<member_list_ptr> view =
      co_await ask<member_list_ptr>(kernel_->timers(), kernel_->executor(), directory_, limit, make);
  if (!view || !*view) co_return nodes;
  for (const member_record& member : **view) {
    // A draining node needs no newer document, and a member that has left no longer serves.
    const bool serves = member.role == process_role::node && member.state != member_state::left && !member.draining;
    if (serves) nodes.push_back({member.node_id, member.availability_zone});
  }
  co_return nodes;
}

awaitable<consensus_status> operators_service::fetch_consensus_status() {
  auto make = [](reply<consensus_status> answer) { return consensus_message(get_consensus_status{std::move(answer)}); };
  const duration limit = ask_timeout;
  outcome<consensus_status> status =
      co_await ask<consensus_status>(kernel_->timers(), kernel_->executor(), consensus_, limit, make);
  co_return status ? std::move(*status) : consensus_status();
}

std::string operators_service::operator_address_of(const std::string& host) const {
  for (const control_host& one : settings_.control_hosts) {
    if (one.id == host) return one.operator_address;
  }
  return {};
}

}  // namespace heatherdeck
