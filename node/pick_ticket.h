/// @file
/// A choice of the traffic service together with the duty to finish it.
///
///     auto picked = co_await pick_ticket::take(context, std::move(facts));
///     if (!picked) ...                                    // the refusal's reason is in picked.refused()
///     picked.finish(call_outcome::ok, latency, load);
///
/// A ticket that is destroyed unfinished is finished as cancelled, so that no slot stays reserved.
#pragma once

#include <optional>

#include "node/proxy_context.h"

namespace heatherdeck {

class pick_ticket {
 public:
  pick_ticket() = default;
  pick_ticket(proxy_context_ptr context, pick_answer answer)
      : context_(std::move(context)), answer_(std::move(answer)) {
    open_ = answer_.index() == 1;
  }
  pick_ticket(pick_ticket&& other) noexcept
      : context_(std::move(other.context_)),
        answer_(std::move(other.answer_)),
        open_(std::exchange(other.open_, false)) {}
  pick_ticket& operator=(pick_ticket&& other) noexcept;
  pick_ticket(const pick_ticket&) = delete;
  pick_ticket& operator=(const pick_ticket&) = delete;
  ~pick_ticket() { finish(call_outcome::cancelled, {}, {}); }

  /// Asks the traffic service.
  static awaitable<pick_ticket> take(proxy_context_ptr context, request_facts facts);

  explicit operator bool() const { return answer_.index() == 1; }
  const upstream_choice& choice() const { return std::get<upstream_choice>(answer_); }
  const refusal& refused() const { return std::get<refusal>(answer_); }

  /// Reports the end of the attempt; later calls have no effect.
  void finish(call_outcome outcome, duration latency, std::optional<load_report> load);

 private:
  proxy_context_ptr context_;
  pick_answer answer_{refusal{}};
  bool open_ = false;
};

}  // namespace heatherdeck
