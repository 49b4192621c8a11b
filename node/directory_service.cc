// Connects directory_core to the socket and to other services: datagrams and messages in, datagrams and member lists
// out. The core makes all decisions. Invariants: only the coroutines of this task access the core; member lists are
// posted at most once per min_view_interval, and always after the last change. Cost: one timer callback each
// directory_period, one copy of all records per posted list.
#include "node/directory_service.h"

#include <chrono>
#include <map>
#include <random>
#include <set>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "kernel/log.h"
#include "kernel/overloaded.h"
#include "model/publisher_messages.h"
#include "model/quarantine_messages.h"
#include "model/raft_messages.h"
#include "model/service_names.h"
#include "model/traffic_messages.h"
#include "node/directory_core.h"
#include "wire/codec.h"
#include "wire/datagram_socket.h"
#include "wire/endpoint.h"
#include "wire/mesh_messages.h"

namespace heatherdeck {

namespace {

constexpr std::size_t inbox_capacity = 1'024;
// Combines a burst of changes, such as the restart of a zone, into a few posted lists.
constexpr duration min_view_interval = milliseconds(50);

std::uint64_t wall_clock_milliseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

directory_options make_options(const settings& s) {
  directory_options options;
  options.self.node_id = s.id;
  options.self.availability_zone = s.availability_zone;
  options.self.region = s.region;
  options.self.mesh_address = s.mesh_address();
  options.self.role = s.is_node ? process_role::node : process_role::control;
  // The wall clock orders the starts of one process. After a clock step backwards other members still know a higher
  // incarnation; the core then raises its own above it.
  options.self.incarnation = wall_clock_milliseconds();
  options.seeds = seed_addresses(s);
  options.random_seed = s.seed != 0 ? s.seed ^ directory_table::id_hash(s.id) : std::random_device{}();
  return options;
}

}  // namespace

class directory_task : public std::enable_shared_from_this<directory_task> {
 public:
  directory_task(kernel& k, const settings& s, std::unique_ptr<datagram_socket> socket)
      : kernel_(k), socket_(std::move(socket)), core_(make_options(s)) {}

  result<void> start(std::shared_ptr<mailbox<directory_message>> inbox) {
    if (kernel_.has(to_name(service_name::traffic))) {
      BOOST_LEAF_ASSIGN(traffic_, kernel_.find<traffic_message>(to_name(service_name::traffic)));
    }
    if (kernel_.has(to_name(service_name::consensus))) {
      BOOST_LEAF_ASSIGN(consensus_, kernel_.find<consensus_message>(to_name(service_name::consensus)));
    }
    if (kernel_.has(to_name(service_name::subscriber))) {
      BOOST_LEAF_ASSIGN(subscriber_, kernel_.find<subscriber_message>(to_name(service_name::subscriber)));
    }
    if (kernel_.has(to_name(service_name::quarantine))) {
      BOOST_LEAF_ASSIGN(quarantine_, kernel_.find<quarantine_message>(to_name(service_name::quarantine)));
    }
    if (kernel_.has(to_name(service_name::announcements))) {
      BOOST_LEAF_ASSIGN(announcements_, kernel_.find<announcement_notice>(to_name(service_name::announcements)));
    }
    if (kernel_.has(to_name(service_name::mesh))) {
      BOOST_LEAF_ASSIGN(mesh_, kernel_.find<mesh_message>(to_name(service_name::mesh)));
    }
    const auto self = shared_from_this();
    boost::asio::co_spawn(
        kernel_.executor(), [self, inbox] { return self->process_messages(inbox); }, boost::asio::detached);
    boost::asio::co_spawn(
        kernel_.executor(), [self] { return self->receive_datagrams(); }, boost::asio::detached);
    tick_ = kernel_.timers().every(directory_period, [to = inbox->address()] { to.post(directory_tick{}); });
    apply_output(core_.start(timer_service::now()));
    return {};
  }

  void leave() { apply_output(core_.leave(timer_service::now())); }

  void stop() {
    tick_.cancel();
    view_timer_.cancel();
    socket_->close();
  }

  boost::json::value dump() const {
    boost::json::array members;
    for (const auto& [id, record] : core_.table().members()) {
      members.push_back({{"node_id", id},
                         {"availability_zone", record->availability_zone},
                         {"mesh_address", record->mesh_address},
                         {"role", to_name(record->role)},
                         {"state", to_name(record->state)},
                         {"draining", record->draining},
                         {"incarnation", record->incarnation},
                         {"sequence", record->sequence},
                         {"endpoints", record->endpoints.size()}});
    }
    const auto& counts = socket_->counts();
    return boost::json::object{{"members", std::move(members)},
                               {"removed", core_.table().removed().size()},
                               {"recent_records", core_.recent_record_count()},
                               {"datagrams_sent", counts.sent},
                               {"datagram_bytes_sent", counts.sent_bytes},
                               {"datagrams_received", counts.received},
                               {"datagrams_refused", counts.refused},
                               {"datagrams_dropped", counts.dropped},
                               {"messages_malformed", malformed_count_}};
  }

 private:
  awaitable<void> process_messages(std::shared_ptr<mailbox<directory_message>> inbox) {
    const auto self = shared_from_this();
    while (true) {
      auto message = co_await inbox->receive();
      if (!message) co_return;
      const time_point now = timer_service::now();
      std::visit(
          overloaded_handlers{[&](directory_tick&) { apply_output(core_.tick(now)); },
                              [&](local_endpoint_changed& m) { apply_output(core_.set_endpoint(now, m.endpoint)); },
                              [&](keep_departure& m) { keep(std::move(m)); },
                              [&](announce_draining&) { apply_output(core_.set_draining(now)); },
                              [&](set_seeds& m) { core_.set_seeds(std::move(m.addresses)); },
                              [&](get_members& m) { m.answer(core_.view()); },
                              [&](send_quarantine_update& m) { send(std::move(m)); }},
          *message);
    }
  }

  awaitable<void> receive_datagrams() {
    const auto self = shared_from_this();
    while (true) {
      auto received = co_await socket_->receive();
      if (!received) co_return;
      auto message = capture([&] { return decode<gossip_message>(received->payload); });
      if (!message) {
        ++malformed_count_;
        log_error("gossip_refused", message.failure(), {{"from", received->from}});
        continue;
      }
      if (message->kind == gossip_kind::quarantine) {
        // An update that is dropped comes again with the next one that holds everything.
        if (quarantine_) quarantine_.post(quarantine_update_received{std::move(message->quarantine)});
        continue;
      }
      apply_output(core_.receive(timer_service::now(), received->from, *message));
    }
  }

  void send(send_quarantine_update outgoing) {
    gossip_message message;
    message.kind = gossip_kind::quarantine;
    message.from = core_.node_id();
    message.quarantine = std::move(outgoing.update);
    socket_->send(outgoing.to, encode(message));
  }

  void keep(keep_departure asked) {
    const std::uint64_t request = ++last_departure_request_;
    pending_departures_[request] = std::move(asked);
    apply_output(core_.keep_departure(timer_service::now(), pending_departures_[request].departure, request));
  }

  void answer(const departure_table::decided_request& decided) {
    const auto asked = pending_departures_.find(decided.request);
    if (asked == pending_departures_.end()) return;
    const target_departure& departure = asked->second.departure;
    log_event(decided.kept ? log_level::info : log_level::warning,
              decided.kept ? "departure_kept" : "departure_not_kept",
              {{"target", departure.target}, {"born", departure.last.start_time_ms}, {"copies", decided.copies}});
    if (decided.kept) {
      asked->second.answer(decided.copies);
    } else {
      asked->second.answer(error{error_kind::unavailable,
                                 "too few other hosts have confirmed that the target is leaving",
                                 "send the request again",
                                 {}});
    }
    pending_departures_.erase(asked);
  }

  // Departures that "announcements" cannot take because its mailbox is full are posted again at the next change or
  // tick.
  void post_adopted(const std::vector<target_departure>& adopted) {
    for (const target_departure& departure : adopted) {
      log_event(log_level::info, "departure_adopted",
                {{"target", departure.target}, {"born", departure.last.start_time_ms}});
      unposted_departures_.push_back(departure);
    }
    if (unposted_departures_.empty()) return;
    if (!announcements_ || announcements_.post(departures_adopted{unposted_departures_})) unposted_departures_.clear();
  }

  void apply_output(const directory_output& out) {
    for (const outgoing_gossip& item : out.datagrams) socket_->send(item.to, encode(item.message));
    for (const departure_table::decided_request& decided : out.decided_departures) answer(decided);
    post_adopted(out.adopted_departures);
    if (!out.view_changed || view_pending_) return;
    const duration since = timer_service::now() - last_view_at_;
    if (since >= min_view_interval) return post_view();
    view_pending_ = true;
    view_timer_ = kernel_.timers().after(min_view_interval - since, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->post_view();
    });
  }

  void post_view() {
    view_pending_ = false;
    last_view_at_ = timer_service::now();
    const member_list_ptr view = core_.view();
    // If a mailbox is full, the list is posted again later, so that no service keeps an outdated one.
    const bool posted_to_traffic = !traffic_ || traffic_.post(directory_changed{view});
    const bool posted_to_consensus = !consensus_ || consensus_.post(directory_changed{view});
    const bool posted_to_quarantine = !quarantine_ || quarantine_.post(directory_changed{view});
    const bool posted_to_subscriber = !subscriber_ || subscriber_.post(directory_changed{view});
    if (!posted_to_traffic || !posted_to_consensus || !posted_to_subscriber || !posted_to_quarantine) {
      view_pending_ = true;
      view_timer_ = kernel_.timers().after(min_view_interval, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) self->post_view();
      });
    }
    std::set<std::string> addresses;
    for (const member_record& member : *view) addresses.insert(member.mesh_address);
    for (const std::string& known : known_addresses_) {
      if (mesh_ && !addresses.contains(known)) mesh_.post(close_connections{known});
    }
    known_addresses_ = std::move(addresses);
  }

  kernel& kernel_;
  std::unique_ptr<datagram_socket> socket_;
  directory_core core_;
  address<traffic_message> traffic_;
  address<consensus_message> consensus_;
  address<subscriber_message> subscriber_;
  address<quarantine_message> quarantine_;
  address<mesh_message> mesh_;
  address<announcement_notice> announcements_;
  std::map<std::uint64_t, keep_departure> pending_departures_;  ///< by the number that the core got
  std::uint64_t last_departure_request_ = 0;
  std::vector<target_departure> unposted_departures_;
  subscription tick_;
  subscription view_timer_;
  time_point last_view_at_{};
  bool view_pending_ = false;
  std::set<std::string> known_addresses_;
  std::uint64_t malformed_count_ = 0;
};

directory_service::directory_service(const settings& s) : settings_(s) {}

directory_service::~directory_service() = default;

result<std::unique_ptr<directory_service>> directory_service::make(const settings& s) {
  BOOST_LEAF_AUTO(endpoint, parse_endpoint(s.mesh_listen));
  if (endpoint.ip.is_unspecified()) {
    return fail(error_kind::bad_settings, "mesh_listen is an unspecified address, which other hosts cannot reach",
                "set it to an address of this host; the directory announces it to all members", "mesh_listen");
  }
  if (s.mesh_key.empty()) {
    return fail(error_kind::bad_settings, "mesh_key is empty", "set the same secret in all processes of the mesh",
                "mesh_key");
  }
  return std::unique_ptr<directory_service>(new directory_service(s));
}

std::string_view directory_service::name() const { return to_name(service_name::directory); }

void directory_service::publish(kernel& k) {
  inbox_ = std::make_shared<mailbox<directory_message>>(k.executor(), inbox_capacity);
  k.publish(name(), inbox_->address());
}

result<void> directory_service::start(kernel& k) {
  BOOST_LEAF_AUTO(socket, datagram_socket::make(k.executor(), settings_.mesh_listen, settings_.mesh_key));
  task_ = std::make_shared<directory_task>(k, settings_, std::move(socket));
  return task_->start(inbox_);
}

awaitable<void> directory_service::drain() {
  task_->leave();
  co_return;
}

void directory_service::stop() {
  inbox_->close();
  task_->stop();
}

boost::json::value directory_service::dump() const { return task_ ? task_->dump() : boost::json::object{}; }

}  // namespace heatherdeck
