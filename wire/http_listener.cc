// One accept task and one task per connection. The tasks share the listener's state, which holds the sockets, only so
// that `stop` can close them. Invariant: at most max_connections tasks exist, so memory is
// bounded by max_connections * (max_header_bytes + max_body_bytes). Cost: one task and one parser per connection.
#include "wire/http_listener.h"

#include <algorithm>
#include <list>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "wire/endpoint.h"
#include "wire/wake_signal.h"

namespace heatherdeck {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr std::size_t max_header_bytes = 16UL * 1024;
constexpr std::uint64_t max_body_bytes = 8ULL * 1024 * 1024;
constexpr std::size_t max_connections = 256;
constexpr auto idle_limit = std::chrono::seconds(60);

int hex_digit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

std::string percent_decoded(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size() && hex_digit(text[i + 1]) >= 0 && hex_digit(text[i + 2]) >= 0) {
      decoded += static_cast<char>(hex_digit(text[i + 1]) * 16 + hex_digit(text[i + 2]));
      i += 2;
    } else {
      decoded += text[i] == '+' ? ' ' : text[i];
    }
  }
  return decoded;
}

void split_target(std::string_view target, http_request& request) {
  const std::size_t mark = target.find('?');
  request.path = std::string(target.substr(0, mark));
  if (mark == std::string_view::npos) return;
  std::string_view rest = target.substr(mark + 1);
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('&'), rest.size());
    const std::string_view pair = rest.substr(0, end);
    const std::size_t equals = std::min(pair.find('='), pair.size());
    request.query[percent_decoded(pair.substr(0, equals))] =
        percent_decoded(equals < pair.size() ? pair.substr(equals + 1) : std::string_view());
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
}

http_request to_request(http::request<http::string_body>&& parsed) {
  http_request request;
  request.method = std::string(parsed.method_string());
  split_target({parsed.target().data(), parsed.target().size()}, request);
  for (const auto& field : parsed) {
    std::string name(field.name_string());
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
    request.headers[name] = std::string(field.value());
  }
  request.body = std::move(parsed.body());
  return request;
}

}  // namespace

struct http_listener::state : std::enable_shared_from_this<http_listener::state> {
  state(asio::io_context& io, http_handler serve)
      : acceptor(io), handler(std::move(serve)), request_ended(io.get_executor()) {}

  awaitable<void> accept_loop() {
    const auto self = shared_from_this();
    while (!stopped) {
      auto [ec, socket] = co_await acceptor.async_accept(use_tuple);
      if (ec == asio::error::operation_aborted || stopped) co_return;
      if (ec || connections.size() >= max_connections) continue;
      connections.emplace_back(std::move(socket));
      const auto connection = std::prev(connections.end());
      asio::co_spawn(acceptor.get_executor(), self->serve(connection), asio::detached);
    }
  }

  awaitable<void> serve(std::list<beast::tcp_stream>::iterator connection) {
    const auto self = shared_from_this();
    beast::tcp_stream& stream = *connection;
    beast::flat_buffer buffer;
    bool keep = true;
    while (keep && !stopped) {
      http::request_parser<http::string_body> parser;
      parser.header_limit(max_header_bytes);
      parser.body_limit(max_body_bytes);
      stream.expires_after(idle_limit);
      auto [read_error, read_size] = co_await http::async_read(stream, buffer, parser, use_tuple);
      if (read_error) break;
      ++requests;
      const bool keep_alive = parser.get().keep_alive() && !draining;
      const unsigned http_version = parser.get().version();
      // A handler may wait for a change (long polling), so the idle limit does not apply to it.
      stream.expires_never();
      http_request request = to_request(parser.release());
      http_response handled = co_await handler(std::move(request));
      http::response<http::string_body> response(static_cast<http::status>(handled.status), http_version);
      response.set(http::field::content_type, handled.content_type);
      for (const auto& [name, value] : handled.headers) response.set(name, value);
      response.keep_alive(keep_alive);
      response.body() = std::move(handled.body);
      response.prepare_payload();
      stream.expires_after(idle_limit);
      auto [write_error, written] = co_await http::async_write(stream, response, use_tuple);
      keep = !write_error && keep_alive;
      --requests;
      request_ended.set();
    }
    beast::error_code ignored;
    stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    connections.erase(connection);
  }

  awaitable<void> drain() {
    const auto self = shared_from_this();
    draining = true;
    boost::system::error_code ignored;
    acceptor.close(ignored);
    while (requests != 0 && !stopped) {
      if (!co_await request_ended.wait()) co_return;
    }
  }

  void stop() {
    stopped = true;
    request_ended.close();
    boost::system::error_code ignored;
    acceptor.close(ignored);
    for (beast::tcp_stream& stream : connections) stream.socket().close(ignored);
  }

  tcp::acceptor acceptor;
  http_handler handler;
  std::list<beast::tcp_stream> connections;
  wake_signal request_ended;
  std::size_t requests = 0;  ///< that have been read and whose responses have not been written
  bool draining = false;
  bool stopped = false;
};

result<std::unique_ptr<http_listener>> http_listener::make(kernel& k, const std::string& listen, http_handler handler) {
  BOOST_LEAF_AUTO(parts, parse_endpoint(listen));
  auto s = std::make_shared<state>(k.io(), std::move(handler));
  const tcp::endpoint local(parts.ip, parts.port);
  boost::system::error_code ec;
  s->acceptor.open(local.protocol(), ec);
  if (!ec) s->acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec) s->acceptor.bind(local, ec);
  if (!ec) s->acceptor.listen(asio::socket_base::max_listen_connections, ec);
  if (ec) {
    return fail(error_kind::bad_settings, "cannot listen on " + listen + ": " + ec.message(),
                "choose an address of this host and a free port", listen);
  }
  asio::co_spawn(k.io(), s->accept_loop(), asio::detached);
  return std::unique_ptr<http_listener>(new http_listener(std::move(s)));
}

http_listener::http_listener(std::shared_ptr<state> s) : state_(std::move(s)) {}

http_listener::~http_listener() { stop(); }

std::uint16_t http_listener::port() const {
  boost::system::error_code ec;
  const tcp::endpoint local = state_->acceptor.local_endpoint(ec);
  return ec ? std::uint16_t{0} : local.port();
}

awaitable<void> http_listener::drain() { return state_->drain(); }

void http_listener::stop() { state_->stop(); }

}  // namespace heatherdeck
