// heatherdeck_load: open-loop load on one or more nodes; prints one JSON object.
#include <cstdio>
#include <sstream>

#include <boost/json/serialize.hpp>
#include <gflags/gflags.h>

#include "kernel/kernel.h"
#include "kernel/log.h"
#include "tools/load_service.h"

DEFINE_string(addresses, "", "ip:port,ip:port,... of callers' listeners");
DEFINE_string(host, "", "Host header");
DEFINE_string(paths, "/", "paths, separated by commas, used in turn");
DEFINE_string(method, "GET", "request method");
DEFINE_uint32(body_bytes, 0, "size of each request's body");
DEFINE_double(rate, 100, "calls a second in all");
DEFINE_uint32(length_ms, 1000, "length of the run, ms");
DEFINE_uint32(timeout_ms, 2000, "time-out of one call, ms");
DEFINE_uint32(max_connections, 256, "connections in all");
DEFINE_string(id_prefix, "", "prefix of hd-test-id, which upstreams count; empty: none");
DEFINE_uint64(seed, 1, "seed of the arrivals");
DEFINE_uint64(max_calls, 0, "stop after this many calls; 0: no limit");

namespace {

std::vector<std::string> split(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream in(text);
  for (std::string part; std::getline(in, part, ',');) parts.push_back(part);
  return parts;
}

}  // namespace

int main(int argc, char** argv) {
  using namespace heatherdeck;
  gflags::SetUsageMessage("heatherdeck_load --addresses=127.0.0.1:8080 --host=orders --paths=/track --rate=500");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  init_logging("heatherdeck_load", log_level::warning, log_stream::standard_error);
  load_plan plan;
  plan.addresses = split(FLAGS_addresses);
  plan.host = FLAGS_host;
  plan.paths = split(FLAGS_paths);
  plan.method = FLAGS_method;
  plan.body_bytes = FLAGS_body_bytes;
  plan.rate = FLAGS_rate;
  plan.length = milliseconds(FLAGS_length_ms);
  plan.timeout = milliseconds(FLAGS_timeout_ms);
  plan.max_connections = FLAGS_max_connections;
  plan.id_prefix = FLAGS_id_prefix;
  plan.seed = FLAGS_seed;
  plan.max_calls = FLAGS_max_calls;
  if (plan.addresses.empty() || plan.paths.empty() || plan.rate <= 0 || plan.max_connections == 0) {
    std::fputs("heatherdeck_load: give --addresses, --paths, a rate and a number of connections above zero\n", stderr);
    return 2;
  }
  kernel k;
  auto owned = std::make_unique<load_service>(std::move(plan));
  const load_service& load = *owned;
  const outcome<void> added = capture([&] { return k.add(std::move(owned)); });
  if (!added) return 1;
  const int code = k.run();
  std::puts(boost::json::serialize(load.dump()).c_str());
  return code;
}
