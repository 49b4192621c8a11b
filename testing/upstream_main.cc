// heatherdeck_upstream: a stand-in upstream for demos, scenarios and measurements. All behaviour is set by flags.
#include <gflags/gflags.h>

#include "kernel/kernel.h"
#include "kernel/log.h"
#include "testing/upstream_service.h"

DEFINE_string(listen, "", "ip:port for requests");
DEFINE_string(announce_to, "", "upstream_listen of the node on this host");
DEFINE_string(service, "", "service name");
DEFINE_string(upstream_version, "v1", "version of this upstream");
DEFINE_string(target, "", "name of this target");
DEFINE_uint32(slots, 20, "requests worked on at a time");
DEFINE_uint32(connections, 130, "connections accepted");
DEFINE_uint32(queue_limit, 100, "requests that may wait");
DEFINE_uint32(work_ms, 2, "time per request when warm, ms");
DEFINE_uint32(cold_ms, 0, "length of the cold start, ms");
DEFINE_double(cold_factor, 1.0, "how many times longer requests take at the start");
DEFINE_int32(fault_from_ms, -1, "time from which the fault applies, ms; negative: never");
DEFINE_double(fail_ratio, 0.0, "part of the requests that fail under the fault");
DEFINE_uint32(slow_by_ms, 0, "extra time under the fault, ms");
DEFINE_string(fault_path, "", "path prefix to which the fault applies; empty: all");
DEFINE_uint32(fault_in_flight, 0, "the fault applies only above this number in flight");
DEFINE_uint32(report_lag_ms, 0, "age of the reported load, ms");
DEFINE_int32(report_fixed, -1, "reported load whatever the truth; negative: the truth");
DEFINE_uint32(body_bytes, 200, "size of each answer");
DEFINE_uint64(seed, 1, "seed of the failures");

int main(int argc, char** argv) {
  using namespace heatherdeck;
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  init_logging("heatherdeck_upstream", log_level::info);
  set_log_field("process", FLAGS_target);
  upstream_behaviour behaviour;
  behaviour.slots = FLAGS_slots;
  behaviour.queue_limit = FLAGS_queue_limit;
  behaviour.work = milliseconds(FLAGS_work_ms);
  behaviour.cold_for = milliseconds(FLAGS_cold_ms);
  behaviour.cold_factor = FLAGS_cold_factor;
  if (FLAGS_fault_from_ms >= 0) behaviour.fault_from = milliseconds(FLAGS_fault_from_ms);
  behaviour.fail_ratio = FLAGS_fail_ratio;
  behaviour.slow_by = milliseconds(FLAGS_slow_by_ms);
  behaviour.fault_path = FLAGS_fault_path;
  behaviour.fault_in_flight = FLAGS_fault_in_flight;
  behaviour.report_lag = milliseconds(FLAGS_report_lag_ms);
  if (FLAGS_report_fixed >= 0) behaviour.report_fixed = static_cast<std::uint32_t>(FLAGS_report_fixed);
  behaviour.seed = FLAGS_seed;
  upstream_identity identity{FLAGS_listen, FLAGS_announce_to, FLAGS_service,   FLAGS_upstream_version,
                             FLAGS_target, FLAGS_connections, FLAGS_body_bytes};
  kernel k;
  const outcome<void> added =
      capture([&] { return k.add(std::make_unique<upstream_service>(std::move(identity), behaviour)); });
  if (!added) {
    log_error("start_failed", added.failure());
    return 1;
  }
  return k.run();
}
