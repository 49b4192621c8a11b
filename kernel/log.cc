// A glog sink writes every message as one JSON line. Events of this project reach the sink as serialised JSON objects;
// text from libraries that use glog is wrapped in an object. Invariant: writing a line never blocks (see
// line_output.h). Cost: the rate limits keep one map entry per event and per error kind; both are fixed sets, so the
// maps are bounded.
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

constexpr auto rate_limit_interval = 1s;
// 50 lines a second of one event take about 0.1% of a core; under overload, hundreds of requests a second are refused
// and logged.
constexpr std::uint32_t max_lines_per_interval = 50;
constexpr int severity_above_fatal = 4;  // as stderr threshold: glog itself prints nothing to stderr

/// Rate limit of one error event and kind: one line per interval.
struct error_rate_limit {
  std::chrono::steady_clock::time_point last_written{};
  std::uint64_t suppressed = 0;
};

/// Rate limit of one event.
struct event_rate_limit {
  std::chrono::steady_clock::time_point interval_start{};
  std::uint32_t lines = 0;  ///< in the current interval, suppressed ones included
  std::uint64_t suppressed = 0;
};

struct log_state {
  log_level min_level = log_level::info;
  boost::json::object fields;
  std::map<std::pair<std::string, error_kind>, error_rate_limit> error_limits;
  std::map<std::string, event_rate_limit, std::less<>> event_limits;
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

void init_logging(const char* program, log_level min_level, log_stream stream) {
  if (stream == log_stream::standard_error) state().output = line_output(STDERR_FILENO);
  google::InitGoogleLogging(program);
  for (int severity = google::GLOG_INFO; severity < google::NUM_SEVERITIES; ++severity) {
    google::SetLogDestination(severity, "");
  }
  FLAGS_stderrthreshold = severity_above_fatal;
  static json_sink sink;
  google::AddLogSink(&sink);
  set_log_level(min_level);
}

void set_log_level(log_level min_level) { state().min_level = min_level; }

void set_log_field(std::string_view name, std::string_view value) { state().fields[name] = value; }

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields) {
  if (level < state().min_level) return;
  const auto now = std::chrono::steady_clock::now();
  const auto found = state().event_limits.find(event);
  event_rate_limit& limit =
      found != state().event_limits.end() ? found->second : state().event_limits[std::string(event)];
  if (now - limit.interval_start >= rate_limit_interval) {
    limit.interval_start = now;
    limit.lines = 0;
  }
  if (++limit.lines > max_lines_per_interval) {
    ++limit.suppressed;
    return;
  }
  boost::json::object extra;
  if (limit.suppressed > 0) extra["left_out"] = std::exchange(limit.suppressed, 0);
  write_event(level, event, fields, std::move(extra));
}

void log_error(std::string_view event, const error& e, std::initializer_list<log_field> fields) {
  error_rate_limit& limit = state().error_limits[{std::string(event), e.kind}];
  const auto now = std::chrono::steady_clock::now();
  if (limit.last_written.time_since_epoch().count() != 0 && now - limit.last_written < rate_limit_interval) {
    ++limit.suppressed;
    return;
  }
  boost::json::object extra{{"error", to_json(e)}};
  if (limit.suppressed > 0) extra["repeated"] = limit.suppressed;
  limit = {now, 0};
  write_event(log_level::error, event, fields, std::move(extra));
}

}  // namespace heatherdeck
