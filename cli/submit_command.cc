// submit: finds the changed sections, checks the whole document, signs, sends, and waits until the change is in force
// and its rollouts are over.
//
// Invariant: one run sends one id, whatever happens on the way, so a change is never submitted twice. Waiting uses
// calls that the control hosts answer on a change.
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
constexpr duration call_slack = 5s;
constexpr duration shortest_round = 200ms;

// Everything that is known before a control host is asked.
struct prepared_submission {
  std::string path;
  std::string secret;
  parsed_document document;
  std::vector<std::string> hosts;
  wait_until wait = wait_until::rollout;
  std::optional<document_state> base;  // from the base file
  std::optional<version> base_version;
  std::string base_file;  // to be brought up to date after acceptance
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
  BOOST_LEAF_ASSIGN(out.hosts, control_addresses(FLAGS_control));
  const auto wait = from_name<wait_until>(FLAGS_wait);
  if (!wait) {
    return fail(error_kind::usage, "'" + FLAGS_wait + "' is no value for --wait",
                "use one of: " + all_names<wait_until>(), "--wait");
  }
  out.wait = *wait;
  if (FLAGS_operator_name.empty() || FLAGS_key.empty()) {
    return fail(error_kind::usage, "the operator or the key is not given",
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

// Checks the document as a whole, with the system's own entries of the base, before anything is sent.
result<void> check_whole(const prepared_submission& work, const document_state& base) {
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

// With a base version only, a section that changed since cannot be told from one that the operator changed.
outcome<std::vector<section_edit>> plan_on_version(const prepared_submission& work, const document_state& current) {
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

outcome<std::vector<section_edit>> plan(const prepared_submission& work, const document_state& current) {
  if (work.base) return changed_sections(work.document.sections, *work.base);
  if (work.base_version) return plan_on_version(work, current);
  if (current.document_version.none()) return changed_sections(work.document.sections, current);
  return error{error_kind::usage,
               "the document has a version (" + current.document_version.text() + ") and no base is given",
               "run 'heatherdeck show --out=" + work.path + "' and edit that file, or give --base=VERSION", "--base"};
}

// Turns "section NAME:line:column" of a control host's answer into the place in the operator's file.
error placed_in_file(error e, const section_places& places) {
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

void tell_conflict(const printer& out, const std::vector<section_edit>& edits, const command_result& answer) {
  for (std::size_t i = 0; i < edits.size() && i < answer.current_revisions.size(); ++i) {
    if (answer.current_revisions[i] == edits[i].base) continue;
    out.tell(
        "  " + edits[i].name + ": your base " + edits[i].base.text() + ", now " + answer.current_revisions[i].text(),
        {{"section", edits[i].name}, {"base", edits[i].base.text()}, {"current", answer.current_revisions[i].text()}});
  }
}

// Waits until every node that subscribes to a reachable control host acts on the version.
awaitable<exit_code> wait_in_force(command_context& context, control_client& client, version accepted) {
  const time_point begun = timer_service::now();
  const time_point end = begun + std::chrono::seconds(FLAGS_timeout_s);
  const duration learn_limit = call_slack;
  co_await client.learn_hosts(learn_limit);
  for (;;) {
    const time_point asked = timer_service::now();
    const auto left = std::max<duration>(std::min<duration>(status_wait, end - asked), 0s);
    http_request request{"GET", "/v1/status", {}, {}, {}};
    request.query["wanted"] = accepted.text();
    request.query["wait_ms"] = std::to_string(std::chrono::duration_cast<milliseconds>(left).count());
    const duration limit = left + call_slack;
    const host_answers answers = co_await client.get_all(std::move(request), limit);
    fleet_report fleet;
    std::string silent;
    for (const auto& [address, body] : answers) {
      const outcome<control_status> status = read_body<control_status>(body);
      if (status) {
        fleet.add(*status);
      } else {
        silent += "; " + address + ": " + status.failure().text;
      }
    }
    const bool complete = fleet.missing(accepted).empty() && fleet.newest() >= accepted;
    if (complete || timer_service::now() >= end) {
      fleet.tell(context.out, accepted);
      if (!silent.empty()) {
        context.out.tell("  not counted: the nodes of control hosts that did not answer" + silent,
                         {{"silent", silent}});
      }
      co_return complete ? exit_code::done : exit_code::failed;
    }
    // The hosts hold the call while nodes are missing; this bounds the rate when they cannot.
    if (timer_service::now() - asked < shortest_round) {
      const duration rest = shortest_round;
      co_await pause(context.timers, context.executor, rest);
    }
  }
}

// Result of the rollouts that started with the accepted version, or nothing while one is still going on.
std::optional<exit_code> rollouts_over(const rollouts_status& status, const version& accepted) {
  bool rolled_back = false;
  for (const rollout_view& view : status.rollouts) {
    if (view.state.started_in != accepted) continue;
    if (view.state.status == rollout_status::running || view.state.status == rollout_status::watching) return {};
    rolled_back = rolled_back || view.state.status == rollout_status::rolled_back;
  }
  return rolled_back ? exit_code::rolled_back : exit_code::done;
}

// A rollout that has been seen and is gone was ended by another submission.
exit_code tell_ended(const printer& out, const rollouts_status& status, const std::map<std::string, std::string>& told,
                     exit_code over) {
  for (const auto& item : told) {
    const std::string& service = item.first;
    const bool present = std::any_of(status.rollouts.begin(), status.rollouts.end(),
                                     [&](const rollout_view& view) { return view.state.service == service; });
    if (present) continue;
    out.tell("rollout " + service + ": ended by a later submission", {{"service", service}, {"ended", true}});
    over = over == exit_code::done ? exit_code::failed : over;
  }
  return over;
}

awaitable<exit_code> wait_rollouts(command_context& context, control_client& client, version accepted) {
  std::map<std::string, std::string> told;
  version seen;
  time_point last_answer = timer_service::now();
  for (;;) {
    http_request request{"GET", "/v1/rollouts", {}, {}, {}};
    if (!seen.none()) {
      request.query["after"] = seen.text();
      request.query["wait_ms"] = std::to_string(std::chrono::milliseconds(rollout_wait).count());
    }
    const duration limit = rollout_wait + call_slack;
    const time_point asked = timer_service::now();
    const outcome<boost::json::value> body = co_await client.get(std::move(request), limit);
    const outcome<rollouts_status> status = read_body<rollouts_status>(body);
    if (status && status->document >= accepted) {
      last_answer = timer_service::now();
      seen = status->document;
      for (const rollout_view& view : status->rollouts) {
        if (view.state.started_in != accepted) continue;
        const std::string text = describe(view.state);
        if (std::exchange(told[view.state.service], text) != text) context.out.tell(describe(view), to_json(view));
      }
      if (const auto over = rollouts_over(*status, accepted)) co_return tell_ended(context.out, *status, told, *over);
    } else if (!status && timer_service::now() - last_answer > std::chrono::seconds(FLAGS_timeout_s)) {
      context.out.refuse(status.failure());
      co_return exit_code::unreachable;
    }
    if (timer_service::now() - asked < shortest_round) {
      const duration rest = 1s;
      co_await pause(context.timers, context.executor, rest);
    }
  }
}

void save_base(const printer& out, const prepared_submission& work, const document_state& base,
               const std::vector<section_edit>& edits, const version& accepted) {
  if (work.base_version) return;
  const auto saved = capture([&] { return write_base(work.base_file, base_after(base, edits, accepted)); });
  if (!saved) out.refuse(saved.failure());
}

}  // namespace

awaitable<exit_code> run_submit(command_context context) {
  const auto work = capture([&] { return prepare(context.arguments.front()); });
  if (!work) co_return context.out.refuse(work.failure());
  control_client client(context.timers, context.executor, work->hosts);
  document_state base;
  if (work->base) {
    base = *work->base;
  } else {
    const outcome<document_state> current = co_await fetch_document(client);
    if (!current) co_return context.out.refuse(current.failure());
    base = *current;
  }
  const outcome<std::vector<section_edit>> edits = plan(*work, base);
  if (!edits) co_return context.out.refuse(edits.failure());
  if (edits->empty()) {
    context.out.tell("nothing to submit: no section differs from the base", {{"edits", 0}});
    co_return exit_code::done;
  }
  const auto checked = capture([&] { return check_whole(*work, base); });
  if (!checked) co_return context.out.refuse(checked.failure());
  submission change{FLAGS_id.empty() ? random_id() : FLAGS_id, FLAGS_operator_name, *edits, {}};
  const auto is_signed = capture([&] { return sign_submission(change, work->secret); });
  if (!is_signed) co_return context.out.refuse(is_signed.failure());

  const duration limit = std::chrono::seconds(FLAGS_timeout_s);
  const outcome<submission_result> sent = co_await client.submit(change, limit);
  if (!sent) co_return context.out.refuse(sent.failure());
  if (!sent->answer.ok()) {
    const exit_code code = context.out.refuse(placed_in_file(sent->answer.refusal, work->document.places));
    // The refusal's text shows both revisions; scripts get them as members.
    if (context.out.json()) tell_conflict(context.out, *edits, sent->answer);
    co_return code;
  }
  const version accepted = sent->answer.accepted_version;
  context.out.tell(
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
