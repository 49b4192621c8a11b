/// @file
/// RAII handle for an upstream that "traffic" has chosen; the choice reserves capacity until `finish_call` is sent.
///
///     auto picked = co_await scoped_pick::acquire(context, std::move(attributes));
///     if (!picked) ...                                    // the reason is in picked.get_refusal()
///     picked.finish({.outcome = call_outcome::ok, .latency = latency, .load = load});
///
/// A handle that is destroyed before `finish` reports the call as cancelled, so that no capacity stays reserved. Used
/// by `run_exchange` for each attempt.
#pragma once

#include <optional>

#include "node/proxy_context.h"

namespace heatherdeck {

/// What an attempt has shown.
struct attempt_report {
  call_outcome outcome = call_outcome::cancelled;
  duration latency{};  ///< from sending the request to the response head
  std::optional<load_report> load{};
  call_ending ending = call_ending::unknown;
  request_fingerprint request{};
};

class scoped_pick {
 public:
  scoped_pick() = default;
  scoped_pick(proxy_context_ptr context, pick_result answer)
      : context_(std::move(context)), answer_(std::move(answer)) {
    unfinished_ = answer_.index() == 1;
  }
  scoped_pick(scoped_pick&& other) noexcept
      : context_(std::move(other.context_)),
        answer_(std::move(other.answer_)),
        unfinished_(std::exchange(other.unfinished_, false)) {}
  scoped_pick& operator=(scoped_pick&& other) noexcept;
  scoped_pick(const scoped_pick&) = delete;
  scoped_pick& operator=(const scoped_pick&) = delete;
  ~scoped_pick() { finish({}); }

  /// Asks the service "traffic" for an upstream.
  /// @return the choice, or a refusal; `overloaded` if the service's mailbox is full, `draining` if it is stopping.
  static awaitable<scoped_pick> acquire(proxy_context_ptr context, request_attributes attributes);

  /// @return true if the body must be read before an upstream can be chosen; neither a choice nor a refusal is there.
  bool needs_body() const { return std::holds_alternative<body_required>(answer_); }

  /// @return true if an upstream was chosen; then `choice` is valid, otherwise `get_refusal`.
  explicit operator bool() const { return answer_.index() == 1; }
  const upstream_choice& choice() const { return std::get<upstream_choice>(answer_); }
  const refusal& get_refusal() const { return std::get<refusal>(answer_); }

  /// Reports the end of the attempt to "traffic"; only the first call has an effect.
  void finish(const attempt_report& report);

 private:
  proxy_context_ptr context_;
  pick_result answer_{refusal{}};
  bool unfinished_ = false;
};

}  // namespace heatherdeck
