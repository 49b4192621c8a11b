// heatherdeck_upstream: a fake upstream for demos, scenarios and benchmarks. Its behaviour is set by flags.
#include <gflags/gflags.h>

#include "kernel/kernel.h"
#include "kernel/log.h"
#include "testing/upstream_service.h"

DEFINE_string(listen, "", "ip:port on which to accept requests");
DEFINE_string(announce_to, "", "ip:port of the node on this host (its upstream_listen); empty: announce nothing");
DEFINE_string(service, "", "service name");
DEFINE_string(upstream_version, "v1", "version of this upstream");
DEFINE_string(target, "", "name of this target");
DEFINE_uint32(slots, 20, "requests processed concurrently");
DEFINE_uint32(connections, 130, "connection limit to announce");
DEFINE_uint32(queue_limit, 100, "requests that may be queued; more are shed with 503");
DEFINE_uint32(work_ms, 2, "service time of a request after the cold start, ms");
DEFINE_uint32(cold_ms, 0, "duration of the cold start, ms");
DEFINE_double(cold_factor, 1.0, "factor on the service time at the start; falls linearly to 1 during the cold start");
DEFINE_int32(fault_from_ms, -1, "time after the start from which the fault applies, ms; negative: never");
DEFINE_double(fail_ratio, 0.0, "fraction of the requests that fail with 500 under the fault");
DEFINE_uint32(slow_by_ms, 0, "additional service time under the fault, ms");
DEFINE_string(fault_path, "", "path prefix to which the fault applies; empty: all paths");
DEFINE_uint32(fault_in_flight, 0, "the fault applies only while at least this many requests are in flight");
DEFINE_uint32(report_lag_ms, 0, "delay of the reported load behind the real one, ms");
DEFINE_int32(report_fixed, -1, "constant load to report; negative: report the real load");
DEFINE_uint32(body_bytes, 200, "size of each response body, bytes");
DEFINE_bool(log_runs, false, "write a log line for each request that runs");
DEFINE_uint64(seed, 1, "seed of the random failures");

int main(int argc, char** argv) {
  using namespace heatherdeck;
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  init_logging("heatherdeck_upstream", log_level::info);
  set_log_field("process", FLAGS_target);
  upstream_behaviour behaviour;
  behaviour.slots = FLAGS_slots;
  behaviour.queue_limit = FLAGS_queue_limit;
  behaviour.service_time = milliseconds(FLAGS_work_ms);
  behaviour.cold_start = milliseconds(FLAGS_cold_ms);
  behaviour.cold_start_factor = FLAGS_cold_factor;
  if (FLAGS_fault_from_ms >= 0) behaviour.fault_start = milliseconds(FLAGS_fault_from_ms);
  behaviour.fault_error_ratio = FLAGS_fail_ratio;
  behaviour.fault_delay = milliseconds(FLAGS_slow_by_ms);
  behaviour.fault_path_prefix = FLAGS_fault_path;
  behaviour.fault_min_in_flight = FLAGS_fault_in_flight;
  behaviour.reported_load_lag = milliseconds(FLAGS_report_lag_ms);
  if (FLAGS_report_fixed >= 0) behaviour.fixed_reported_load = static_cast<std::uint32_t>(FLAGS_report_fixed);
  behaviour.seed = FLAGS_seed;
  upstream_identity identity{FLAGS_listen, FLAGS_announce_to, FLAGS_service,    FLAGS_upstream_version,
                             FLAGS_target, FLAGS_connections, FLAGS_body_bytes, FLAGS_log_runs};
  kernel k;
  const outcome<void> added =
      capture([&] { return k.add(std::make_unique<upstream_service>(std::move(identity), behaviour)); });
  if (!added) {
    log_error("start_failed", added.failure());
    return 1;
  }
  return k.run();
}
