// submit: finds the changed sections, validates the whole document, signs and sends the change, and waits until it is
// in force and its rollouts have ended.
//
// Invariant: one run uses one submission id for all attempts, so a change is never made twice. Cost: waiting uses long
// polling, calls that the control hosts answer when the state changes.
#include <algorithm>
#include <charconv>
#include <map>
#include <random>

#include <fmt/format.h>

#include "cli/command.h"
#include "cli/control_client.h"
#include "cli/edit_plan.h"
#include "cli/files.h"
#include "cli/flags.h"
#include "cli/report.h"
#include "model/document_compiler.h"
#include "model/operator_signature.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

enum class wait_until { accepted, in_force, rollout };

}  // namespace

template <>
struct enum_table<wait_until> {
  static constexpr auto entries = std::to_array<enum_entry<wait_until>>({
      {wait_until::accepted, "accepted"},
      {wait_until::in_force, "in_force"},
      {wait_until::rollout, "rollout"},
  });
};

namespace {

constexpr auto status_wait = 5s;
constexpr auto rollout_wait = 25s;
constexpr duration response_slack = 5s;
constexpr duration min_poll_interval = 200ms;

// The input of the command, read before any control host is called.
struct prepared_submission {
  std::string path;
  std::string secret;
  parsed_document document;
  std::vector<std::string> hosts;
  wait_until wait = wait_until::rollout;
  std::optional<document_state> base;  // content of the base file, if there is one
  std::optional<version> base_version;
  std::string base_file;  // updated after the change is accepted
};

result<void> read_base_flag(prepared_submission& out) {
  out.base_file = out.path + ".base";
  const outcome<version> given = capture([] { return parse_version(FLAGS_base); });
  if (given) {
    out.base_version = *given;
    return {};
  }
  if (!FLAGS_base.empty()) out.base_file = FLAGS_base;
  if (FLAGS_base.empty() && !file_exists(out.base_file)) return {};
  BOOST_LEAF_AUTO(base, read_base(out.base_file));
  out.base = std::move(base);
  return {};
}

result<prepared_submission> prepare(const std::string& path) {
  prepared_submission out;
  out.path = path;
  BOOST_LEAF_ASSIGN(out.hosts, parse_control_addresses(FLAGS_control));
  const auto wait = from_name<wait_until>(FLAGS_wait);
  if (!wait) {
    return fail(error_kind::usage, "'" + FLAGS_wait + "' is not a valid value for --wait",
                "use one of: " + all_names<wait_until>(), "--wait");
  }
  out.wait = *wait;
  if (FLAGS_operator_name.empty() || FLAGS_key.empty()) {
    return fail(error_kind::usage, "the operator name or the key file is not given",
                "add --operator=NAME --key=FILE; 'heatherdeck keygen' creates a key", "--operator");
  }
  BOOST_LEAF_ASSIGN(out.secret, read_file(FLAGS_key));
  while (!out.secret.empty() && std::isspace(static_cast<unsigned char>(out.secret.back())) != 0) out.secret.pop_back();
  BOOST_LEAF_CHECK(public_key_of(out.secret));
  BOOST_LEAF_AUTO(text, read_file(path));
  BOOST_LEAF_ASSIGN(out.document, parse_document(text, path));
  BOOST_LEAF_CHECK(read_base_flag(out));
  return out;
}

std::string random_id() {
  std::random_device source;
  std::string id;
  for (int i = 0; i < 4; ++i) id += fmt::format("{:08x}", static_cast<std::uint32_t>(source()));
  return id;
}

// Validates the whole document before anything is sent. Rollout states and withdrawn versions, which the control hosts
// maintain, are taken from the base.
result<void> check_document(const prepared_submission& work, const document_state& base) {
  document_state state = base;
  state.sections.clear();
  for (const auto& [name, text] : work.document.sections) state.sections[name] = {name, text, {}};
  document_compiler compiler;
  BOOST_LEAF_CHECK(compiler.compile(state, work.document.places));
  return {};
}

awaitable<outcome<document_state>> fetch_document(control_client& client) {
  http_request request{"GET", "/v1/document", {}, {}, {}};
  const duration limit = std::chrono::seconds(FLAGS_timeout_s);
  const outcome<boost::json::value> body = co_await client.get(std::move(request), limit);
  co_return read_body<document_state>(body);
}

// With only a base version, and not the base texts, a section that others changed after that version cannot be
// distinguished from one that the operator changed; such a section is a conflict.
outcome<std::vector<section_edit>> plan_edits_on_version(const prepared_submission& work,
                                                         const document_state& current) {
  std::vector<section_edit> edits = changed_sections(work.document.sections, current, *work.base_version);
  for (const section_edit& edit : edits) {
    const auto now = current.sections.find(edit.name);
    if (now == current.sections.end() || now->second.revision <= *work.base_version) continue;
    return error{error_kind::conflict,
                 "section '" + edit.name + "' changed in version " + now->second.revision.text() +
                     ", after the base version " + work.base_version->text(),
                 "run 'heatherdeck show --out=FILE', make the change there and submit that file", "--base"};
  }
  return edits;
}

outcome<std::vector<section_edit>> plan_edits(const prepared_submission& work, const document_state& current) {
  if (work.base) return changed_sections(work.document.sections, *work.base);
  if (work.base_version) return plan_edits_on_version(work, current);
  if (current.document_version.none()) return changed_sections(work.document.sections, current);
  return error{error_kind::usage,
               "the document is at version " + current.document_version.text() + " and no base is given",
               "run 'heatherdeck show --out=" + work.path + "' and edit that file, or give --base=VERSION", "--base"};
}

// Maps the position "section NAME:line:column" in a control host's error to the position in the operator's file.
error map_to_file_position(error e, const section_places& places) {
  const std::string_view where = e.where;
  const std::size_t column_at = where.rfind(':');
  const std::size_t line_at = column_at == std::string_view::npos ? column_at : where.rfind(':', column_at - 1);
  if (!where.starts_with("section ") || line_at == std::string_view::npos) return e;
  const auto place = places.find(std::string(where.substr(8, line_at - 8)));
  const auto number = [](std::string_view text) {
    std::size_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
  };
  const std::size_t line = number(where.substr(line_at + 1, column_at - line_at - 1));
  const std::size_t column = number(where.substr(column_at + 1));
  if (place == places.end() || line == 0 || column == 0) return e;
  e.where = fmt::format("{}:{}:{}", place->second.name, line + place->second.line_offset,
                        column + place->second.column_offset);
  return e;
}

void print_conflicts(const printer& out, const std::vector<section_edit>& edits, const command_result& answer) {
  for (std::size_t i = 0; i < edits.size() && i < answer.current_revisions.size(); ++i) {
    if (answer.current_revisions[i] == edits[i].base) continue;
    out.print(
        "  " + edits[i].name + ": your base " + edits[i].base.text() + ", now " + answer.current_revisions[i].text(),
        {{"section", edits[i].name}, {"base", edits[i].base.text()}, {"current", answer.current_revisions[i].text()}});
  }
}

// Waits until every node that a reachable control host knows has applied the version, at most --timeout_s.
awaitable<exit_code> wait_in_force(command_context& context, control_client& client, version accepted) {
  const time_point begun = timer_service::now();
  const time_point end = begun + std::chrono::seconds(FLAGS_timeout_s);
  const duration learn_limit = response_slack;
  co_await client.discover_hosts(learn_limit);
  for (;;) {
    const time_point call_start = timer_service::now();
    const auto left = std::max<duration>(std::min<duration>(status_wait, end - call_start), 0s);
    http_request request{"GET", "/v1/status", {}, {}, {}};
    request.query["wanted"] = accepted.text();
    request.query["wait_ms"] = std::to_string(std::chrono::duration_cast<milliseconds>(left).count());
    const duration limit = left + response_slack;
    const host_responses answers = co_await client.get_all(std::move(request), limit);
    fleet_report fleet;
    std::string unanswered;
    for (const auto& [address, body] : answers) {
      const outcome<control_status> status = read_body<control_status>(body);
      if (status) {
        fleet.add(*status);
      } else {
        unanswered += "; " + address + ": " + status.failure().text;
      }
    }
    const bool complete = fleet.nodes_behind(accepted).empty() && fleet.newest() >= accepted;
    if (complete || timer_service::now() >= end) {
      fleet.print(context.out, accepted);
      if (!unanswered.empty()) {
        context.out.print("  not counted: the nodes of control hosts that did not answer" + unanswered,
                          {{"silent", unanswered}});
      }
      co_return complete ? exit_code::done : exit_code::failed;
    }
    // The hosts delay their response while nodes are behind; this limits the rate of calls when they do not.
    if (timer_service::now() - call_start < min_poll_interval) {
      const duration rest = min_poll_interval;
      co_await sleep_for(context.timers, context.executor, rest);
    }
  }
}

// @return the result of the rollouts that the accepted version started, or nothing while one of them is in progress.
std::optional<exit_code> finished_rollouts_result(const rollouts_status& status, const version& accepted) {
  bool rolled_back = false;
  for (const rollout_view& view : status.rollouts) {
    if (view.state.started_in != accepted) continue;
    if (view.state.active()) return {};
    rolled_back = rolled_back || view.state.status == rollout_status::rolled_back;
  }
  return rolled_back ? exit_code::rolled_back : exit_code::done;
}

// Prints the rollouts that were seen before and are absent now: a later submission ended them.
// @return `failed` instead of `done` if there is one.
exit_code print_ended_rollouts(const printer& out, const rollouts_status& status,
                               const std::map<std::string, std::string>& reported, exit_code result) {
  for (const auto& item : reported) {
    const std::string& service = item.first;
    const bool present = std::any_of(status.rollouts.begin(), status.rollouts.end(),
                                     [&](const rollout_view& view) { return view.state.service == service; });
    if (present) continue;
    out.print("rollout " + service + ": ended by a later submission", {{"service", service}, {"ended", true}});
    result = result == exit_code::done ? exit_code::failed : result;
  }
  return result;
}

awaitable<exit_code> wait_rollouts(command_context& context, control_client& client, version accepted) {
  std::map<std::string, std::string> reported;
  version seen;
  time_point last_answer = timer_service::now();
  for (;;) {
    http_request request{"GET", "/v1/rollouts", {}, {}, {}};
    if (!seen.none()) {
      request.query["after"] = seen.text();
      request.query["wait_ms"] = std::to_string(std::chrono::milliseconds(rollout_wait).count());
    }
    const duration limit = rollout_wait + response_slack;
    const time_point call_start = timer_service::now();
    const outcome<boost::json::value> body = co_await client.get(std::move(request), limit);
    const outcome<rollouts_status> status = read_body<rollouts_status>(body);
    if (status && status->document >= accepted) {
      last_answer = timer_service::now();
      seen = status->document;
      for (const rollout_view& view : status->rollouts) {
        if (view.state.started_in != accepted) continue;
        const std::string text = describe(view.state);
        if (std::exchange(reported[view.state.service], text) != text) context.out.print(describe(view), to_json(view));
      }
      if (const auto result = finished_rollouts_result(*status, accepted))
        co_return print_ended_rollouts(context.out, *status, reported, *result);
    } else if (!status && timer_service::now() - last_answer > std::chrono::seconds(FLAGS_timeout_s)) {
      context.out.print_error(status.failure());
      co_return exit_code::unreachable;
    }
    if (timer_service::now() - call_start < min_poll_interval) {
      const duration rest = 1s;
      co_await sleep_for(context.timers, context.executor, rest);
    }
  }
}

void save_base(const printer& out, const prepared_submission& work, const document_state& base,
               const std::vector<section_edit>& edits, const version& accepted) {
  if (work.base_version) return;
  const auto saved = capture([&] { return write_base(work.base_file, updated_base(base, edits, accepted)); });
  if (!saved) out.print_error(saved.failure());
}

}  // namespace

awaitable<exit_code> run_submit(command_context context) {
  const auto work = capture([&] { return prepare(context.arguments.front()); });
  if (!work) co_return context.out.print_error(work.failure());
  control_client client(context.timers, context.executor, work->hosts);
  document_state base;
  if (work->base) {
    base = *work->base;
  } else {
    const outcome<document_state> current = co_await fetch_document(client);
    if (!current) co_return context.out.print_error(current.failure());
    base = *current;
  }
  const outcome<std::vector<section_edit>> edits = plan_edits(*work, base);
  if (!edits) co_return context.out.print_error(edits.failure());
  if (edits->empty()) {
    context.out.print("nothing to submit: no section differs from the base", {{"edits", 0}});
    co_return exit_code::done;
  }
  const auto checked = capture([&] { return check_document(*work, base); });
  if (!checked) co_return context.out.print_error(checked.failure());
  submission change{FLAGS_id.empty() ? random_id() : FLAGS_id, FLAGS_operator_name, *edits, {}};
  const auto is_signed = capture([&] { return sign_submission(change, work->secret); });
  if (!is_signed) co_return context.out.print_error(is_signed.failure());

  const duration limit = std::chrono::seconds(FLAGS_timeout_s);
  const outcome<submission_result> sent = co_await client.submit(change, limit);
  if (!sent) co_return context.out.print_error(sent.failure());
  if (!sent->answer.ok()) {
    const exit_code code = context.out.print_error(map_to_file_position(sent->answer.refusal, work->document.places));
    // The text of the refusal has both revisions; with --json they are printed as separate members too.
    if (context.out.json()) print_conflicts(context.out, *edits, sent->answer);
    co_return code;
  }
  const version accepted = sent->answer.accepted_version;
  context.out.print(
      fmt::format("accepted as version {} ({} section(s), id {})", accepted.text(), edits->size(), change.id),
      {{"accepted", accepted.text()}, {"edits", edits->size()}, {"id", change.id}});
  save_base(context.out, *work, base, *edits, accepted);
  if (work->wait == wait_until::accepted) co_return exit_code::done;
  const exit_code in_force = co_await wait_in_force(context, client, accepted);
  if (work->wait == wait_until::in_force) co_return in_force;
  const exit_code rollouts = co_await wait_rollouts(context, client, accepted);
  co_return rollouts == exit_code::done ? in_force : rollouts;
}

}  // namespace heatherdeck
