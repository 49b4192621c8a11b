// show, status and watch: commands that read the replicated state. Cost: watch uses long polling, one call that the
// control host answers when the document changes.
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
constexpr duration watch_timeout = 35s;
constexpr duration min_watch_interval = 1s;

duration response_timeout() { return std::chrono::seconds(FLAGS_timeout_s); }

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

exit_code show_section(const command_context& context, const document_state& state, const std::string& wanted) {
  const auto found = state.sections.find(wanted);
  if (found == state.sections.end()) {
    return context.out.print_error({error_kind::not_found, "the document has no section '" + wanted + "'",
                                    "list the sections with 'heatherdeck show'", "section " + wanted});
  }
  context.out.print(
      without_last_newline("# " + wanted + ", revision " + found->second.revision.text() + "\n" + found->second.text),
      to_json(found->second));
  return exit_code::done;
}

exit_code show_document(const command_context& context, const document_state& state) {
  if (!FLAGS_out.empty()) {
    const outcome<void> saved = save_document(state);
    if (!saved) return context.out.print_error(saved.failure());
    context.out.print("version " + state.document_version.text() + " written to " + FLAGS_out + ", its base to " +
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
  context.out.print(without_last_newline(text + render_document(section_texts_of(state))), to_json(state));
  return exit_code::done;
}

void print_host_status(const command_context& context, const std::string& address, const control_status& status) {
  std::string line = fmt::format("{} {} (zone {}): {}, term {}, version {}, {} node(s)", address, status.host,
                                 status.availability_zone, to_name(status.consensus.role), status.consensus.term,
                                 status.document.text(), status.subscribers.size());
  line += status.consensus.leader.empty() ? ", no leader known" : ", leader " + status.consensus.leader;
  if (!status.consensus.has_quorum) line += ", NO QUORUM: changes are not accepted here";
  boost::json::object fields = to_json(status);
  fields["address"] = address;
  context.out.print(line, fields);
}

// What watch has printed so far.
struct watch_state {
  bool has_document = false;  // false: the next call returns the current document at once
  document_state document;
  std::map<std::string, std::string> rollouts;  // by service: the last printed description
};

void print_changes(const command_context& context, watch_state& known, const document_state& now) {
  const document_state before = std::exchange(known.document, now);
  std::string sections;
  for (const auto& [name, one] : now.sections) {
    const auto old = before.sections.find(name);
    if (old == before.sections.end() || old->second.revision != one.revision) sections += " " + name;
  }
  for (const auto& [name, one] : before.sections) {
    if (!now.sections.contains(name)) sections += " -" + name;
  }
  context.out.print("version " + now.document_version.text() + (sections.empty() ? "" : ": sections" + sections),
                    {{"version", now.document_version.text()}, {"sections", sections}});
  for (const auto& [service, one] : now.rollouts) {
    const std::string text = describe(one);
    if (std::exchange(known.rollouts[service], text) != text) context.out.print("  " + text, to_json(one));
  }
  for (const auto& [key, one] : now.withdrawn) {
    if (before.withdrawn.contains(key)) continue;
    context.out.print("  withdrawn: " + key.first + " " + key.second + ": " + one.reason, to_json(one));
  }
}

}  // namespace

awaitable<exit_code> run_show(command_context context) {
  const auto hosts = capture([] { return parse_control_addresses(FLAGS_control); });
  if (!hosts) co_return context.out.print_error(hosts.failure());
  control_client client(context.timers, context.executor, *hosts);
  http_request request{"GET", "/v1/document", {}, {}, {}};
  if (FLAGS_confirmed) request.query["confirmed"] = "true";
  const duration limit = response_timeout();
  const outcome<boost::json::value> body = co_await client.get(std::move(request), limit);
  const outcome<document_state> state = read_body<document_state>(body);
  if (!state) co_return context.out.print_error(state.failure());
  if (!context.arguments.empty()) co_return show_section(context, *state, context.arguments.front());
  co_return show_document(context, *state);
}

awaitable<exit_code> run_status(command_context context) {
  const auto hosts = capture([] { return parse_control_addresses(FLAGS_control); });
  if (!hosts) co_return context.out.print_error(hosts.failure());
  control_client client(context.timers, context.executor, *hosts);
  const duration limit = response_timeout();
  co_await client.discover_hosts(limit);
  http_request request{"GET", "/v1/status", {}, {}, {}};
  const host_responses answers = co_await client.get_all(std::move(request), limit);
  fleet_report fleet;
  exit_code worst = exit_code::unreachable;
  for (const auto& [address, body] : answers) {
    const outcome<control_status> status = read_body<control_status>(body);
    if (!status) {
      context.out.print_error(status.failure());
      continue;
    }
    worst = exit_code::done;
    print_host_status(context, address, *status);
    fleet.add(*status);
  }
  if (worst == exit_code::done) fleet.print(context.out, fleet.newest());
  co_return worst;
}

awaitable<exit_code> run_watch(command_context context) {
  const auto hosts = capture([] { return parse_control_addresses(FLAGS_control); });
  if (!hosts) co_return context.out.print_error(hosts.failure());
  control_client client(context.timers, context.executor, *hosts);
  watch_state known;
  for (;;) {
    http_request request{"GET", "/v1/document", {}, {}, {}};
    if (known.has_document) {
      request.query["after"] = known.document.document_version.text();
      request.query["wait_ms"] = std::to_string(std::chrono::milliseconds(watch_wait).count());
    }
    const duration limit = watch_timeout;
    const time_point call_start = timer_service::now();
    const outcome<boost::json::value> body = co_await client.get(std::move(request), limit);
    const outcome<document_state> state = read_body<document_state>(body);
    if (!state) {
      context.out.print_error(state.failure());
    } else if (!std::exchange(known.has_document, true) && state->document_version.none()) {
      context.out.print("no document has been accepted yet", {{"version", state->document_version.text()}});
      continue;
    } else if (state->document_version > known.document.document_version) {
      print_changes(context, known, *state);
      continue;
    }
    // Limits the rate of calls to hosts that return at once without a change, or that fail at once.
    if (timer_service::now() - call_start < min_watch_interval) {
      const duration rest = min_watch_interval;
      co_await sleep_for(context.timers, context.executor, rest);
    }
  }
}

}  // namespace heatherdeck
