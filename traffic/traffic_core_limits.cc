// Permits of the fleet-wide rate limit on their way through a pick. The first attempt of a request from a caller draws
// one; later attempts are free. Invariant: a permit is spent when a choice is handed out, and given back on every other
// way out. While a request waits in the queue of the upstream on this host, its permit is held and not spent.
#include <utility>

#include "traffic/traffic_core.h"

namespace heatherdeck {

// This stage comes directly after the one that finds the account, and before any stage that changes the attributes:
// a request that waits passes through the stages again from the start.
traffic_core::stage_result traffic_core::draw_permit(pick_context& context) {
  const client_account* account = context.account;
  const bool limited = account != nullptr && account->rate_per_s > 0 && context.attributes.attempt == 0;
  if (context.drawn && (!limited || context.drawn->account != account->name)) {
    give_back(context.now, std::exchange(context.drawn, std::nullopt));
  }
  if (!limited || context.drawn) return go_on{};
  permit_take taken = permits_.take(context.now + suspended_, account->name, context.waiter_id);
  if (const auto* refused = std::get_if<permit_refusal>(&taken)) return refuse_without_permit(*refused);
  if (auto* drawn = std::get_if<permit>(&taken)) {
    context.drawn = std::move(*drawn);
    return go_on{};
  }
  awaiting_permits_.emplace(context.waiter_id, held_attempt{std::move(context.attributes), context.now});
  return waits{};
}

refusal traffic_core::refuse_without_permit(const permit_refusal& reason) {
  refusal refused = refuse(reason.over_limit ? refusal_reason::over_limit : refusal_reason::limit_unavailable);
  refused.retry_after = reason.retry_after;
  return refused;
}

void traffic_core::settle_permit(pick_context& context, std::optional<pick_result>& answer) {
  if (!context.drawn) return;
  if (answer && std::holds_alternative<upstream_choice>(*answer)) {
    // The permit was valid when it was drawn, at the same `now`.
    permits_.spend(context.now + suspended_, *context.drawn);
  } else {
    give_back(context.now, context.drawn);
  }
}

void traffic_core::give_back(time_point now, const std::optional<permit>& unused) {
  if (unused) permits_.give_back(now + suspended_, *unused);
}

// An attempt that has waited longer than its permit is valid takes another one, if this node has one.
bool traffic_core::spend_or_replace(time_point now, const std::optional<permit>& used) {
  if (!used || permits_.spend(now + suspended_, *used)) return true;
  const permit_take other = permits_.take(now + suspended_, used->account, 0);
  const auto* taken = std::get_if<permit>(&other);
  return taken != nullptr && permits_.spend(now + suspended_, *taken);
}

void traffic_core::pick_with_permits(time_point now, std::vector<std::pair<std::uint64_t, pick_result>>& answers) {
  // A request that is refused gives its permit back, which may end the wait of another one.
  for (auto decisions = permits_.take_decisions(now + suspended_); !decisions.empty();
       decisions = permits_.take_decisions(now + suspended_)) {
    for (permit_decision& decision : decisions) {
      auto waiting = awaiting_permits_.extract(decision.waiter);
      if (auto* refused = std::get_if<permit_refusal>(&decision.result)) {
        if (!waiting.empty()) answers.emplace_back(decision.waiter, refuse_without_permit(*refused));
        continue;
      }
      auto& drawn = std::get<permit>(decision.result);
      if (waiting.empty()) {
        give_back(now, drawn);
      } else if (auto answer = resume(now, decision.waiter, std::move(waiting.mapped()), std::move(drawn))) {
        answers.emplace_back(decision.waiter, std::move(*answer));
      }
    }
  }
}

}  // namespace heatherdeck
