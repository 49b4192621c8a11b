/// @file
/// A choice of the traffic service together with the duty to finish it.
///
///     auto picked = co_await scoped_pick::take(context, std::move(facts));
///     if (!picked) ...                                    // the refusal's reason is in picked.refused()
///     picked.finish(call_outcome::ok, latency, load);
///
/// A ticket that is destroyed unfinished is finished as cancelled, so that no slot stays reserved.
#pragma once

#include <optional>

#include "node/proxy_context.h"

namespace heatherdeck {

class scoped_pick {
 public:
  scoped_pick() = default;
  scoped_pick(proxy_context_ptr context, pick_answer answer)
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

  /// Asks the traffic service.
  static awaitable<scoped_pick> acquire(proxy_context_ptr context, request_facts facts);

  explicit operator bool() const { return answer_.index() == 1; }
  const upstream_choice& choice() const { return std::get<upstream_choice>(answer_); }
  const refusal& get_refusal() const { return std::get<refusal>(answer_); }

  /// Reports the end of the attempt; later calls have no effect.
  void finish(call_outcome outcome, duration latency, std::optional<load_report> load);

 private:
  proxy_context_ptr context_;
  pick_answer answer_{refusal{}};
  bool unfinished_ = false;
};

}  // namespace heatherdeck
