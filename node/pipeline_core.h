/// @file
/// Decides which pipelined requests of one caller's connection run, in which order their responses are delivered, and
/// which are cancelled.
///
/// Performs no I/O. The session (node/caller_session.h) owns one core per connection. Requests are numbered in the
/// order in which they were read; the one at the front is the oldest whose response has not been delivered.
///
///     if (core.may_begin()) id = core.begin({.repeatable = true, .last = !head.keep_alive});
///     if (core.may_hold(id, size)) core.hold(id, size);   // a response that must wait for its turn
///     while (!core.empty()) {
///       core.open(core.front());                          // its response is written from now on
///       ...                                               // until core.ended(core.front())
///       if (!core.pop()) break;                           // the connection ends; cancel all that remain
///     }
///
/// Rules (docs/design/pipelining.md):
/// - A request that may not be repeated runs alone: it begins when nothing is ahead, and nothing begins behind it.
/// - Behind a response that closes the connection nothing begins, and what runs is cancelled.
/// - Responses that wait for their turn are bounded, each and in total; without room for another one nothing begins.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "kernel/enum_names.h"

namespace heatherdeck {

/// Requests of one connection that run at the same time.
inline constexpr std::size_t max_pipelined = 8;
/// Bytes of one response that are kept until its turn comes, and of all responses of a connection.
inline constexpr std::size_t max_held_response = 64UL * 1024;
inline constexpr std::size_t max_held_total = 256UL * 1024;

/// State of a request that was read and whose response has not been delivered.
enum class pipeline_state {
  held,  ///< runs; its response waits for its turn
  open,  ///< its turn has come: the response is written as it arrives
};

template <>
struct enum_table<pipeline_state> {
  static constexpr auto entries = std::to_array<enum_entry<pipeline_state>>({
      {pipeline_state::held, "held"},
      {pipeline_state::open, "open"},
  });
};

class pipeline_core {
 public:
  using request_number = std::uint64_t;

  struct request_kind {
    bool repeatable = false;  ///< GET or HEAD without a body
    bool last = false;        ///< the caller expects the connection to end after the response
  };

  bool empty() const { return front_ == next_; }
  std::size_t size() const { return static_cast<std::size_t>(next_ - front_); }
  request_number front() const { return front_; }

  /// @return true if another repeatable request may be read and begun.
  bool may_begin() const;

  /// Begins a request. Call only if `may_begin` or, for any kind of request, if the core is empty and not closed.
  request_number begin(request_kind kind);

  /// The next request is not repeatable: it must not be read before all others have been delivered.
  void block() { blocked_ = true; }
  bool blocked() const { return blocked_; }

  /// @return true if a part of a response of this size may be kept until its turn.
  bool may_hold(request_number id, std::size_t bytes) const;
  void hold(request_number id, std::size_t bytes);
  /// Drops what is held of a response.
  void release(request_number id);
  std::size_t held_bytes() const { return held_total_; }

  /// The front's turn has come; what was held counts as delivered.
  void open(request_number id);
  /// @return whether the response may be written now.
  bool is_open(request_number id) const { return at(id).state == pipeline_state::open; }

  /// The exchange has ended.
  /// @param reusable the response is complete and the connection may carry another one.
  void end(request_number id, bool reusable);
  bool ended(request_number id) const { return at(id).ended; }

  /// Removes the front, which must be open and have ended.
  /// @return false if the connection ends after its response.
  bool pop();

  /// The connection ends with the response at the front, or has ended: nothing begins any more.
  void close() { closed_ = true; }
  bool closed() const { return closed_; }

 private:
  struct entry {
    pipeline_state state = pipeline_state::held;
    bool repeatable = false;
    bool ended = false;
    bool reusable = false;
    std::size_t held = 0;
  };

  entry& at(request_number id) { return entries_[id % max_pipelined]; }
  const entry& at(request_number id) const { return entries_[id % max_pipelined]; }

  std::array<entry, max_pipelined> entries_{};
  request_number front_ = 0;
  request_number next_ = 0;
  std::size_t held_total_ = 0;
  bool blocked_ = false;
  bool closed_ = false;
  bool last_begun_ = false;  // the newest request ends the connection
};

}  // namespace heatherdeck
