/// @file
/// RAII handle for an upstream that "traffic" has chosen; the choice reserves capacity until `finish_call` is sent.
///
///     auto picked = co_await scoped_pick::acquire(context, std::move(attributes));
///     if (!picked) ...                                    // the reason is in picked.get_refusal()
///     picked.finish(call_outcome::ok, latency, load);
///
/// A handle that is destroyed before `finish` reports the call as cancelled, so that no capacity stays reserved. Used
/// by `run_exchange` for each attempt.
#pragma once

#include <optional>

#include "node/proxy_context.h"

namespace heatherdeck {

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
  ~scoped_pick() { finish(call_outcome::cancelled, {}, {}); }

  /// Asks the service "traffic" for an upstream.
  /// @return the choice, or a refusal; `overloaded` if the service's mailbox is full, `draining` if it is stopping.
  static awaitable<scoped_pick> acquire(proxy_context_ptr context, request_attributes attributes);

  /// @return true if an upstream was chosen; then `choice` is valid, otherwise `get_refusal`.
  explicit operator bool() const { return answer_.index() == 1; }
  const upstream_choice& choice() const { return std::get<upstream_choice>(answer_); }
  const refusal& get_refusal() const { return std::get<refusal>(answer_); }

  /// Reports the end of the attempt to "traffic"; only the first call has an effect.
  /// @param latency from sending the request to the response head.
  void finish(call_outcome outcome, duration latency, std::optional<load_report> load);

 private:
  proxy_context_ptr context_;
  pick_result answer_{refusal{}};
  bool unfinished_ = false;
};

}  // namespace heatherdeck
