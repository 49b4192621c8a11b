// Opens the listener, looks up the service that handles each stream kind and starts the task (mesh_task.h).
// Invariant: these look-ups are complete before the first connection is accepted.
#include "wire/mesh_service.h"

#include <boost/json/object.hpp>

#include "model/service_names.h"
#include "wire/endpoint.h"
#include "wire/mesh_task.h"

namespace heatherdeck {

namespace {

using boost::asio::ip::tcp;

constexpr std::size_t inbox_capacity = 4'096;

struct kind_owner {
  stream_kind kind;
  service_name owner;
};

constexpr kind_owner kind_owners[] = {
    {stream_kind::call, service_name::proxy},     {stream_kind::subscribe, service_name::publisher},
    {stream_kind::raft, service_name::consensus}, {stream_kind::evidence, service_name::rollout},
    {stream_kind::loan, service_name::permits},
};

std::shared_ptr<const stream_inboxes> make_stream_inboxes(const kernel& k) {
  auto table = std::make_shared<stream_inboxes>();
  for (const kind_owner& row : kind_owners) {
    const std::string_view owner = to_name(row.owner);
    if (!k.has(owner)) continue;
    // A service that accepts no streams publishes no address<incoming_stream>; streams of its kind are refused as not
    // processed.
    auto found = capture([&] { return k.find<incoming_stream>(owner); });
    if (found) (*table)[static_cast<std::size_t>(row.kind)] = std::move(*found);
  }
  return table;
}

result<tcp::acceptor> listen(kernel& k, const std::string& where) {
  BOOST_LEAF_AUTO(parts, parse_endpoint(where));
  tcp::acceptor acceptor(k.executor());
  const tcp::endpoint local(parts.ip, parts.port);
  boost::system::error_code ec;
  acceptor.open(local.protocol(), ec);
  if (!ec) acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec) acceptor.bind(local, ec);
  if (!ec) acceptor.listen(boost::asio::socket_base::max_listen_connections, ec);
  if (ec) {
    return fail(error_kind::unreachable, "cannot listen for mesh connections: " + ec.message(),
                "set mesh_listen to a free address of this host", "mesh_listen " + where);
  }
  return acceptor;
}

}  // namespace

mesh_service::mesh_service(const settings& s) : settings_(s) {}

mesh_service::~mesh_service() = default;

result<std::unique_ptr<mesh_service>> mesh_service::make(const settings& s) {
  BOOST_LEAF_CHECK(parse_endpoint(s.mesh_listen));
  if (s.mesh_key.empty()) {
    return fail(error_kind::bad_settings, "mesh_key is empty", "set the same secret in all processes of the mesh",
                "mesh_key");
  }
  return std::unique_ptr<mesh_service>(new mesh_service(s));
}

std::string_view mesh_service::name() const { return to_name(service_name::mesh); }

void mesh_service::publish(kernel& k) {
  inbox_ = std::make_shared<mailbox<mesh_message>>(k.executor(), inbox_capacity);
  k.publish(name(), inbox_->address());
}

result<void> mesh_service::start(kernel& k) {
  BOOST_LEAF_AUTO(acceptor, listen(k, settings_.mesh_listen));
  task_ = std::make_shared<mesh_task>(k, settings_, make_stream_inboxes(k), std::move(acceptor));
  task_->start(inbox_);
  return {};
}

awaitable<void> mesh_service::drain() {
  const auto task = task_;
  co_await task->drain();
}

void mesh_service::stop() {
  inbox_->close();
  task_->stop();
}

boost::json::value mesh_service::dump() const { return task_ ? task_->dump() : boost::json::object{}; }

std::uint16_t mesh_service::port() const { return task_ ? task_->port() : 0; }

awaitable<outcome<std::shared_ptr<h2_stream>>> open_mesh_stream(timer_service& timers, executor_type executor,
                                                                address<mesh_message> mesh, std::string mesh_address,
                                                                stream_kind kind, header_list headers, bool end_stream,
                                                                duration timeout) {
  auto make = [&](reply<std::shared_ptr<h2_stream>> r) {
    return mesh_message(open_stream{std::move(mesh_address), kind, std::move(headers), end_stream, std::move(r)});
  };
  co_return co_await ask<std::shared_ptr<h2_stream>>(timers, std::move(executor), std::move(mesh), timeout, make);
}

}  // namespace heatherdeck
