// Makes a delta by comparing two states map by map, and applies one to a copy of the base state.
//
// Invariants: apply_delta(a, make_delta(a, b)) == b; a delta that fails to apply changes nothing. The delta carries the
// digest of the resulting state, so a receiver whose base differs in any byte refuses it. Cost: make_delta and
// apply_delta are linear in the size of both states; delta_since looks up only the changed names but computes the
// digest of the current state.
#include "model/document_delta.h"

#include <algorithm>
#include <utility>

#include "model/document_digest.h"

namespace heatherdeck {
namespace {

// Calls `changed` for every value of `to` that is new or different, and `removed` for every key that only `from` has.
template <class Map, class Changed, class Removed>
void compare(const Map& from, const Map& to, Changed changed, Removed removed) {
  for (const auto& [key, value] : to) {
    const auto old = from.find(key);
    if (old == from.end() || !(old->second == value)) changed(key, value);
  }
  for (const auto& [key, value] : from) {
    if (!to.contains(key)) removed(key);
  }
}

}  // namespace

document_delta make_delta(const document_state& from, const document_state& to) {
  document_delta delta;
  delta.from = from.document_version;
  delta.to = to.document_version;
  compare(
      from.sections, to.sections, [&](const auto&, const section& s) { delta.sections_changed.push_back(s); },
      [&](const std::string& name) { delta.sections_removed.push_back(name); });
  compare(
      from.rollouts, to.rollouts, [&](const auto&, const rollout_state& r) { delta.rollouts_changed.push_back(r); },
      [&](const std::string& service) { delta.rollouts_removed.push_back(service); });
  compare(
      from.withdrawn, to.withdrawn,
      [&](const auto&, const withdrawn_version& w) { delta.withdrawn_added.push_back(w); }, [](const auto&) {});
  delta.result_digest = digest_of(to);
  return delta;
}

result<document_state> apply_delta(const document_state& base, const document_delta& delta) {
  if (delta.from != base.document_version) {
    return fail(error_kind::conflict,
                "the delta starts at version " + delta.from.text() + ", but this process has version " +
                    base.document_version.text() + " of the document",
                "request a snapshot");
  }
  if (delta.to <= delta.from) {
    return fail(error_kind::conflict,
                "the delta starts at version " + delta.from.text() + ", which is not older than its end, version " +
                    delta.to.text(),
                "ignore the delta");
  }
  document_state next = base;
  next.document_version = delta.to;
  for (const std::string& name : delta.sections_removed) next.sections.erase(name);
  for (const section& s : delta.sections_changed) next.sections[s.name] = s;
  for (const std::string& service : delta.rollouts_removed) next.rollouts.erase(service);
  for (const rollout_state& r : delta.rollouts_changed) next.rollouts[r.service] = r;
  for (const withdrawn_version& w : delta.withdrawn_added) next.withdrawn[{w.service, w.upstream_version}] = w;
  if (digest_of(next) != delta.result_digest) {
    return fail(error_kind::corrupt,
                "the state after the delta to version " + delta.to.text() + " does not match its digest",
                "request a snapshot");
  }
  return next;
}

void document_history::record(const document_state& before, const document_state& after) {
  const document_delta delta = make_delta(before, after);
  document_change change{after.document_version, delta.sections_removed, delta.rollouts_removed, {}};
  for (const section& s : delta.sections_changed) change.sections.push_back(s.name);
  for (const rollout_state& r : delta.rollouts_changed) change.rollouts.push_back(r.service);
  for (const withdrawn_version& w : delta.withdrawn_added) {
    change.withdrawn.emplace_back(w.service, w.upstream_version);
  }
  record(before.document_version, std::move(change));
}

void document_history::record(const version& before, document_change change) {
  const version& last = changes_.empty() ? base_ : changes_.back().changed_in;
  if (last != before) {
    base_ = before;
    changes_.clear();
  }
  changes_.push_back(std::move(change));
  if (changes_.size() > max_changes) {
    base_ = changes_.front().changed_in;
    changes_.pop_front();
  }
}

std::optional<document_delta> document_history::delta_since(const version& from, const document_state& current) const {
  if (changes_.empty() || changes_.back().changed_in != current.document_version) return std::nullopt;
  auto next = changes_.begin();
  if (from != base_) {
    const auto held = std::lower_bound(changes_.begin(), changes_.end(), from,
                                       [](const document_change& c, const version& v) { return c.changed_in < v; });
    if (held == changes_.end() || held->changed_in != from) return std::nullopt;
    next = std::next(held);
    if (next == changes_.end()) return std::nullopt;
  }
  std::set<std::string> sections;
  std::set<std::string> rollouts;
  std::set<withdrawn_key> withdrawn;
  for (; next != changes_.end(); ++next) {
    sections.insert(next->sections.begin(), next->sections.end());
    rollouts.insert(next->rollouts.begin(), next->rollouts.end());
    withdrawn.insert(next->withdrawn.begin(), next->withdrawn.end());
  }
  document_delta delta;
  delta.from = from;
  delta.to = current.document_version;
  for (const std::string& name : sections) {
    const auto found = current.sections.find(name);
    if (found != current.sections.end()) {
      delta.sections_changed.push_back(found->second);
    } else {
      delta.sections_removed.push_back(name);
    }
  }
  for (const std::string& service : rollouts) {
    const auto found = current.rollouts.find(service);
    if (found != current.rollouts.end()) {
      delta.rollouts_changed.push_back(found->second);
    } else {
      delta.rollouts_removed.push_back(service);
    }
  }
  for (const withdrawn_key& key : withdrawn) {
    const auto found = current.withdrawn.find(key);
    if (found != current.withdrawn.end()) delta.withdrawn_added.push_back(found->second);
  }
  delta.result_digest = digest_of(current);
  return delta;
}

document_history document_history::restore(const version& base, std::deque<document_change> changes) {
  document_history history;
  history.base_ = base;
  history.changes_ = std::move(changes);
  return history;
}

}  // namespace heatherdeck
