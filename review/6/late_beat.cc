// A target deregisters, its node acknowledges it, and all processes are killed right after that and start again. Then
// a heartbeat arrives that the target had sent before it deregistered. See claim.txt.
#include "../harness-2.h"

using namespace review;

namespace {

constexpr long drain_ms = 2000;          // bounds.drainMs
constexpr long stable_window_ms = 3000;  // bounds.stableWindowMs
constexpr long down_ms = 1000;           // the site's days take 0.63 to 1.3 s
constexpr long beat_arrives_ms = 3000;   // after the acknowledgement
constexpr long serves_on_ms = 11000;     // after the acknowledgement; then the target is gone

}  // namespace

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  const char* trouble_text = std::getenv("TROUBLE");
  const bool trouble = trouble_text == nullptr || std::string(trouble_text) != "0";
  record_file record(argc > 1 ? argv[1] : "record.txt");
  record.line(trouble ? "with the disruption" : "without the disruption");
  deployment fleet(record, 3, 2);
  fleet.start_all(true);
  if (fleet.put_configuration(configuration("00000001"), "00000000", 15000) != 200) return not_run;
  target leaving(record, fleet, 0, "i-leaving");
  target staying(record, fleet, 1, "i-staying");
  leaving.start_beats();
  staying.start_beats();
  if (!fleet.await_ready(15000)) return not_run;
  sleep_ms(3500);
  client first(record, fleet, 0, "GET", "/look/", 20);
  client second(record, fleet, 1, "GET", "/look/", 20);
  sleep_ms(3000);
  if (leaving.runs().empty() || staying.runs().empty()) return not_run;

  leaving.stop_beats();
  const std::string late = leaving.beat("ready");
  record.line("i-leaving sends a heartbeat, which is delayed: " + late);
  sleep_ms(100);
  if (leaving.deregister() != 200) return not_run;
  const long acknowledged = now_ms();
  record.line("deregistration of i-leaving acknowledged");

  long in_touch = acknowledged;
  if (trouble) {
    sleep_ms(50);
    fleet.kill_all();
    sleep_ms(down_ms);
    fleet.start_all(false);
    // The final fault took the whole core: calm machines are in touch twice the stable window after the last event.
    in_touch = now_ms() + 2 * stable_window_ms;
    record.line("all processes are started again; machines are in touch at " + std::to_string(in_touch));
    if (!fleet.await_ready(3000) || !fleet.core_answers()) return not_run;
    record.line("all nodes are ready and all control hosts read the configuration");
  }
  sleep_until_ms(acknowledged + beat_arrives_ms);
  const int beat_status = leaving.send_beat(late);
  record.line("the delayed heartbeat arrives, " + std::to_string(beat_arrives_ms + 100) + " ms late -> " +
              std::to_string(beat_status));
  if (beat_status == 0) return not_run;
  sleep_until_ms(acknowledged + serves_on_ms);
  first.stop();
  second.stop();
  for (host& h : fleet.hosts()) {
    if (!fleet.runs(h)) return not_run;
  }

  std::map<std::string, client::attempt> attempts = first.attempts();
  attempts.merge(second.attempts());
  long after_drain = 0;
  long by_machines_in_touch = 0;
  long last = 0;
  long served = 0;
  for (const target::run& r : leaving.runs()) {
    const auto attempt = attempts.find(r.request);
    if (attempt == attempts.end() || r.at <= acknowledged + drain_ms) continue;
    ++after_drain;
    last = r.at - acknowledged;
    if (attempt->second.sent >= in_touch) ++by_machines_in_touch;
  }
  for (const auto& [id, a] : attempts) served += a.status == 200 && a.sent >= in_touch ? 1 : 0;
  if (served == 0) return not_run;
  const std::string result =
      "requests that reached i-leaving later than " + std::to_string(drain_ms) +
      " ms after the acknowledgement: " + std::to_string(after_drain) +
      ", of these taken and sent on by machines in touch: " + std::to_string(by_machines_in_touch) + "; the last one " +
      std::to_string(last) + " ms after it; served meanwhile: " + std::to_string(served);
  record.line(result);
  std::puts(result.c_str());
  return by_machines_in_touch > 0 ? rule_broken : rule_held;
}
