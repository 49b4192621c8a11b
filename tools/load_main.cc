// heatherdeck_load: sends open-loop HTTP load to one or more nodes and prints the load_report as one JSON object.
#include <cstdio>
#include <sstream>

#include <boost/json/serialize.hpp>
#include <gflags/gflags.h>

#include "kernel/kernel.h"
#include "kernel/log.h"
#include "tools/load_service.h"

DEFINE_string(addresses, "", "ip:port,ip:port,... of the caller listeners of nodes, or of upstreams");
DEFINE_string(host, "", "Host header");
DEFINE_string(paths, "/", "request paths, separated by commas, used round-robin");
DEFINE_string(method, "GET", "request method");
DEFINE_uint32(body_bytes, 0, "size of each request body, bytes");
DEFINE_double(rate, 100, "calls per second, over all addresses");
DEFINE_uint32(length_ms, 1000, "duration of the run, ms");
DEFINE_uint32(timeout_ms, 2000, "timeout of one call, ms");
DEFINE_uint32(max_connections, 256, "maximum number of connections, over all addresses");
DEFINE_string(id_prefix, "",
              "prefix of the hd-test-id header, by which test upstreams detect repeated runs; empty: no such header");
DEFINE_uint64(seed, 1, "seed of the random arrival times");
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
  load_options options;
  options.addresses = split(FLAGS_addresses);
  options.host = FLAGS_host;
  options.paths = split(FLAGS_paths);
  options.method = FLAGS_method;
  options.body_bytes = FLAGS_body_bytes;
  options.rate = FLAGS_rate;
  options.length = milliseconds(FLAGS_length_ms);
  options.timeout = milliseconds(FLAGS_timeout_ms);
  options.max_connections = FLAGS_max_connections;
  options.id_prefix = FLAGS_id_prefix;
  options.seed = FLAGS_seed;
  options.max_calls = FLAGS_max_calls;
  if (options.addresses.empty() || options.paths.empty() || options.rate <= 0 || options.max_connections == 0) {
    std::fputs(
        "heatherdeck_load: --addresses and --paths must not be empty; --rate and --max_connections must be above "
        "zero\n",
        stderr);
    return 2;
  }
  kernel k;
  auto owned = std::make_unique<load_service>(std::move(options));
  const load_service& load = *owned;
  const outcome<void> added = capture([&] { return k.add(std::move(owned)); });
  if (!added) return 1;
  const int code = k.run();
  std::puts(boost::json::serialize(load.dump()).c_str());
  return code;
}
