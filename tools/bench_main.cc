// heatherdeck_bench: measures the costs of configuration distribution and of the proxy with real processes on this
// machine. Writes to --out: bench.json, bench.md (a table), and one SVG plot per metric with a line fitted over the
// number of nodes.
#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <thread>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>
#include <signal.h>
#include <unistd.h>

#include "model/document_delta.h"
#include "testing/fleet.h"
#include "tools/bench_fit.h"
#include "wire/codec.h"

DEFINE_string(bin, "build", "build folder");
DEFINE_string(out, "build/bench", "output folder");
DEFINE_string(sizes, "10,20,40,80,160", "numbers of nodes to measure, separated by commas");
DEFINE_uint32(changes, 8, "configuration changes submitted at each size");
DEFINE_uint32(idle_s, 10, "duration of the idle measurement at each size, seconds");
DEFINE_uint32(settle_s, 20,
              "wait between startup and the idle measurement, so that gossip about joins has ended, seconds");
DEFINE_uint32(rate, 1000, "calls per second in the latency measurement");
DEFINE_uint32(call_s, 10, "duration of each latency measurement, seconds");
DEFINE_uint32(base_port, 12000, "first port used on 127.0.0.1; keep all ports below the ephemeral port range");

namespace heatherdeck {
namespace {

using std::chrono::milliseconds;
using namespace std::chrono_literals;

constexpr auto in_force_timeout = 30s;

/// CPU time (user and system, seconds) and resident memory (MB) of a process, read from /proc/PID/stat.
struct process_usage {
  double cpu_s = 0;
  double memory_mb = 0;
};

process_usage read_process_usage(pid_t pid) {
  process_usage usage;
  std::ifstream stat(fmt::format("/proc/{}/stat", pid));
  std::string text((std::istreambuf_iterator<char>(stat)), {});
  std::istringstream fields(text.substr(std::min(text.rfind(')') + 2, text.size())));
  std::string field;
  for (int i = 3; i <= 24 && fields >> field; ++i) {
    if (i == 14 || i == 15) usage.cpu_s += std::stod(field) / static_cast<double>(::sysconf(_SC_CLK_TCK));
    if (i == 24) usage.memory_mb = std::stod(field) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
  }
  return usage;
}

/// @return the sum of all samples whose name starts with `name` in a text of Prometheus metrics.
double sum_metric(const std::string& text, const std::string& name) {
  double sum = 0;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    if (line.rfind(name, 0) == 0) sum += std::stod(line.substr(line.rfind(' ') + 1));
  }
  return sum;
}

/// Bytes of control traffic: mesh connections and gossip datagrams.
struct control_traffic {
  double mesh = 0;
  double gossip = 0;
};

/// Bytes summed over all nodes: mesh connections in both directions, and gossip sent (so each datagram counts once).
control_traffic total_node_traffic(const fleet& f) {
  control_traffic sum;
  for (const std::string& name : f.names('n')) {
    const std::string text = f.metrics(name);
    sum.mesh += sum_metric(text, "heatherdeck_mesh_bytes_total");
    sum.gossip += sum_metric(text, "heatherdeck_gossip_bytes_total");
  }
  return sum;
}

/// Measurements of a mesh with one number of nodes. The member names are the keys in bench.json.
struct size_result {
  unsigned nodes = 0;
  double idle_mesh_bytes_per_node_s = 0;
  double idle_gossip_bytes_per_node_s = 0;
  double bytes_per_change_per_node = 0;
  double converge_median_ms = 0;
  double converge_worst_ms = 0;
  double leader_cpu_percent_idle = 0;
  double leader_cpu_ms_per_change = 0;
  double leader_memory_mb = 0;
  double node_cpu_percent_idle = 0;
  double node_memory_mb = 0;
};

double median(std::vector<double> values) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

/// Sleeps for a fixed period instead of waiting for a condition, because the rates are divided by its length.
void measure_idle(const fleet& f, const std::string& leader, size_result& r) {
  const control_traffic before = total_node_traffic(f);
  const process_usage leader_before = read_process_usage(f.pid(leader));
  const process_usage node_before = read_process_usage(f.pid("n1"));
  const time_point begin = steady_clock::now();
  std::this_thread::sleep_for(std::chrono::seconds(FLAGS_idle_s));
  const process_usage leader_after = read_process_usage(f.pid(leader));
  const process_usage node_after = read_process_usage(f.pid("n1"));
  const double seconds = std::chrono::duration<double>(steady_clock::now() - begin).count();
  const control_traffic after = total_node_traffic(f);
  const double node_seconds = seconds * r.nodes;
  r.idle_mesh_bytes_per_node_s = (after.mesh - before.mesh) / node_seconds;
  r.idle_gossip_bytes_per_node_s = (after.gossip - before.gossip) / node_seconds;
  r.leader_cpu_percent_idle = (leader_after.cpu_s - leader_before.cpu_s) / seconds * 100;
  r.node_cpu_percent_idle = (node_after.cpu_s - node_before.cpu_s) / seconds * 100;
  r.leader_memory_mb = leader_after.memory_mb;
  r.node_memory_mb = node_after.memory_mb;
}

/// Submits FLAGS_changes changes one after the other, each after the last one is in force on all nodes. The idle
/// traffic of the mesh connections is subtracted from the bytes per change.
result<void> measure_changes(fleet& f, const std::string& leader, size_result& r) {
  const control_traffic before = total_node_traffic(f);
  const process_usage cpu_before = read_process_usage(f.pid(leader));
  const time_point begin = steady_clock::now();
  for (unsigned i = 0; i < FLAGS_changes; ++i) {
    const command_output done = f.submit(200 + i, "accepted");
    if (done.exit_code != 0)
      return fail(error_kind::internal, done.output, "see the process logs in this folder", f.options().work);
    const auto waited = f.wait_in_force(in_force_timeout);
    if (!waited) return fail(waited.failure());
  }
  const double seconds = std::chrono::duration<double>(steady_clock::now() - begin).count();
  const double idle = (r.idle_mesh_bytes_per_node_s) * seconds * r.nodes;
  const double total = total_node_traffic(f).mesh - before.mesh - idle;
  r.bytes_per_change_per_node = total / FLAGS_changes / r.nodes;
  r.leader_cpu_ms_per_change = (read_process_usage(f.pid(leader)).cpu_s - cpu_before.cpu_s) * 1000 / FLAGS_changes;
  // The delay of the first document on each node includes the startup of the node, so it is left out.
  std::map<std::string, unsigned> applied_counts;
  std::vector<double> delays;
  for (const applied_event& event : f.applied_events()) {
    if (applied_counts[event.node]++ == 0) continue;
    delays.push_back(static_cast<double>((event.logged_at - f.accepted_at(event.applied_version)).count()));
  }
  r.converge_median_ms = median(delays);
  r.converge_worst_ms = delays.empty() ? 0 : *std::max_element(delays.begin(), delays.end());
  return {};
}

result<size_result> measure_size(unsigned nodes, std::uint16_t base_port) {
  size_result r;
  r.nodes = nodes;
  const std::string work =
      (std::filesystem::temp_directory_path() / fmt::format("hd-bench-{}-{}", ::getpid(), nodes)).string();
  BOOST_LEAF_AUTO(
      f, fleet::make({.bin = FLAGS_bin, .work = work, .base_port = base_port, .nodes = nodes, .sections = 120}));
  BOOST_LEAF_CHECK(f->start_all());
  const command_output first = f->submit(150, "accepted");
  if (first.exit_code != 0)
    return fail(error_kind::internal, first.output, "see the process logs in this folder", work);
  const auto waited = f->wait_in_force(60s);
  if (!waited) return fail(waited.failure());
  std::this_thread::sleep_for(std::chrono::seconds(FLAGS_settle_s));
  const std::string leader = f->leader();
  measure_idle(*f, leader, r);
  BOOST_LEAF_CHECK(measure_changes(*f, leader, r));
  for (const char kind : {'n', 'c'}) {
    for (const std::string& name : f->names(kind)) f->send_signal(name, SIGTERM);
  }
  f.reset();
  std::filesystem::remove_all(work);
  return r;
}

boost::json::object run_load(const std::string& address, unsigned rate, unsigned seconds) {
  const command_output done =
      run_command({FLAGS_bin + "/tools/heatherdeck_load", "--addresses=" + address, "--host=certdesk.pwani",
                   "--paths=/certificates/1", fmt::format("--rate={}", rate),
                   fmt::format("--length_ms={}", seconds * 1000), "--max_connections=32"});
  boost::system::error_code ec;
  const std::size_t begin = done.output.find('{');
  const boost::json::value parsed = boost::json::parse(done.output.substr(begin == std::string::npos ? 0 : begin), ec);
  return ec ? boost::json::object{{"error", done.output}} : parsed.as_object();
}

/// Measures direct calls, calls through the node on the upstream's host, and calls through a second node that forwards
/// to that node, at the same rate in the same run.
result<boost::json::object> measure_calls(std::uint16_t base_port) {
  const std::string work =
      (std::filesystem::temp_directory_path() / fmt::format("hd-bench-{}-calls", ::getpid())).string();
  BOOST_LEAF_AUTO(f, fleet::make({.bin = FLAGS_bin, .work = work, .base_port = base_port, .nodes = 3, .upstreams = 1}));
  BOOST_LEAF_CHECK(f->start_all());
  const command_output first = f->submit(800, "accepted");
  if (first.exit_code != 0)
    return fail(error_kind::internal, first.output, "see the process logs in this folder", work);
  const auto upstream_known = f->wait_until(20s, [&] {
    const auto n2 = f->dump("n2");
    return n2 && boost::json::serialize(*n2).find("certdesk-n1") != std::string::npos;
  });
  if (!upstream_known) return fail(upstream_known.failure());
  struct call_path {
    const char* name;
    std::string address;
  };
  const call_path rows[] = {
      {"direct", f->address("n1", 5)}, {"one_node", f->address("n1", 2)}, {"two_nodes", f->address("n2", 2)}};
  boost::json::object table;
  // Warm-up of 2 s on each path: opens connections and fills caches.
  for (const call_path& row : rows) run_load(row.address, FLAGS_rate, 2);
  for (const call_path& row : rows) table[row.name] = run_load(row.address, FLAGS_rate, FLAGS_call_s);
  const double node_before = read_process_usage(f->pid("n1")).cpu_s;
  run_load(f->address("n1", 2), FLAGS_rate, FLAGS_call_s);
  table["node_cpu_us_per_call"] =
      (read_process_usage(f->pid("n1")).cpu_s - node_before) * 1e6 / (FLAGS_rate * FLAGS_call_s);
  f.reset();
  std::filesystem::remove_all(work);
  return table;
}

nlohmann::json to_json(const document_delta& delta) {
  nlohmann::json sections = nlohmann::json::array();
  for (const section& s : delta.sections_changed) {
    sections.push_back({{"name", s.name}, {"text", s.text}, {"epoch", s.revision.epoch}, {"index", s.revision.index}});
  }
  return {{"from", {{"epoch", delta.from.epoch}, {"index", delta.from.index}}},
          {"to", {{"epoch", delta.to.epoch}, {"index", delta.to.index}}},
          {"changed", sections},
          {"digest", {{"high", delta.result_digest.high}, {"low", delta.result_digest.low}}}};
}

/// Encoded size of a change to one section as protobuf and as CBOR, and of a whole document of 120 sections.
boost::json::object measure_codecs() {
  document_state before;
  before.document_version = {1, 1000};
  for (unsigned i = 0; i < 120; ++i) {
    const std::string name = fmt::format("routes.s{}", i);
    before.sections[name] = {name,
                             fmt::format("- {{name: s{0}, match: {{host: s{0}.pwani, path_prefix: /, method: GET}}, "
                                         "service: s{0}, timeout_ms: 800, idempotent: true}}\n",
                                         i),
                             {1, 10 + i}};
  }
  document_state after = before;
  after.document_version = {1, 1001};
  section& changed = after.sections["routes.s7"];
  changed.text.replace(changed.text.find("800"), 3, "850");
  changed.revision = after.document_version;
  const document_delta delta = make_delta(before, after);
  const control_message delta_message = delta_offer{delta, false};
  const control_message snapshot_message = snapshot_offer{after, delta.result_digest, false};
  return {{"delta_protobuf_bytes", encode(delta_message).size()},
          {"delta_cbor_bytes", nlohmann::json::to_cbor(to_json(delta)).size()},
          {"whole_document_protobuf_bytes", encode(snapshot_message).size()}};
}

/// A metric of size_result that is fitted and plotted over the number of nodes.
struct size_metric {
  const char* name;
  const char* unit;
  double size_result::*member;
};

constexpr size_metric size_metrics[] = {
    {"idle_mesh_bytes_per_node_s", "B/s", &size_result::idle_mesh_bytes_per_node_s},
    {"idle_gossip_bytes_per_node_s", "B/s", &size_result::idle_gossip_bytes_per_node_s},
    {"bytes_per_change_per_node", "B", &size_result::bytes_per_change_per_node},
    {"converge_median_ms", "ms", &size_result::converge_median_ms},
    {"converge_worst_ms", "ms", &size_result::converge_worst_ms},
    {"leader_cpu_percent_idle", "% of a core", &size_result::leader_cpu_percent_idle},
    {"leader_cpu_ms_per_change", "ms", &size_result::leader_cpu_ms_per_change},
    {"leader_memory_mb", "MB", &size_result::leader_memory_mb},
    {"node_cpu_percent_idle", "% of a core", &size_result::node_cpu_percent_idle},
    {"node_memory_mb", "MB", &size_result::node_memory_mb},
};

void write_fits(const std::vector<size_result>& results, boost::json::object& report, std::string& table) {
  table += "| Figure | Unit |";
  for (const size_result& r : results) table += fmt::format(" {} nodes |", r.nodes);
  table += " Slope per node | Max residual | Extrapolated to 1,100 nodes |\n|---|---|";
  for (std::size_t i = 0; i < results.size() + 3; ++i) table += "---|";
  table += "\n";
  for (const size_metric& row : size_metrics) {
    std::vector<bench_point> points;
    boost::json::array values;
    table += fmt::format("| {} | {} |", row.name, row.unit);
    for (const size_result& r : results) {
      points.push_back({static_cast<double>(r.nodes), r.*row.member});
      values.emplace_back(r.*row.member);
      table += fmt::format(" {:.4g} |", r.*row.member);
    }
    const line_fit fit = fit_line(points);
    table += fmt::format(" {:.4g} | {:.4g} | {:.4g} |\n", fit.slope, fit.max_residual, fit.at(1100));
    report[row.name] =
        boost::json::object{{"unit", row.unit},   {"values", std::move(values)},  {"base", fit.intercept},
                            {"slope", fit.slope}, {"residual", fit.max_residual}, {"at_1100", fit.at(1100)}};
    std::ofstream(FLAGS_out + "/" + row.name + ".svg") << plot_svg(row.name, "nodes", row.unit, points, fit);
  }
}

int run_bench() {
  std::filesystem::create_directories(FLAGS_out);
  boost::json::object report;
  std::string table = "# Measurements\n\n";
  report["codecs"] = measure_codecs();
  const outcome<boost::json::object> calls =
      capture([] { return measure_calls(static_cast<std::uint16_t>(FLAGS_base_port)); });
  if (!calls) {
    std::fprintf(stderr, "calls: %s\n", calls.failure().message().c_str());
    return 1;
  }
  report["calls"] = *calls;
  std::vector<size_result> results;
  std::istringstream sizes(FLAGS_sizes);
  for (std::string size; std::getline(sizes, size, ',');) {
    const auto nodes = static_cast<unsigned>(std::stoul(size));
    const outcome<size_result> r =
        capture([&] { return measure_size(nodes, static_cast<std::uint16_t>(FLAGS_base_port + 100)); });
    if (!r) {
      std::fprintf(stderr, "%u nodes: %s\n", nodes, r.failure().message().c_str());
      return 1;
    }
    std::fprintf(stderr, "measured %u nodes\n", nodes);
    results.push_back(*r);
  }
  write_fits(results, report, table);
  table +=
      "\nCodecs: " + boost::json::serialize(report["codecs"]) + "\n\nCalls: " + boost::json::serialize(*calls) + "\n";
  std::ofstream(FLAGS_out + "/bench.json") << boost::json::serialize(report) << "\n";
  std::ofstream(FLAGS_out + "/bench.md") << table;
  std::fputs(table.c_str(), stdout);
  return 0;
}

}  // namespace
}  // namespace heatherdeck

int main(int argc, char** argv) {
  gflags::SetUsageMessage("heatherdeck_bench --sizes=10,20,40,80,160 --out=build/bench");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return heatherdeck::run_bench();
}
