// A table of members drives the parser, so the accepted members, their types and their ranges stand in one place.
// Invariant: an endpoint is passed on exactly when it differs from the one passed on before; load is passed on each
// time. Cost: one pass over the text and one map look-up per announcement.
#include "node/announcement_core.h"

#include <algorithm>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include "wire/endpoint.h"

namespace heatherdeck {
namespace {

namespace json = boost::json;

error refuse(std::string text, std::string remedy, std::string_view where) {
  return {error_kind::bad_message, std::move(text), std::move(remedy), std::string(where)};
}

// Of an upstream that does not tell how many connections it accepts.
constexpr std::uint32_t assumed_connections = 100;

bool is_name(std::string_view text) {
  if (text.empty() || text.size() > 64) return false;
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_' ||
           c == '.';
  });
}

result<void> read_name(const json::value& value, std::string_view member, std::string& into) {
  const auto* text = value.if_string();
  if (text == nullptr || !is_name({text->data(), text->size()})) {
    return fail(refuse("not a name", "use 1 to 64 letters, digits, '-', '_' or '.'", member));
  }
  into.assign(text->data(), text->size());
  return {};
}

result<void> read_count(const json::value& value, std::string_view member, std::int64_t least, std::uint32_t& into) {
  constexpr std::int64_t most = 100'000;
  const auto* number = value.if_int64();
  if (number == nullptr || *number < least || *number > most) {
    return fail(refuse("not a number in range",
                       "use a whole number from " + std::to_string(least) + " to " + std::to_string(most), member));
  }
  into = static_cast<std::uint32_t>(*number);
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
  if (text == nullptr) return fail(refuse("not an address", "use a text ip:port", "address"));
  a.endpoint.address.assign(text->data(), text->size());
  const auto parsed = capture([&a] { return parse_endpoint(a.endpoint.address); });
  if (!parsed || parsed->port == 0) return fail(refuse("not an address", "use ip:port of this host", "address"));
  return {};
}

result<void> read_state(const json::value& value, announcement& a) {
  const auto* text = value.if_string();
  const auto state = text == nullptr ? std::nullopt : from_name<upstream_state>({text->data(), text->size()});
  // "gone" is said by DELETE.
  if (!state || *state == upstream_state::gone) {
    return fail(refuse("not a state", "use one of: starting, ready, draining", "state"));
  }
  a.endpoint.state = *state;
  return {};
}

result<void> read_whole(const json::value& value, std::string_view member, std::uint64_t& into) {
  const auto* number = value.if_int64();
  if (number == nullptr || *number < 0) return fail(refuse("not a whole number", "use 0 or more", member));
  into = static_cast<std::uint64_t>(*number);
  return {};
}

result<void> read_born(const json::value& v, announcement& a) { return read_whole(v, "born", a.order.born_ms); }
result<void> read_sequence(const json::value& v, announcement& a) {
  return read_whole(v, "sequence", a.order.sequence);
}
result<void> read_warmup(const json::value& v, announcement& a) {
  std::uint64_t left = 0;
  BOOST_LEAF_CHECK(read_whole(v, "warmup_left_ms", left));
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
    return fail(refuse("not a load", R"(use {"in_flight": N, "queued": N})", "load"));
  }
  BOOST_LEAF_CHECK(read_count(load->at("in_flight"), "load.in_flight", 0, a.load.in_flight));
  return read_count(load->at("queued"), "load.queued", 0, a.load.queued);
}

struct member_row {
  std::string_view name;
  bool required;
  result<void> (*read)(const json::value&, announcement&);
};

constexpr auto member_rows = std::to_array<member_row>({
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
    {"born", false, read_born},
    {"sequence", false, read_sequence},
});

std::string member_names() {
  std::string names;
  for (const member_row& row : member_rows) names.append(names.empty() ? "" : ", ").append(row.name);
  return names;
}

// The JSON parser keeps the last of several members with one name, so repeated names are counted in the text: a name
// stands once as a key, and no value may contain a quotation mark.
bool repeats_a_member(std::string_view text, std::string_view name) {
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
    return fail(refuse("the announcement is longer than 4096 bytes", "leave out what is not needed", "body"));
  }
  boost::system::error_code ec;
  json::parse_options options;
  options.max_depth = 4;
  const json::value parsed = json::parse({text.data(), text.size()}, ec, {}, options);
  const auto* object = ec ? nullptr : parsed.if_object();
  if (object == nullptr) return fail(refuse("the body is not a JSON object", "send one JSON object", "body"));
  announcement said;
  said.endpoint.connections = assumed_connections;
  if (!target.empty()) BOOST_LEAF_CHECK(read_target(json::value(json::string(target)), said));
  for (const auto& member : *object) {
    const std::string_view name(member.key().data(), member.key().size());
    const auto* row =
        std::find_if(member_rows.begin(), member_rows.end(), [name](const member_row& r) { return r.name == name; });
    if (row == member_rows.end()) return fail(refuse("unknown member", "use only: " + member_names(), name));
    if (repeats_a_member(text, name)) return fail(refuse("the member stands twice", "state it once", name));
    BOOST_LEAF_CHECK(row->read(member.value(), said));
  }
  for (const member_row& row : member_rows) {
    if (row.name == "target" && !target.empty()) continue;
    if (row.required && !object->contains({row.name.data(), row.name.size()})) {
      return fail(refuse("the member is missing", "an announcement needs: " + member_names(), row.name));
    }
  }
  return said;
}

result<announcement_core::changes> announcement_core::put(time_point now, const announcement& said) {
  const std::string& target = said.endpoint.target;
  if (!service_.empty() && said.endpoint.service != service_) {
    return fail(refuse("service '" + said.endpoint.service + "' is not the one of this host",
                       "announce service '" + service_ + "'", "service"));
  }
  const auto found = targets_.find(target);
  const bool late = found != targets_.end() && said.order < found->second.said.order;
  const bool ended = std::any_of(ended_.begin(), ended_.end(), [&](const auto& e) {
    return e.first == target && said.order.sequence != 0 && said.order <= e.second;
  });
  if (late || ended) return changes{};
  if (found == targets_.end() && targets_.size() >= max_announced_targets) {
    return fail(error_kind::limit, "more than 16 targets are announced on this host", "end the leases of others first",
                target);
  }
  changes result;
  if (found == targets_.end() || !(found->second.said.endpoint == said.endpoint)) {
    result.endpoints.push_back(said.endpoint);
  }
  result.loads.push_back({target, said.load});
  targets_[target] = {said, now + lease_};
  return result;
}

result<announcement_core::changes> announcement_core::remove(std::string_view target) {
  const auto found = target.empty() && targets_.size() == 1 ? targets_.begin() : targets_.find(target);
  if (found == targets_.end()) {
    return fail(error_kind::not_found, "no such target is announced", "name the target: ?target=NAME",
                std::string(target));
  }
  changes result;
  result.endpoints.push_back(found->second.said.endpoint);
  result.endpoints.back().state = upstream_state::gone;
  end(found->second.said);
  targets_.erase(found);
  return result;
}

void announcement_core::end(const announcement& said) {
  ended_.emplace_back(said.endpoint.target, said.order);
  if (ended_.size() > max_ended) ended_.pop_front();
}

announcement_core::changes announcement_core::tick(time_point now) {
  changes result;
  std::erase_if(targets_, [&](const auto& entry) {
    if (entry.second.until > now) return false;
    result.endpoints.push_back(entry.second.said.endpoint);
    result.endpoints.back().state = upstream_state::gone;
    return true;
  });
  return result;
}

boost::json::value announcement_core::dump(time_point now) const {
  json::object targets;
  for (const auto& [name, held] : targets_) {
    const auto left = std::chrono::duration_cast<milliseconds>(held.until - now).count();
    targets[name] = json::object{{"service", held.said.endpoint.service},
                                 {"version", held.said.endpoint.upstream_version},
                                 {"address", held.said.endpoint.address},
                                 {"state", to_name(held.said.endpoint.state)},
                                 {"lease_left_ms", left}};
  }
  return json::object{{"targets", std::move(targets)}};
}

}  // namespace heatherdeck
