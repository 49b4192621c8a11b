// A glog sink writes every message as one JSON line. Our own events reach the sink as ready JSON objects; text from
// libraries that use glog is wrapped in an object. Invariant: a line never waits for its reader (see line_output.h).
// Repetition is counted per event and error kind with one map entry each; both are fixed sets, so the maps are bounded.
#include "kernel/log.h"

#include <chrono>
#include <map>
#include <string>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/chrono.h>
#include <glog/logging.h>
#include <unistd.h>

#include "kernel/line_output.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr auto repeat_interval = 1s;
// 50 lines a second of one event take about 0.1% of a core; an overload refuses hundreds of requests a second.
constexpr std::uint32_t most_lines_in_interval = 50;
constexpr int severity_above_fatal = 4;  // keeps glog itself from printing to stderr

struct repeat_count {
  std::chrono::steady_clock::time_point last_written{};
  std::uint64_t left_out = 0;
};

/// Lines of one event in the present interval.
struct event_count {
  std::chrono::steady_clock::time_point since{};
  std::uint32_t written = 0;
  std::uint64_t left_out = 0;
};

struct log_state {
  log_level lowest = log_level::info;
  boost::json::object fields;
  std::map<std::pair<std::string, error_kind>, repeat_count> repeats;
  std::map<std::string, event_count, std::less<>> events;
  line_output output{STDOUT_FILENO};
};

log_state& state() {
  static log_state instance;
  return instance;
}

std::string utc_time() {
  const auto now = std::chrono::system_clock::now();
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}Z", fmt::gmtime(std::chrono::system_clock::to_time_t(now)))
      .insert(19,
              fmt::format(".{:03}", std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count() % 1000));
}

void write_line(std::string_view line) {
  line_output& out = state().output;
  if (const std::uint64_t dropped = out.take_dropped(); dropped > 0) {
    boost::json::object notice{
        {"time", utc_time()}, {"level", "warning"}, {"event", "log_lines_dropped"}, {"lines", dropped}};
    out.write(boost::json::serialize(notice));
  }
  out.write(line);
}

class json_sink : public google::LogSink {
 public:
  void send(google::LogSeverity severity, const char* /*full_filename*/, const char* base_filename, int line,
            const google::LogMessageTime& /*time*/, const char* message, std::size_t length) override {
    const std::string_view text(message, length);
    if (text.starts_with('{')) {
      write_line(text);
      return;
    }
    boost::json::object wrapped{{"time", utc_time()},
                                {"level", severity >= google::GLOG_ERROR ? "error" : "info"},
                                {"event", "library_message"},
                                {"text", text},
                                {"where", std::string(base_filename) + ":" + std::to_string(line)}};
    write_line(boost::json::serialize(wrapped));
  }
};

void write_event(log_level level, std::string_view event, std::initializer_list<log_field> fields,
                 boost::json::object extra) {
  boost::json::object line{{"time", utc_time()}, {"level", to_name(level)}, {"event", event}};
  for (const auto& field : state().fields) line[field.key()] = field.value();
  for (const log_field& field : fields) line[field.name] = field.value;
  for (const auto& field : extra) line[field.key()] = field.value();
  const std::string text = boost::json::serialize(line);
  switch (level) {
    case log_level::debug:
    case log_level::info:
      LOG(INFO) << text;
      break;
    case log_level::warning:
      LOG(WARNING) << text;
      break;
    case log_level::error:
      LOG(ERROR) << text;
      break;
  }
}

}  // namespace

void init_logging(const char* program, log_level lowest, log_stream stream) {
  if (stream == log_stream::standard_error) state().output = line_output(STDERR_FILENO);
  google::InitGoogleLogging(program);
  for (int severity = google::GLOG_INFO; severity < google::NUM_SEVERITIES; ++severity) {
    google::SetLogDestination(severity, "");
  }
  FLAGS_stderrthreshold = severity_above_fatal;
  static json_sink sink;
  google::AddLogSink(&sink);
  set_log_level(lowest);
}

void set_log_level(log_level lowest) { state().lowest = lowest; }

void set_log_field(std::string_view name, std::string_view value) { state().fields[name] = value; }

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields) {
  if (level < state().lowest) return;
  const auto now = std::chrono::steady_clock::now();
  const auto found = state().events.find(event);
  event_count& count = found != state().events.end() ? found->second : state().events[std::string(event)];
  if (now - count.since >= repeat_interval) {
    count.since = now;
    count.written = 0;
  }
  if (++count.written > most_lines_in_interval) {
    ++count.left_out;
    return;
  }
  boost::json::object extra;
  if (count.left_out > 0) extra["left_out"] = std::exchange(count.left_out, 0);
  write_event(level, event, fields, std::move(extra));
}

void log_error(std::string_view event, const error& e, std::initializer_list<log_field> fields) {
  repeat_count& count = state().repeats[{std::string(event), e.kind}];
  const auto now = std::chrono::steady_clock::now();
  if (count.last_written.time_since_epoch().count() != 0 && now - count.last_written < repeat_interval) {
    ++count.left_out;
    return;
  }
  boost::json::object extra{{"error", to_json(e)}};
  if (count.left_out > 0) extra["repeated"] = count.left_out;
  count = {now, 0};
  write_event(log_level::error, event, fields, std::move(extra));
}

}  // namespace heatherdeck
