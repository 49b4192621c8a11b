// The parser is driven by a table, which is the one place for the accepted JSON members, their types and their ranges.
// Invariant: an endpoint is reported as a change exactly when it differs from the one reported before; load is reported
// each time. Cost: one pass over the text for each member and one map look-up per announcement.
#include "node/announcement_core.h"

#include <algorithm>
#include <limits>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include "wire/endpoint.h"

namespace heatherdeck {
namespace {

namespace json = boost::json;

error make_error(std::string text, std::string remedy, std::string_view where) {
  return {error_kind::bad_message, std::move(text), std::move(remedy), std::string(where)};
}

// Above every sequence number: announcements of one start are outdated whatever their number.
constexpr std::uint64_t any_sequence = std::numeric_limits<std::uint64_t>::max();

// For an upstream that does not announce how many connections it accepts.
constexpr std::uint32_t default_connections = 100;

bool is_valid_name(std::string_view text) {
  if (text.empty() || text.size() > 64) return false;
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_' ||
           c == '.';
  });
}

result<void> read_name(const json::value& value, std::string_view member, std::string& output) {
  const auto* text = value.if_string();
  if (text == nullptr || !is_valid_name({text->data(), text->size()})) {
    return fail(make_error("the value is not a valid name", "use 1 to 64 letters, digits, '-', '_' or '.'", member));
  }
  output.assign(text->data(), text->size());
  return {};
}

result<void> read_count(const json::value& value, std::string_view member, std::int64_t min_value,
                        std::uint32_t& output) {
  constexpr std::int64_t max_value = 100'000;
  const auto* number = value.if_int64();
  if (number == nullptr || *number < min_value || *number > max_value) {
    return fail(make_error("the value is not an integer in the accepted range",
                           "use an integer from " + std::to_string(min_value) + " to " + std::to_string(max_value),
                           member));
  }
  output = static_cast<std::uint32_t>(*number);
  return {};
}

result<void> read_service(const json::value& v, announcement& a) { return read_name(v, "service", a.endpoint.service); }
result<void> read_version(const json::value& v, announcement& a) {
  return read_name(v, "version", a.endpoint.upstream_version);
}
result<void> read_target(const json::value& v, announcement& a) { return read_name(v, "target", a.endpoint.target); }
result<void> read_slots(const json::value& v, announcement& a) { return read_count(v, "slots", 1, a.endpoint.slots); }
result<void> read_connections(const json::value& v, announcement& a) {
  return read_count(v, "connections", 1, a.endpoint.connections);
}

result<void> read_address(const json::value& value, announcement& a) {
  const auto* text = value.if_string();
  if (text == nullptr)
    return fail(make_error("the value is not a string", "use a string of the form ip:port", "address"));
  a.endpoint.address.assign(text->data(), text->size());
  const auto parsed = capture([&a] { return parse_endpoint(a.endpoint.address); });
  if (!parsed || parsed->port == 0)
    return fail(
        make_error("the value is not an upstream address", "use ip:port of this host, with a port above 0", "address"));
  return {};
}

result<void> read_state(const json::value& value, announcement& a) {
  const auto* text = value.if_string();
  const auto state = text == nullptr ? std::nullopt : from_name<upstream_state>({text->data(), text->size()});
  // An upstream announces "gone" by DELETE, not by a state.
  if (!state || *state == upstream_state::gone) {
    return fail(make_error("the value is not an upstream state", "use one of: starting, ready, draining", "state"));
  }
  a.endpoint.state = *state;
  return {};
}

result<void> read_unsigned(const json::value& value, std::string_view member, std::uint64_t& output) {
  const auto* number = value.if_int64();
  if (number == nullptr || *number < 0)
    return fail(make_error("the value is not a non-negative integer", "use an integer of 0 or more", member));
  output = static_cast<std::uint64_t>(*number);
  return {};
}

result<void> read_start_time(const json::value& v, announcement& a) {
  return read_unsigned(v, "born", a.order.start_time_ms);
}
result<void> read_sequence(const json::value& v, announcement& a) {
  return read_unsigned(v, "sequence", a.order.sequence);
}
result<void> read_warmup(const json::value& v, announcement& a) {
  std::uint64_t left = 0;
  BOOST_LEAF_CHECK(read_unsigned(v, "warmup_left_ms", left));
  a.warmup_left = milliseconds(std::min<std::uint64_t>(left, 600'000));
  return {};
}
result<void> read_zone(const json::value& v, announcement&) {
  std::string zone;
  return read_name(v, "zone", zone);
}

result<void> read_load(const json::value& value, announcement& a) {
  const auto* load = value.if_object();
  if (load == nullptr || load->size() != 2 || !load->contains("in_flight") || !load->contains("queued")) {
    return fail(make_error("the value is not a load object", R"(use {"in_flight": N, "queued": N})", "load"));
  }
  BOOST_LEAF_CHECK(read_count(load->at("in_flight"), "load.in_flight", 0, a.load.in_flight));
  return read_count(load->at("queued"), "load.queued", 0, a.load.queued);
}

struct member_reader {
  std::string_view name;
  bool required;
  result<void> (*read)(const json::value&, announcement&);
};

constexpr auto member_readers = std::to_array<member_reader>({
    {"service", true, read_service},
    {"version", true, read_version},
    {"target", true, read_target},
    {"address", true, read_address},
    {"slots", true, read_slots},
    {"connections", false, read_connections},
    {"state", true, read_state},
    {"load", false, read_load},
    {"zone", false, read_zone},
    {"warmup_left_ms", false, read_warmup},
    {"born", false, read_start_time},
    {"sequence", false, read_sequence},
});

std::string member_names() {
  std::string names;
  for (const member_reader& row : member_readers) names.append(names.empty() ? "" : ", ").append(row.name);
  return names;
}

// The JSON parser keeps only the last of several members with the same name, so the keys are counted in the text. That
// is reliable because no accepted value contains a quotation mark.
bool is_repeated_member(std::string_view text, std::string_view name) {
  const std::string key = "\"" + std::string(name) + "\"";
  std::size_t count = 0;
  for (std::size_t at = text.find(key); at != std::string_view::npos; at = text.find(key, at + key.size())) {
    const std::size_t next = text.find_first_not_of(" \t\r\n", at + key.size());
    if (next != std::string_view::npos && text[next] == ':') ++count;
  }
  return count > 1;
}

}  // namespace

result<announcement> parse_announcement(std::string_view text, std::string_view target) {
  if (text.size() > max_announcement_bytes) {
    return fail(
        make_error("the announcement is longer than 4096 bytes", "omit optional members and shorten names", "body"));
  }
  boost::system::error_code ec;
  json::parse_options options;
  options.max_depth = 4;
  const json::value parsed = json::parse({text.data(), text.size()}, ec, {}, options);
  const auto* object = ec ? nullptr : parsed.if_object();
  if (object == nullptr) return fail(make_error("the body is not a JSON object", "send one JSON object", "body"));
  announcement announced;
  announced.endpoint.connections = default_connections;
  if (!target.empty()) BOOST_LEAF_CHECK(read_target(json::value(json::string(target)), announced));
  for (const auto& member : *object) {
    const std::string_view name(member.key().data(), member.key().size());
    const auto* row = std::find_if(member_readers.begin(), member_readers.end(),
                                   [name](const member_reader& r) { return r.name == name; });
    if (row == member_readers.end()) return fail(make_error("unknown member", "use only: " + member_names(), name));
    if (is_repeated_member(text, name))
      return fail(make_error("the member occurs more than once", "give it once", name));
    BOOST_LEAF_CHECK(row->read(member.value(), announced));
  }
  for (const member_reader& row : member_readers) {
    if (row.name == "target" && !target.empty()) continue;
    if (row.required && !object->contains({row.name.data(), row.name.size()})) {
      return fail(make_error("a required member is missing",
                             "add it; the members of an announcement are: " + member_names(), row.name));
    }
  }
  return announced;
}

result<announcement_core::changes> announcement_core::put(time_point now, const announcement& announced) {
  const std::string& target = announced.endpoint.target;
  if (!service_.empty() && announced.endpoint.service != service_) {
    return fail(make_error("service '" + announced.endpoint.service + "' is not the service of this host",
                           "announce service '" + service_ + "'", "service"));
  }
  if (arrived_late(now, announced)) return changes{.outdated = true};
  const auto found = targets_.find(target);
  if (found == targets_.end() && targets_.size() >= max_announced_targets) {
    return fail(error_kind::limit, "more than 16 targets are announced on this host",
                "remove other targets first, with DELETE", target);
  }
  lease_entry next{announced, now + lease_duration_};
  next.leaving = found != targets_.end() && found->second.leaving &&
                 announced.order.start_time_ms <= found->second.announced.order.start_time_ms;
  if (next.leaving) next.announced.endpoint.state = upstream_state::draining;
  changes result;
  if (announced.endpoint.state == upstream_state::draining) {
    const bool drained_before = found != targets_.end() && found->second.draining_since != announcement_order{} &&
                                found->second.draining_since.start_time_ms == announced.order.start_time_ms;
    next.draining_since = drained_before ? found->second.draining_since : announced.order;
    add_departure(target, next.draining_since, result);
  }
  if (!held_) {
    if (found == targets_.end() || !(found->second.announced.endpoint == next.announced.endpoint)) {
      result.endpoints.push_back(next.announced.endpoint);
    }
    next.reported = true;
    report_load(next, result);
  }
  targets_[target] = std::move(next);
  return result;
}

void announcement_core::report_load(const lease_entry& entry, changes& result) {
  const announcement& announced = entry.announced;
  result.loads.push_back(
      {announced.endpoint.target, announced.load, {announced.warmup_left, announced.order.start_time_ms}});
}

void announcement_core::report_gone(const lease_entry& entry, changes& result) {
  if (!entry.reported) return;
  result.endpoints.push_back(entry.announced.endpoint);
  result.endpoints.back().state = upstream_state::gone;
}

// Announcements that give no order are accepted at any time, so a departure without one would have no effect.
void announcement_core::add_departure(const std::string& target, const announcement_order& last, changes& result) {
  if (last != announcement_order{}) result.departures.push_back({target, last});
}

announcement_core::changes announcement_core::mark_leaving(std::string_view target) {
  changes result;
  const auto found = targets_.find(target);
  if (found == targets_.end()) return result;
  found->second.leaving = true;
  endpoint_record& endpoint = found->second.announced.endpoint;
  if (std::exchange(endpoint.state, upstream_state::draining) != upstream_state::draining && found->second.reported) {
    result.endpoints.push_back(endpoint);
  }
  return result;
}

// An announcement that gives no order cannot be judged. One without a start time may come from a new start, so after
// the target has left it is outdated for the duration of a lease only.
bool announcement_core::is_outdated(time_point now, const removed_target& removed,
                                    const announcement_order& order) const {
  if (order == announcement_order{}) return false;
  if (removed.left && order.start_time_ms == 0) return now < removed.removed_at + lease_duration_;
  if (!removed.left && order.sequence == 0) return order.start_time_ms < removed.last.start_time_ms;
  return order <= removed.last;
}

// True when the target has announced something newer, has been removed or fallen silent since, or has been succeeded at
// its address by a target that started later.
bool announcement_core::arrived_late(time_point now, const announcement& announced) const {
  const std::string& target = announced.endpoint.target;
  const announcement_order& order = announced.order;
  const bool was_removed = std::any_of(removed_targets_.begin(), removed_targets_.end(), [&](const auto& removed) {
    return removed.name == target && is_outdated(now, removed, order);
  });
  return was_removed || std::any_of(targets_.begin(), targets_.end(), [&](const auto& entry) {
           const announcement& known = entry.second.announced;
           if (entry.first == target) return order < known.order;
           return order.start_time_ms != 0 && known.endpoint.address == announced.endpoint.address &&
                  order.start_time_ms < known.order.start_time_ms;
         });
}

result<announcement_core::changes> announcement_core::remove(time_point now, std::string_view target,
                                                             std::uint64_t unix_ms) {
  const auto found = target.empty() && targets_.size() == 1 ? targets_.begin() : targets_.find(target);
  if (found == targets_.end() && !target.empty()) {
    remember_removed({std::string(target), {unix_ms, any_sequence}, now, true});
    changes result;
    add_departure(std::string(target), {unix_ms, any_sequence}, result);
    return result;
  }
  if (found == targets_.end()) {
    return fail(error_kind::not_found, "the target is not announced on this host",
                "name an announced target: ?target=NAME", {});
  }
  changes result;
  report_gone(found->second, result);
  // Announcements that were sent before this request may still arrive, with sequence numbers that are not known here.
  announcement_order last = found->second.announced.order;
  if (last.start_time_ms != 0) last.sequence = any_sequence;
  remember_removed({found->first, last, now, true});
  add_departure(found->first, last, result);
  targets_.erase(found);
  return result;
}

announcement_core::changes announcement_core::adopt(time_point now, const std::vector<target_departure>& departures) {
  changes result;
  for (const target_departure& departure : departures) {
    const removed_target& removed = remember_removed({departure.target, departure.last, now, true});
    const auto found = targets_.find(departure.target);
    if (found == targets_.end() || !is_outdated(now, removed, found->second.announced.order)) continue;
    report_gone(found->second, result);
    targets_.erase(found);
  }
  return result;
}

announcement_core::changes announcement_core::release(time_point now, const std::vector<target_departure>& departures) {
  changes result = adopt(now, departures);
  held_ = false;
  for (auto& [name, entry] : targets_) {
    if (std::exchange(entry.reported, true)) continue;
    result.endpoints.push_back(entry.announced.endpoint);
    report_load(entry, result);
  }
  return result;
}

const announcement_core::removed_target& announcement_core::remember_removed(removed_target removed) {
  removed_targets_.push_back(std::move(removed));
  if (removed_targets_.size() > max_removed_targets) removed_targets_.pop_front();
  return removed_targets_.back();
}

announcement_core::changes announcement_core::tick(time_point now) {
  changes result;
  std::erase_if(targets_, [&](const auto& entry) {
    if (entry.second.expires_at > now) return false;
    report_gone(entry.second, result);
    remember_removed({entry.first, entry.second.announced.order, now, false});
    // A silent target may come back; without a sequence it could not be told from one that does not.
    if (entry.second.announced.order.sequence != 0 && entry.second.announced.order.start_time_ms != 0)
      add_departure(entry.first, entry.second.announced.order, result);
    return true;
  });
  return result;
}

boost::json::value announcement_core::dump(time_point now) const {
  json::object targets;
  for (const auto& [name, target_lease] : targets_) {
    const auto left = std::chrono::duration_cast<milliseconds>(target_lease.expires_at - now).count();
    targets[name] = json::object{{"service", target_lease.announced.endpoint.service},
                                 {"version", target_lease.announced.endpoint.upstream_version},
                                 {"address", target_lease.announced.endpoint.address},
                                 {"state", to_name(target_lease.announced.endpoint.state)},
                                 {"lease_left_ms", left}};
  }
  return json::object{{"targets", std::move(targets)}, {"held", held_}};
}

}  // namespace heatherdeck
