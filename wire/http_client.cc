// One socket per request. The timeout closes the socket, which ends the pending operation; the error then follows from
// the step that failed. Invariant: `unreachable` is returned only before the first byte of the request was passed to
// the socket. Cost: one connection per request, which suits command-line tools and rare requests.
#include "wire/http_client.h"

#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "wire/endpoint.h"
#include "wire/http_status.h"
#include "wire/response_head.h"

namespace heatherdeck {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr unsigned http_1_1 = 11;

std::string percent_encoded(std::string_view text) {
  static constexpr char digits[] = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || c == '-' || c == '.' || c == '_' || c == '~') {
      encoded += c;
    } else {
      encoded += '%';
      encoded += digits[byte >> 4];
      encoded += digits[byte & 15];
    }
  }
  return encoded;
}

std::string target_of(const http_request& request) {
  std::string target = request.path;
  char separator = '?';
  for (const auto& [name, value] : request.query) {
    target += separator + percent_encoded(name) + "=" + percent_encoded(value);
    separator = '&';
  }
  return target;
}

http::request<http::string_body> to_beast(const http_request& request, const std::string& address) {
  http::request<http::string_body> message;
  message.method_string(request.method);
  message.target(target_of(request));
  message.version(http_1_1);
  message.set(http::field::host, address);
  for (const auto& [name, value] : request.headers) message.set(name, value);
  message.keep_alive(false);
  message.body() = request.body;
  message.prepare_payload();
  return message;
}

// Reads the final response, behind interim ones.
// @param parser set to the one that holds the response.
awaitable<boost::system::error_code> read_response(tcp::socket& socket, beast::flat_buffer& buffer,
                                                   std::optional<http::response_parser<http::string_body>>& parser) {
  for (int interim = 0; interim <= max_interim_responses; ++interim) {
    parser.emplace();
    auto reading = read_response_head(socket, buffer, *parser);
    if (const auto ec = co_await std::move(reading)) co_return ec;
    const unsigned status = parser->get().result_int();
    if (is_interim_status(status)) continue;
    if (!is_final_status(status)) break;
    auto [ec, size] = co_await http::async_read(socket, buffer, *parser, use_tuple);
    co_return ec;
  }
  co_return http::error::bad_status;
}

}  // namespace

awaitable<outcome<http_response>> http_call(timer_service& timers, executor_type executor, std::string address,
                                            http_request request, duration timeout) {
  const outcome<ip_endpoint> target = capture([&] { return parse_endpoint(address); });
  if (!target) co_return target.failure();
  auto socket = std::make_shared<tcp::socket>(executor);
  bool expired = false;
  const subscription limit = timers.after(timeout, [socket, &expired] {
    expired = true;
    boost::system::error_code ignored;
    socket->close(ignored);
  });
  const tcp::endpoint peer(target->ip, target->port);
  auto [connect_error] = co_await socket->async_connect(peer, use_tuple);
  if (connect_error) {
    co_return error{error_kind::unreachable, "cannot connect to " + address + ": " + connect_error.message(),
                    "check that the process runs and listens there", address};
  }
  const error no_response{error_kind::unknown_outcome, "no complete response from " + address,
                          "the request may have taken effect; check its result before sending it again", address};
  http::request<http::string_body> message = to_beast(request, address);
  auto [write_error, written] = co_await http::async_write(*socket, message, use_tuple);
  if (write_error) co_return no_response;
  beast::flat_buffer buffer;
  std::optional<http::response_parser<http::string_body>> parser;
  auto reading = read_response(*socket, buffer, parser);
  const auto read_error = co_await std::move(reading);
  if (read_error) {
    if (expired) {
      co_return error{error_kind::timeout, "no response from " + address + " within the timeout", no_response.remedy,
                      address};
    }
    co_return no_response;
  }
  http_response response;
  auto& received = parser->get();
  response.status = received.result_int();
  const auto type = received[http::field::content_type];
  response.content_type = std::string(type.data(), type.size());
  response.body = std::move(received.body());
  co_return response;
}

}  // namespace heatherdeck
