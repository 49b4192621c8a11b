/// @file
/// Callers of the nodes in the platform's dialect, on the event loop of the test's kernel. Used by booking_soak_test.
///
/// A caller keeps to one node. It repeats a failed read or download, and a booking only after a status that promises
/// that it has not run, or if no connection could be opened: each attempt with a new id and on a new connection.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "kernel/enum_names.h"
#include "kernel/kernel.h"

namespace heatherdeck {

/// book: not idempotent; upload: the same, with a long body in chunks; read, file: idempotent, file has 100 KB.
enum class request_kind { book, upload, read, file };

template <>
struct enum_table<request_kind> {
  static constexpr auto entries = std::to_array<enum_entry<request_kind>>({
      {request_kind::book, "book"},
      {request_kind::upload, "upload"},
      {request_kind::read, "read"},
      {request_kind::file, "file"},
  });
};

/// One attempt whose request was sent, or begun. Times are wall-clock times since the Unix epoch.
struct caller_attempt {
  std::string id;
  std::string booking;  ///< common to all attempts of one booking, read or download
  request_kind kind = request_kind::book;
  std::string node;
  milliseconds sent_at{0};
  milliseconds ended_at{0};
  unsigned status = 0;  ///< 0: no complete response
  std::string seal;
  std::string answered_id;
  std::size_t bytes_before = 0;  ///< received on the connection before the request was sent
  bool own_answer = false;       ///< id and whole body are those of an upstream's answer to this request

  bool unsafe() const { return kind == request_kind::book || kind == request_kind::upload; }
  bool promised_not_run() const { return status == 408 || status == 421 || status == 429 || status == 503; }
};

struct booking_caller_options {
  std::string name;
  std::string node;
  std::string address;
  std::string host;
  std::uint64_t seed = 1;
};

/// All members run on the kernel's loop. The object must outlive the loop's last run.
class booking_caller {
 public:
  booking_caller(kernel& k, booking_caller_options options)
      : kernel_(k), options_(std::move(options)), random_(options_.seed) {}

  void start();
  /// The caller ends its call.
  void stop() { stopping_ = true; }
  bool ended() const { return ended_; }
  /// Without pauses between calls, callers ask for more than the upstreams' slots.
  void set_pressing(bool pressing) { pressing_ = pressing; }
  const std::vector<caller_attempt>& attempts() const { return attempts_; }

 private:
  struct link;
  awaitable<void> run();
  awaitable<void> call(link& l, std::string booking, request_kind kind);
  awaitable<bool> send(link& l, const caller_attempt& attempt, milliseconds deadline);
  awaitable<bool> read_response(link& l, caller_attempt& attempt, milliseconds& retry_after);
  awaitable<void> sleep(milliseconds time);
  int draw(int least, int most) { return std::uniform_int_distribution<int>(least, most)(random_); }

  kernel& kernel_;
  booking_caller_options options_;
  std::mt19937_64 random_;
  std::vector<caller_attempt> attempts_;
  bool pressing_ = false;
  bool stopping_ = false;
  bool ended_ = false;
};

}  // namespace heatherdeck
