// The cases of the review that are scripts. `cases NAME FOLDER` plays one, writes FOLDER/record.txt and exits with 1 if
// the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>

#include "stand_ins.h"

namespace review {
namespace {

constexpr int held = 0;
constexpr int broken = 1;
constexpr int not_run = 2;

// The bounds of the site pwani-deck.
constexpr milliseconds announcement_period{1500};
constexpr std::int64_t drain_ms = 2000;
constexpr std::int64_t stable_window_ms = 3000;

bool trouble() {
  const char* wanted = std::getenv("TROUBLE");
  return wanted == nullptr || std::strcmp(wanted, "0") != 0;
}

int could_not_run(record& log, const std::string& why) {
  log.line("not run: " + why);
  std::fprintf(stderr, "not run: %s\n", why.c_str());
  return not_run;
}

int verdict(record& log, bool rule_broken, const std::string& what) {
  log.line((rule_broken ? "broken: " : "held: ") + what);
  std::printf("%s: %s\n", rule_broken ? "broken" : "held", what.c_str());
  return rule_broken ? broken : held;
}

target_options target_of(const deployment& mesh, int node, const std::string& id, const std::string& service) {
  return {.id = id,
          .service = service,
          .address = mesh.target_address(node),
          .control = mesh.announce_address(node),
          .zone = "dar-kivukoni",
          .work_ms = 300};
}

// Waits until the clients of a node get answers from the target.
bool wait_for_runs(target& wanted, std::size_t count, milliseconds limit) {
  const std::int64_t end_at = now_ms() + limit.count();
  while (now_ms() < end_at && wanted.runs().size() < count) sleep_ms(20);
  return wanted.runs().size() >= count;
}

std::size_t runs_after(target& of, std::int64_t from) {
  std::size_t count = 0;
  for (const run& one : of.runs()) count += one.at > from ? 1 : 0;
  return count;
}

// A target that never reports `draining` deregisters; the announcement that it sent just before arrives
// `late_by_ms` after it was sent. With `restart`, the node next to the target is killed after the acknowledgement and
// started again. The target serves for `served_after_leaving_ms` more and exits.
int late_announcement(record& log, bool restart) {
  constexpr std::int64_t late_by_ms = 2500;
  constexpr std::int64_t served_after_leaving_ms = 7000;
  constexpr std::int64_t observed_after_exit_ms = 1500;
  // One killed node of ten is the share of machines that a day kills unless it says more.
  constexpr int further_nodes = 7;
  deployment_options options{.nodes = {{"front"}, {"desk"}, {"desk"}}};
  if (restart) options.nodes.insert(options.nodes.end(), further_nodes, node_options{"front"});
  const int nodes = static_cast<int>(options.nodes.size());
  deployment mesh(log, std::move(options));
  mesh.start_all();
  std::vector<std::unique_ptr<target>> further;
  for (int node = 3; node < nodes; ++node) {
    further.push_back(
        std::make_unique<target>(log, target_of(mesh, node, "i-further-" + std::to_string(node), "front")));
    further.back()->start_announcing(announcement_period);
  }
  target front(log, target_of(mesh, 0, "i-front", "front"));
  target leaving(log, target_of(mesh, 1, "i-leaving", "desk"));
  target staying(log, target_of(mesh, 2, "i-staying", "desk"));
  for (target* one : {&front, &leaving, &staying}) one->start_announcing(announcement_period);
  const std::string text = configuration_text(
      "00000001", {{.prefix = "/book/", .kind = "unsafe", .service = "desk", .timeout_ms = 1000}}, {"front", "desk"});
  if (mesh.put_configuration("00000000", text, milliseconds(20'000)) != 200)
    return could_not_run(log, "the configuration was not acknowledged");
  for (int node = 0; node < nodes; ++node) {
    if (!mesh.wait_ready(node, milliseconds(20'000))) return could_not_run(log, "a node is not ready");
  }
  clients callers(log, {.name = "c",
                        .address = mesh.outbound(0),
                        .method = "POST",
                        .path = "/book/",
                        .count = 24,
                        .period = milliseconds(300)});
  if (!wait_for_runs(leaving, 20, milliseconds(15'000)) || !wait_for_runs(staying, 20, milliseconds(15'000)))
    return could_not_run(log, "a target gets no requests");
  sleep_ms(stable_window_ms);
  leaving.stop_announcing();

  // The last announcement is sent, and held up on its way.
  const std::uint64_t sequence = leaving.take_sequence();
  const std::int64_t sent_at = now_ms();
  log.line("announcement i-leaving ready sequence " + std::to_string(sequence) + " is sent");
  if (!trouble()) leaving.announce("ready", sequence);
  std::thread held_up([&] {
    sleep_until_ms(sent_at + late_by_ms);
    if (trouble()) leaving.announce("ready", sequence);
  });
  sleep_ms(300);
  int acknowledged = 0;
  for (int attempt = 0; attempt < 5 && acknowledged != 200; ++attempt) acknowledged = leaving.deregister();
  const std::int64_t acknowledged_at = now_ms();
  std::int64_t in_touch_from = 0;
  if (restart && trouble() && acknowledged == 200) {
    sleep_ms(200);
    mesh.kill_node(1);
    sleep_ms(300);
    mesh.start_node(1);
    in_touch_from = now_ms() + stable_window_ms;
  }
  sleep_until_ms(acknowledged_at + served_after_leaving_ms);
  const std::int64_t exit_at = now_ms();
  leaving.exit();
  sleep_ms(observed_after_exit_ms);
  held_up.join();
  callers.stop();
  if (acknowledged != 200) return could_not_run(log, "the deregistration was not acknowledged");
  const std::size_t late = runs_after(leaving, std::max(acknowledged_at + drain_ms, in_touch_from));
  std::size_t lost = 0;
  for (const run& one : leaving.runs()) {
    for (const answer& a : callers.answers()) {
      if (a.request_id == one.request_id && a.ended_at >= exit_at && a.status != 200) ++lost;
    }
  }
  return verdict(log, late > 0,
                 std::to_string(late) + " requests reached the target later than drainMs after the acknowledgement, " +
                     std::to_string(lost) + " of them were lost at its exit; " +
                     std::to_string(runs_after(staying, acknowledged_at)) + " reached the other one");
}

int late_announcement_alone(record& log) { return late_announcement(log, false); }
int late_announcement_after_restart(record& log) { return late_announcement(log, true); }

// The operator sends a configuration in which the routes and services are missing. Without trouble it is whole.
int incomplete_configuration(record& log) {
  constexpr std::int64_t observed_ms = 4000;
  deployment mesh(log, {.nodes = {{"front"}, {"desk"}}});
  mesh.start_all();
  target front(log, target_of(mesh, 0, "i-front", "front"));
  target desk(log, target_of(mesh, 1, "i-desk", "desk"));
  for (target* one : {&front, &desk}) one->start_announcing(announcement_period);
  const std::vector<route_options> routes = {{.prefix = "/read/", .service = "desk"}};
  const std::vector<std::string> services = {"front", "desk"};
  if (mesh.put_configuration("00000000", configuration_text("00000001", routes, services), milliseconds(20'000)) != 200)
    return could_not_run(log, "the configuration was not acknowledged");
  for (int node = 0; node < 2; ++node) {
    if (!mesh.wait_ready(node, milliseconds(20'000))) return could_not_run(log, "a node is not ready");
  }
  clients callers(log, {.name = "c",
                        .address = mesh.outbound(0),
                        .method = "GET",
                        .path = "/read/",
                        .count = 4,
                        .period = milliseconds(200)});
  if (!wait_for_runs(desk, 20, milliseconds(15'000))) return could_not_run(log, "the target gets no requests");
  const std::string whole = configuration_text("00000002", routes, services);
  const std::string incomplete = R"({"version":"00000002"})";
  const std::string& sent = trouble() ? incomplete : whole;
  log.line("the operator puts " + sent);
  const int status = mesh.put_configuration("00000001", sent, milliseconds(20'000));
  const std::int64_t answered_at = now_ms();
  const std::string read = mesh.order("GET", "/v1/configuration", {}, {}).body;
  log.line("the operator reads " + read);
  sleep_ms(observed_ms);
  callers.stop();
  std::size_t served = 0;
  std::size_t not_found = 0;
  for (const answer& a : callers.answers()) {
    if (a.sent_at < answered_at) continue;
    served += a.status == 200 ? 1 : 0;
    not_found += a.status == 404 ? 1 : 0;
  }
  if (status == 0) return could_not_run(log, "the change has no clear answer");
  if (!trouble() && status != 200) return could_not_run(log, "the whole configuration was not acknowledged");
  return verdict(log, trouble() && status == 200,
                 "the change got " + std::to_string(status) + "; of the requests sent after it " +
                     std::to_string(served) + " were served and " + std::to_string(not_found) + " got 404");
}

// Twice, for 5 s, one of two targets sends further bytes after 1 in 34 of its answers, late: a rejection as
// `fleetbench wire` prints it, without an id. Clients book.
int extra_rejection(record& log) {
  constexpr std::int64_t trouble_ms = 5000;
  constexpr std::int64_t calm_ms = 2000;
  constexpr int answers_per_extra = 34;
  deployment mesh(log, {.nodes = {{"front"}, {"desk"}, {"desk"}}});
  mesh.start_all();
  target front(log, target_of(mesh, 0, "i-front", "front"));
  target_options faulty = target_of(mesh, 1, "i-faulty", "desk");
  faulty.work_ms = 100;
  faulty.extra_bytes = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  target_options sound = target_of(mesh, 2, "i-sound", "desk");
  sound.work_ms = 100;
  target first(log, faulty);
  target second(log, sound);
  for (target* one : {&front, &first, &second}) one->start_announcing(announcement_period);
  const std::string text = configuration_text(
      "00000001", {{.prefix = "/book/", .kind = "unsafe", .service = "desk", .timeout_ms = 1000}}, {"front", "desk"});
  if (mesh.put_configuration("00000000", text, milliseconds(20'000)) != 200)
    return could_not_run(log, "the configuration was not acknowledged");
  for (int node = 0; node < 3; ++node) {
    if (!mesh.wait_ready(node, milliseconds(20'000))) return could_not_run(log, "a node is not ready");
  }
  clients callers(log, {.name = "c",
                        .address = mesh.outbound(0),
                        .method = "POST",
                        .path = "/book/",
                        .count = 16,
                        .period = milliseconds(150)});
  if (!wait_for_runs(first, 20, milliseconds(15'000)) || !wait_for_runs(second, 20, milliseconds(15'000)))
    return could_not_run(log, "a target gets no requests");
  for (int i = 0; i < 2; ++i) {
    sleep_ms(calm_ms);
    if (trouble()) first.send_extra_after(answers_per_extra);
    sleep_ms(trouble_ms);
    first.send_extra_after(0);
  }
  sleep_ms(calm_ms);
  callers.stop();
  std::map<std::string, int> runs;
  for (target* one : {&first, &second}) {
    for (const run& r : one->runs()) ++runs[r.request_id];
  }
  std::size_t twice = 0;
  for (const auto& [id, count] : runs) {
    if (count < 2) continue;
    ++twice;
    log.line("twice " + id);
  }
  std::size_t refused = 0;
  for (const answer& a : callers.answers()) {
    const bool promise = a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421;
    if (!promise || !runs.contains(a.request_id)) continue;
    ++refused;
    log.line("refused " + a.request_id + " with " + std::to_string(a.status) + ", though it has run");
  }
  return verdict(log, twice + refused > 0,
                 std::to_string(twice) + " of " + std::to_string(runs.size()) + " bookings ran twice, and " +
                     std::to_string(refused) + " were answered as not run though they had run");
}

// Clients of a busy host upload bookings in chunks. Twice, for 6.5 s, the target of another host rejects 20 of 100
// requests, as full; what it rejects may wait for a slot of the target on the clients' own host.
int cut_upload(record& log) {
  constexpr int rejected_percent = 20;
  // Those of the site's `history-read`.
  constexpr int work_ms = 360;
  constexpr int objective_ms = 1000;
  constexpr int timeout_ms = 2500;
  constexpr std::int64_t trouble_ms = 6500;
  constexpr std::int64_t calm_ms = 2000;
  deployment mesh(log, {.nodes = {{"desk"}, {"desk"}}});
  mesh.start_all();
  target_options own = target_of(mesh, 0, "i-own", "desk");
  own.slots = 8;
  own.work_ms = work_ms;
  target_options other = target_of(mesh, 1, "i-other", "desk");
  other.work_ms = work_ms;
  other.slots = 40;
  target first(log, own);
  target second(log, other);
  for (target* one : {&first, &second}) one->start_announcing(announcement_period);
  const std::string text = configuration_text(
      "00000001",
      {{.prefix = "/read/", .service = "desk", .timeout_ms = timeout_ms, .objective_ms = objective_ms},
       {.prefix = "/book/",
        .kind = "unsafe",
        .service = "desk",
        .timeout_ms = timeout_ms,
        .objective_ms = objective_ms}},
      {"desk"});
  if (mesh.put_configuration("00000000", text, milliseconds(20'000)) != 200)
    return could_not_run(log, "the configuration was not acknowledged");
  for (int node = 0; node < 2; ++node) {
    if (!mesh.wait_ready(node, milliseconds(20'000))) return could_not_run(log, "a node is not ready");
  }
  clients readers(log, {.name = "r",
                        .address = mesh.outbound(0),
                        .method = "GET",
                        .path = "/read/",
                        .count = 20,
                        .period = milliseconds(370),
                        .deadline_ms = timeout_ms});
  clients bookers(log, {.name = "b",
                        .address = mesh.outbound(0),
                        .method = "POST",
                        .path = "/book/",
                        .count = 16,
                        .period = milliseconds(250),
                        .upload_bytes = 200'000,
                        .deadline_ms = timeout_ms});
  if (!wait_for_runs(first, 20, milliseconds(15'000)) || !wait_for_runs(second, 20, milliseconds(15'000)))
    return could_not_run(log, "a target gets no requests");
  sleep_ms(calm_ms);
  for (int i = 0; i < 2; ++i) {
    if (trouble()) second.reject(rejected_percent);
    sleep_ms(trouble_ms);
    second.reject(0);
    sleep_ms(calm_ms);
  }
  readers.stop();
  bookers.stop();
  std::size_t uploads = 0;
  std::size_t changed = 0;
  std::size_t confirmed = 0;
  for (target* one : {&first, &second}) {
    for (const run& r : one->runs()) {
      uploads += r.body_bytes > 0 ? 1 : 0;
      if (!r.body_changed) continue;
      ++changed;
      for (const answer& a : bookers.answers()) confirmed += a.request_id == r.request_id && a.status == 200 ? 1 : 0;
    }
  }
  return verdict(log, changed > 0,
                 std::to_string(changed) + " of " + std::to_string(uploads) +
                     " uploads ran with another body than the client sent, " + std::to_string(confirmed) +
                     " of them were confirmed with 200");
}

struct case_row {
  const char* name;
  int (*play)(record&);
};
constexpr case_row case_table[] = {
    {"late-announcement", late_announcement_alone},
    {"late-announcement-restart", late_announcement_after_restart},
    {"incomplete-configuration", incomplete_configuration},
    {"extra-rejection", extra_rejection},
    {"cut-upload", cut_upload},
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc == 3) {
    for (const auto& row : review::case_table) {
      if (std::strcmp(row.name, argv[1]) != 0) continue;
      review::record log(std::string(argv[2]) + "/record.txt");
      return row.play(log);
    }
  }
  std::fprintf(stderr, "usage: cases NAME FOLDER\n");
  return review::not_run;
}
