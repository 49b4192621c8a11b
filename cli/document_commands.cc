// show, status and watch: commands that read the replicated state. watch holds one waiting call; it polls nothing.
#include <algorithm>
#include <map>

#include <fmt/format.h>

#include "cli/command.h"
#include "cli/control_client.h"
#include "cli/edit_plan.h"
#include "cli/files.h"
#include "cli/flags.h"
#include "cli/report.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

constexpr auto watch_wait = 25s;
constexpr duration watch_limit = 35s;
constexpr duration watch_pause = 1s;

duration answer_limit() { return std::chrono::seconds(FLAGS_timeout_s); }

std::string without_last_newline(std::string text) {
  if (text.ends_with('\n')) text.pop_back();
  return text;
}

outcome<void> save_document(const document_state& state) {
  return capture([&]() -> result<void> {
    BOOST_LEAF_CHECK(write_file(FLAGS_out, render_document(section_texts_of(state))));
    return write_base(FLAGS_out + ".base", state);
  });
}

exit_code show_one(const command_context& context, const document_state& state, const std::string& wanted) {
  const auto found = state.sections.find(wanted);
  if (found == state.sections.end()) {
    return context.out.refuse({error_kind::not_found, "the document has no section '" + wanted + "'",
                               "see the names with 'heatherdeck show'", "section " + wanted});
  }
  context.out.tell(
      without_last_newline("# " + wanted + ", revision " + found->second.revision.text() + "\n" + found->second.text),
      to_json(found->second));
  return exit_code::done;
}

exit_code show_all(const command_context& context, const document_state& state) {
  if (!FLAGS_out.empty()) {
    const outcome<void> saved = save_document(state);
    if (!saved) return context.out.refuse(saved.failure());
    context.out.tell("version " + state.document_version.text() + " written to " + FLAGS_out + "; its base to " +
                         FLAGS_out + ".base",
                     {{"version", state.document_version.text()}, {"file", FLAGS_out}, {"base", FLAGS_out + ".base"}});
    return exit_code::done;
  }
  std::string text = "# version " + state.document_version.text() + "\n";
  for (const auto& [name, one] : state.sections) text += "# " + name + ": revision " + one.revision.text() + "\n";
  for (const auto& [service, one] : state.rollouts) text += "# " + describe(one) + "\n";
  for (const auto& [key, one] : state.withdrawn) {
    text += "# withdrawn: " + key.first + " " + key.second + " in version " + one.withdrawn_in.text() + ": " +
            one.reason + "\n";
  }
  context.out.tell(without_last_newline(text + render_document(section_texts_of(state))), to_json(state));
  return exit_code::done;
}

void tell_host(const command_context& context, const std::string& address, const control_status& status) {
  std::string line = fmt::format("{} {} (zone {}): {}, term {}, version {}, {} node(s)", address, status.host,
                                 status.availability_zone, to_name(status.consensus.role), status.consensus.term,
                                 status.document.text(), status.subscribers.size());
  line += status.consensus.leader.empty() ? ", no leader known" : ", leader " + status.consensus.leader;
  if (!status.consensus.has_quorum) line += ", NO QUORUM: changes are not accepted here";
  boost::json::object fields = to_json(status);
  fields["address"] = address;
  context.out.tell(line, fields);
}

// What a watcher has been told so far.
struct watched_state {
  bool has_answer = false;  // false: the next call is answered at once with what is in force
  document_state document;
  std::map<std::string, std::string> rollouts;  // by service: the last description
};

void tell_changes(const command_context& context, watched_state& known, const document_state& now) {
  const document_state before = std::exchange(known.document, now);
  std::string sections;
  for (const auto& [name, one] : now.sections) {
    const auto old = before.sections.find(name);
    if (old == before.sections.end() || old->second.revision != one.revision) sections += " " + name;
  }
  for (const auto& [name, one] : before.sections) {
    if (!now.sections.contains(name)) sections += " -" + name;
  }
  context.out.tell("version " + now.document_version.text() + (sections.empty() ? "" : ": sections" + sections),
                   {{"version", now.document_version.text()}, {"sections", sections}});
  for (const auto& [service, one] : now.rollouts) {
    const std::string text = describe(one);
    if (std::exchange(known.rollouts[service], text) != text) context.out.tell("  " + text, to_json(one));
  }
  for (const auto& [key, one] : now.withdrawn) {
    if (before.withdrawn.contains(key)) continue;
    context.out.tell("  withdrawn: " + key.first + " " + key.second + ": " + one.reason, to_json(one));
  }
}

}  // namespace

awaitable<exit_code> run_show(command_context context) {
  const auto hosts = capture([] { return control_addresses(FLAGS_control); });
  if (!hosts) co_return context.out.refuse(hosts.failure());
  control_client client(context.timers, context.executor, *hosts);
  http_request request{"GET", "/v1/document", {}, {}, {}};
  if (FLAGS_confirmed) request.query["confirmed"] = "true";
  const duration limit = answer_limit();
  const outcome<boost::json::value> body = co_await client.get(std::move(request), limit);
  const outcome<document_state> state = read_body<document_state>(body);
  if (!state) co_return context.out.refuse(state.failure());
  if (!context.arguments.empty()) co_return show_one(context, *state, context.arguments.front());
  co_return show_all(context, *state);
}

awaitable<exit_code> run_status(command_context context) {
  const auto hosts = capture([] { return control_addresses(FLAGS_control); });
  if (!hosts) co_return context.out.refuse(hosts.failure());
  control_client client(context.timers, context.executor, *hosts);
  const duration limit = answer_limit();
  co_await client.learn_hosts(limit);
  http_request request{"GET", "/v1/status", {}, {}, {}};
  const host_answers answers = co_await client.get_all(std::move(request), limit);
  fleet_report fleet;
  exit_code worst = exit_code::unreachable;
  for (const auto& [address, body] : answers) {
    const outcome<control_status> status = read_body<control_status>(body);
    if (!status) {
      context.out.refuse(status.failure());
      continue;
    }
    worst = exit_code::done;
    tell_host(context, address, *status);
    fleet.add(*status);
  }
  if (worst == exit_code::done) fleet.tell(context.out, fleet.newest());
  co_return worst;
}

awaitable<exit_code> run_watch(command_context context) {
  const auto hosts = capture([] { return control_addresses(FLAGS_control); });
  if (!hosts) co_return context.out.refuse(hosts.failure());
  control_client client(context.timers, context.executor, *hosts);
  watched_state known;
  for (;;) {
    http_request request{"GET", "/v1/document", {}, {}, {}};
    if (known.has_answer) {
      request.query["after"] = known.document.document_version.text();
      request.query["wait_ms"] = std::to_string(std::chrono::milliseconds(watch_wait).count());
    }
    const duration limit = watch_limit;
    const time_point asked = timer_service::now();
    const outcome<boost::json::value> body = co_await client.get(std::move(request), limit);
    const outcome<document_state> state = read_body<document_state>(body);
    if (!state) {
      context.out.refuse(state.failure());
    } else if (!std::exchange(known.has_answer, true) && state->document_version.none()) {
      context.out.tell("no document has been accepted yet", {{"version", state->document_version.text()}});
      continue;
    } else if (state->document_version > known.document.document_version) {
      tell_changes(context, known, *state);
      continue;
    }
    // A host that answers at once without news (or not at all) is not asked again at once.
    if (timer_service::now() - asked < watch_pause) {
      const duration rest = watch_pause;
      co_await pause(context.timers, context.executor, rest);
    }
  }
}

}  // namespace heatherdeck
