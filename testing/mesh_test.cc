// Tests of the mesh service: authentication with the mesh key, dispatch of streams, draining and unreachable peers.
#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "model/service_names.h"
#include "wire/h2_connection.h"
#include "wire/mesh_handshake.h"
#include "wire/mesh_service.h"
#include "wire/wake_signal.h"

namespace heatherdeck {
namespace {

using boost::asio::ip::tcp;
using namespace std::chrono_literals;

// Fake service that receives incoming streams in a mailbox of two.
class stream_receiver : public service {
 public:
  explicit stream_receiver(std::string_view name) : name_(name) {}
  std::string_view name() const override { return name_; }
  void publish(kernel& k) override {
    inbox = std::make_unique<mailbox<incoming_stream>>(k.executor(), 2);
    k.publish(name_, inbox->address());
  }
  result<void> start(kernel&) override { return {}; }
  void stop() override {}
  boost::json::value dump() const override { return nullptr; }

  std::unique_ptr<mailbox<incoming_stream>> inbox;

 private:
  std::string_view name_;
};

// One process of the mesh with its own kernel; `run` runs the kernels of several processes alternately.
struct process {
  kernel k;
  stream_receiver* proxy = nullptr;
  mesh_service* mesh = nullptr;
  address<mesh_message> mesh_address;

  explicit process(const std::string& id, const std::string& key = "secret") {
    settings s;
    s.id = id;
    s.mesh_key = key;
    s.mesh_listen = "127.0.0.1:0";
    auto made = capture([&] { return mesh_service::make(s); });
    EXPECT_TRUE(made);
    mesh = made->get();
    auto receiver = std::make_unique<stream_receiver>(to_name(service_name::proxy));
    proxy = receiver.get();
    EXPECT_TRUE(k.add(std::move(*made)));
    EXPECT_TRUE(k.add(std::move(receiver)));
    EXPECT_TRUE(capture([&] { return k.start(); }));
    mesh_address = *capture([&] { return k.find<mesh_message>("mesh"); });
  }
  std::string address_text() const { return "127.0.0.1:" + std::to_string(mesh->port()); }
};

void run(std::vector<process*> processes, std::function<awaitable<void>()> body) {
  bool finished = false;
  boost::asio::co_spawn(processes.front()->k.io(), std::move(body), [&](std::exception_ptr failure) {
    if (failure) std::rethrow_exception(failure);
    finished = true;
  });
  const time_point limit = timer_service::now() + 20s;
  while (!finished && timer_service::now() < limit) {
    for (process* p : processes) p->k.io().run_one_for(1ms);
  }
  EXPECT_TRUE(finished);
}

awaitable<outcome<std::shared_ptr<h2_stream>>> open_call(process& from, std::string to, stream_kind kind) {
  return open_mesh_stream(from.k.timers(), from.k.executor(), from.mesh_address, std::move(to), kind,
                          {{"hd-request-id", "7"}}, true);
}

TEST(mesh, delivers_streams_to_the_service_of_their_kind) {
  process a("a");
  process b("b");
  run({&a, &b}, [&]() -> awaitable<void> {
    for (int i = 0; i < 3; ++i) {
      auto stream = co_await open_call(a, b.address_text(), stream_kind::call);
      EXPECT_TRUE(stream) << stream.failure().message();
      if (!stream) co_return;
      auto arrived = co_await b.proxy->inbox->receive();
      EXPECT_EQ(arrived->peer_id, "a");
      EXPECT_EQ(arrived->headers.back(), (std::pair<std::string, std::string>("hd-request-id", "7")));
      const header_list headers = {{":status", "204"}};
      (void)co_await arrived->stream->send_headers(headers, true);
      auto answer = co_await (*stream)->read_headers();
      EXPECT_TRUE(answer);
    }
  });
  EXPECT_EQ(a.k.dump().at("services").at("mesh").at("outgoing_connections").to_number<int>(), 1);
}

// A stream that no service accepts, or whose service has a full mailbox, must be known not to be processed.
TEST(mesh, refuses_streams_without_a_receiver_as_not_processed) {
  process a("a");
  process b("b");
  run({&a, &b}, [&]() -> awaitable<void> {
    auto raft = co_await open_call(a, b.address_text(), stream_kind::raft);
    auto answer = co_await (*raft)->read_headers();
    EXPECT_EQ(answer.failure().kind, error_kind::not_processed);
    std::vector<std::shared_ptr<h2_stream>> calls;
    for (int i = 0; i < 3; ++i) {
      auto opened = co_await open_call(a, b.address_text(), stream_kind::call);
      calls.push_back(*opened);
    }
    auto third = co_await calls.back()->read_headers();  // the mailbox of two is full
    EXPECT_EQ(third.failure().kind, error_kind::not_processed);
  });
}

// A call whose opener has given up while the connection was made may be repeated elsewhere, so it must never be sent.
TEST(mesh, stream_that_is_opened_after_its_requester_has_given_up_is_never_sent) {
  process a("a");
  tcp::acceptor slow(a.k.executor(), {boost::asio::ip::address_v4::loopback(), 0});
  const std::string to = "127.0.0.1:" + std::to_string(slow.local_endpoint().port());
  std::vector<std::string> arrived;
  h2_connection connection;
  wake_signal handled(a.k.executor());
  run({&a}, [&]() -> awaitable<void> {
    const auto open = [&](const char* id, duration timeout) {
      return open_mesh_stream(a.k.timers(), a.k.executor(), a.mesh_address, to, stream_kind::call,
                              {{"hd-request-id", id}}, true, timeout);
    };
    const auto given_up = co_await open("late", 50ms);
    EXPECT_EQ(given_up.failure().kind, error_kind::timeout);
    tcp::socket accepted(a.k.executor());
    co_await slow.async_accept(accepted, boost::asio::use_awaitable);
    const auto peer = co_await handshake_as_server(accepted, a.k.timers(), "secret", "b");
    EXPECT_TRUE(peer);
    h2_connection_options options;
    options.side = h2_side::server;
    options.on_request = [&](const std::shared_ptr<h2_stream_state>&, const header_list& headers) {
      arrived.push_back(headers.back().second);
      handled.set();
    };
    connection = h2_connection::start(std::move(accepted), a.k.timers(), std::move(options));
    const auto opened = co_await open("next", 5s);
    EXPECT_TRUE(opened);
    co_await handled.wait();
    connection.close();
  });
  EXPECT_EQ(arrived, std::vector<std::string>{"next"});
}

// A call that finds too many others waiting for the connection is repeated elsewhere.
TEST(mesh, overloaded_means_that_nothing_was_sent) {
  process a("a");
  tcp::acceptor slow(a.k.executor(), {boost::asio::ip::address_v4::loopback(), 0});
  const std::string to = "127.0.0.1:" + std::to_string(slow.local_endpoint().port());
  constexpr std::size_t waiting_limit = 1'024;
  std::vector<std::string> arrived;
  std::vector<error> failures;
  std::size_t opened = 0;
  wake_signal changed(a.k.executor());
  h2_connection connection;
  run({&a}, [&]() -> awaitable<void> {
    for (std::size_t i = 0; i <= waiting_limit; ++i) {
      const auto open_one = [&, i]() -> awaitable<void> {
        const header_list headers = {{"hd-request-id", std::to_string(i)}};
        auto stream = co_await open_mesh_stream(a.k.timers(), a.k.executor(), a.mesh_address, to, stream_kind::call,
                                                headers, true, 5s);
        changed.set();
        if (!stream) {
          failures.push_back(stream.failure());
          co_return;
        }
        ++opened;
        (void)co_await (*stream)->read_headers();
      };
      boost::asio::co_spawn(a.k.io(), open_one, boost::asio::detached);
    }
    tcp::socket accepted(a.k.executor());
    co_await slow.async_accept(accepted, boost::asio::use_awaitable);
    while (failures.empty()) co_await changed.wait();
    EXPECT_TRUE(co_await handshake_as_server(accepted, a.k.timers(), "secret", "b"));
    h2_connection_options options;
    options.side = h2_side::server;
    options.on_request = [&](const std::shared_ptr<h2_stream_state>&, const header_list& headers) {
      arrived.push_back(headers.back().second);
      changed.set();
    };
    connection = h2_connection::start(std::move(accepted), a.k.timers(), std::move(options));
    while (opened < waiting_limit || arrived.size() < max_h2_streams) co_await changed.wait();
    connection.close();
  });
  EXPECT_EQ(failures.size(), 1U);
  EXPECT_EQ(failures.front().kind, error_kind::overloaded);
  EXPECT_EQ(std::count(arrived.begin(), arrived.end(), std::to_string(waiting_limit)), 0);
}

TEST(mesh, unreachable_address_means_that_nothing_was_sent) {
  process a("a");
  run({&a}, [&]() -> awaitable<void> {
    auto stream = co_await open_call(a, "127.0.0.1:1", stream_kind::call);
    EXPECT_EQ(stream.failure().kind, error_kind::unreachable);
  });
}

// Guards against streams that are opened on a connection whose peer doesn't respond, as long as another stream keeps it
// open.
TEST(mesh, stream_after_close_connections_uses_a_new_connection) {
  process a("a");
  process b("b");
  run({&a, &b}, [&]() -> awaitable<void> {
    auto first = co_await open_call(a, b.address_text(), stream_kind::call);
    EXPECT_TRUE(first);
    auto first_arrived = co_await b.proxy->inbox->receive();
    a.mesh_address.post(close_connections{b.address_text()});
    auto second = co_await open_call(a, b.address_text(), stream_kind::call);
    EXPECT_TRUE(second);
    auto second_arrived = co_await b.proxy->inbox->receive();
    EXPECT_EQ(b.mesh->dump().at("incoming_connections").as_uint64(), 2U);
  });
}

// Guards against connection attempts that hang until TCP retransmits a dropped SYN after 1 s: after a power failure,
// SYNs to hosts that were not up yet were dropped, and an elected leader did not reach its followers.
TEST(mesh, dropped_syn_does_not_delay_an_attempt) {
  process a("a");
  // A listener whose backlog is full drops further SYN packets.
  tcp::acceptor full(a.k.executor(), tcp::v4());
  full.bind({boost::asio::ip::address_v4::loopback(), 0});
  full.listen(0);
  const tcp::endpoint at(boost::asio::ip::address_v4::loopback(), full.local_endpoint().port());
  std::vector<tcp::socket> fillers;
  for (int i = 0; i < 4; ++i) {
    fillers.emplace_back(a.k.executor(), tcp::v4());
    fillers.back().async_connect(at, boost::asio::detached);
  }
  run({&a}, [&]() -> awaitable<void> {
    const time_point begun = timer_service::now();
    auto stream = co_await open_call(a, "127.0.0.1:" + std::to_string(at.port()), stream_kind::call);
    EXPECT_EQ(stream.failure().kind, error_kind::unreachable);
    // Before the TCP retransmission after 1 s.
    EXPECT_LT(timer_service::now() - begun, 900ms);
  });
}

TEST(mesh, wrong_key_is_refused_on_both_sides) {
  process a("a", "secret");
  process b("b", "other");
  run({&a, &b}, [&]() -> awaitable<void> {
    auto stream = co_await open_call(a, b.address_text(), stream_kind::call);
    EXPECT_FALSE(stream);
    EXPECT_EQ(stream.failure().kind, error_kind::unauthorised);
  });
  EXPECT_EQ(b.proxy->inbox->depth(), 0U);
}

// Draining must let the call in flight finish, and later calls must be known not to be processed.
TEST(mesh, drain_finishes_calls_and_refuses_new_ones) {
  process a("a");
  process b("b");
  run({&a, &b}, [&]() -> awaitable<void> {
    auto stream = co_await open_call(a, b.address_text(), stream_kind::call);
    auto arrived = co_await b.proxy->inbox->receive();
    bool drained = false;
    boost::asio::co_spawn(
        b.k.io(),
        [&]() -> awaitable<void> {
          co_await b.mesh->drain();
          drained = true;
        },
        boost::asio::detached);
    error_kind late_kind = error_kind::internal;
    while (late_kind == error_kind::internal) {  // until the GOAWAY was sent
      auto late = co_await open_call(a, b.address_text(), stream_kind::call);
      if (!late) {
        late_kind = late.failure().kind;
        break;
      }
      auto answer = co_await (*late)->read_headers();
      if (!answer) late_kind = answer.failure().kind;
    }
    EXPECT_TRUE(late_kind == error_kind::not_processed || late_kind == error_kind::unreachable);
    EXPECT_FALSE(drained);
    const header_list headers = {{":status", "200"}};
    (void)co_await arrived->stream->send_headers(headers, true);
    auto answer = co_await (*stream)->read_headers();
    EXPECT_TRUE(answer);
    wake_signal pause(a.k.executor());
    while (!drained) {
      const subscription soon = a.k.timers().after(1ms, [&] { pause.set(); });
      co_await pause.wait();
    }
  });
}

// Two connected sockets in one event loop.
struct handshake_pair {
  kernel k;
  tcp::socket client{k.executor()};
  tcp::socket server{k.executor()};
  handshake_pair() {
    tcp::acceptor acceptor(k.executor(), tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    client.connect(acceptor.local_endpoint());
    server = acceptor.accept();
  }
};

outcome<std::string> serve_handshake(handshake_pair& pair) {
  outcome<std::string> peer;
  boost::asio::co_spawn(
      pair.k.io(),
      [&]() -> awaitable<void> { peer = co_await handshake_as_server(pair.server, pair.k.timers(), "secret", "b"); },
      boost::asio::detached);
  pair.k.io().run_for(5s);
  return peer;
}

std::string read_framed(tcp::socket& socket) {
  unsigned char prefix[2] = {};
  boost::asio::read(socket, boost::asio::buffer(prefix));
  std::string bytes(static_cast<std::size_t>(prefix[0]) * 256 + prefix[1], '\0');
  boost::asio::read(socket, boost::asio::buffer(bytes));
  return std::string(reinterpret_cast<const char*>(prefix), 2) + bytes;
}

/// Runs the event loop until the socket has something to read.
void run_until_readable(kernel& k, tcp::socket& socket) {
  while (socket.available() == 0) k.io().run_one();
}

// Runs a client against a server through a relay, and returns what the client sent: its first message and its proof.
std::string record_client_handshake() {
  handshake_pair to_client;
  handshake_pair to_server;
  outcome<std::string> client_result;
  boost::asio::co_spawn(
      to_client.k.io(),
      [&]() -> awaitable<void> {
        client_result = co_await handshake_as_client(to_client.client, to_client.k.timers(), "secret", "a");
      },
      boost::asio::detached);
  run_until_readable(to_client.k, to_client.server);
  std::string recorded = read_framed(to_client.server);
  boost::asio::write(to_server.client, boost::asio::buffer(recorded));
  outcome<std::string> server_result;
  boost::asio::co_spawn(
      to_server.k.io(),
      [&]() -> awaitable<void> {
        server_result = co_await handshake_as_server(to_server.server, to_server.k.timers(), "secret", "b");
      },
      boost::asio::detached);
  run_until_readable(to_server.k, to_server.client);
  boost::asio::write(to_client.server, boost::asio::buffer(read_framed(to_server.client)));
  run_until_readable(to_client.k, to_client.server);
  const std::string proof = read_framed(to_client.server);
  boost::asio::write(to_server.client, boost::asio::buffer(proof));
  to_server.k.io().run_for(5s);
  to_client.k.io().run_for(5s);  // both return as soon as their tasks end
  EXPECT_TRUE(client_result);
  EXPECT_TRUE(server_result);
  return recorded + proof;
}

// A recorded handshake must not be accepted on a new connection: the nonce of the server differs.
TEST(handshake, replayed_messages_are_refused) {
  const std::string recorded = record_client_handshake();
  handshake_pair replay;
  boost::asio::write(replay.client, boost::asio::buffer(recorded));
  const outcome<std::string> peer = serve_handshake(replay);
  ASSERT_FALSE(peer);
  EXPECT_EQ(peer.failure().kind, error_kind::unauthorised);
}

// A peer that implements the protocol but lacks the mesh key must be rejected.
TEST(handshake, false_proofs_are_refused) {
  for (const std::size_t proof_size : {0UL, 32UL, 100UL}) {
    handshake_pair pair;
    const std::string hello = "\x08\x01\x12\x20" + std::string(32, 'n') + "\x1a\x01" + "a";
    const std::string field = "\x22" + std::string(1, static_cast<char>(proof_size)) + std::string(proof_size, 'p');
    for (const std::string& message : {hello, proof_size == 0 ? std::string() : field}) {
      const std::string framed = std::string(1, '\0') + static_cast<char>(message.size()) + message;
      boost::asio::write(pair.client, boost::asio::buffer(framed));
    }
    const outcome<std::string> peer = serve_handshake(pair);
    ASSERT_FALSE(peer);
    EXPECT_EQ(peer.failure().kind, error_kind::unauthorised);
  }
}

TEST(handshake, silent_peers_and_oversized_messages_are_rejected) {
  handshake_pair silent;
  outcome<std::string> peer = std::string();
  const time_point begun = timer_service::now();
  boost::asio::co_spawn(
      silent.k.io(),
      [&]() -> awaitable<void> { peer = co_await handshake_as_server(silent.server, silent.k.timers(), "s", "b"); },
      boost::asio::detached);
  silent.k.io().run_for(10s);
  EXPECT_EQ(peer.failure().kind, error_kind::timeout);
  EXPECT_LT(timer_service::now() - begun, handshake_limit + 1s);

  handshake_pair large;
  boost::asio::write(large.client, boost::asio::buffer(std::string("\xff\xff")));
  boost::asio::co_spawn(
      large.k.io(),
      [&]() -> awaitable<void> { peer = co_await handshake_as_server(large.server, large.k.timers(), "s", "b"); },
      boost::asio::detached);
  large.k.io().run_for(10s);
  EXPECT_EQ(peer.failure().kind, error_kind::bad_message);
}

}  // namespace
}  // namespace heatherdeck
