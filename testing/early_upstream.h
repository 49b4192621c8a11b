/// @file
/// An upstream that responds to uploads before it has read them, and a caller that uploads and reads the response
/// meanwhile.
///
///     early_upstream upstream{.tested = {.fast = true, .relayed = 100}};
///     proxy_harness node(upstream.script(), 60s, false, dialect_of(dialect_name::platform));
///     auto result = co_await upload(node.k, node.address(), upstream.tested, on_part);
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "testing/proxy_harness.h"

namespace heatherdeck {

// More than fits into the kernel's buffers on the way, so that no upload is complete before the reset.
inline constexpr std::size_t upload_bytes = 64UL * 1024 * 1024;
inline constexpr std::size_t fast_part_bytes = 64UL * 1024;
inline constexpr std::size_t slow_part_bytes = 500;
inline constexpr milliseconds slow_pause = milliseconds(2);

inline constexpr std::string_view upload_path = "/a/upload";

/// How an upload is sent, and how far the response to it goes.
struct upload_case {
  bool fast = false;        ///< the upload fills all buffers on its way; otherwise the upstream reads it as it arrives
  bool chunked = false;     ///< the upload has no length
  bool reused = false;      ///< the upstream's connection has carried a request before
  std::size_t relayed = 0;  ///< bytes of the response's body that its caller has got before the reset
  std::size_t unread = 0;   ///< bytes of the response's body that are sent together with the reset
};

/// @return every combination of the members, with five sizes of the response.
inline std::vector<upload_case> upload_cases() {
  std::vector<upload_case> all;
  for (const bool fast : {false, true}) {
    for (const bool chunked : {false, true}) {
      for (const bool reused : {false, true}) {
        for (const auto& [relayed, unread] : {std::pair(0U, 0U), {0U, 100U}, {100U, 0U}, {100U, 100U}, {0U, 200'000U}})
          all.push_back({fast, chunked, reused, relayed, unread});
      }
    }
  }
  return all;
}

inline std::string describe(const upload_case& c) {
  return fmt::format("{} upload {}, {} connection, {} bytes relayed, {} more sent", c.fast ? "fast" : "slow",
                     c.chunked ? "in chunks" : "with a length", c.reused ? "reused" : "fresh", c.relayed, c.unread);
}

/// @param fields further header fields, with their line ends.
/// @return the head of a response with the fields that the platform's dialect requires.
inline std::string response_head_text(h1_reader<true>& request, std::string_view fields,
                                      std::string_view status = "200 OK") {
  return fmt::format("HTTP/1.1 {}\r\nX-Request-Id: {}\r\nX-Response-Seal: s\r\n{}\r\n", status,
                     std::string(request.message()["X-Request-Id"]), fields);
}

/// An upstream that responds to uploads early. Its flags are shared between the threads of two nodes.
struct early_upstream {
  upload_case tested;
  std::string status = "200 OK";
  std::string fields;                 ///< of the response to an upload, such as a length
  bool resets = true;                 ///< within its response; otherwise the response ends cleanly and the rest is read
  std::atomic<bool> relayed = false;  ///< the caller has got what is to be relayed
  /// Returns the response to any other request.
  std::function<std::string(h1_reader<true>&)> response = [](auto& request) {
    return response_head_text(request, "Content-Length: 0\r\n");
  };
  std::atomic<unsigned> on_reused = 0;  ///< uploads on connections that had carried another request

  upstream_script script() {
    return [this](tcp_socket socket) { return serve(std::move(socket)); };
  }

 private:
  awaitable<void> serve(tcp_socket socket) {
    h1_stream stream(std::move(socket));
    stream.socket.set_option(boost::asio::socket_base::receive_buffer_size(16'384));
    for (unsigned requests = 0;; ++requests) {
      h1_reader<true> reader(stream);
      if (const auto ec = co_await reader.read_head()) co_return;
      if (reader.message().target() != upload_path) {
        co_await proxy_harness::send(stream, response(reader));
        continue;
      }
      if (requests > 0) ++on_reused;
      co_await respond_to_upload(stream, reader);
      co_return;
    }
  }

  awaitable<void> respond_to_upload(h1_stream& stream, h1_reader<true>& reader) {
    co_await proxy_harness::send(stream, response_head_text(reader, fields, status) + std::string(tested.relayed, 'a'));
    boost::asio::steady_timer timer(stream.socket.get_executor());
    const time_point limit = timer_service::now() + std::chrono::seconds(10);
    // A fast upload must not be read, or it would not wait; a slow one must be, or its next part would wait.
    std::size_t arrived = 0;
    bool blocked = !tested.fast;
    while ((!relayed || !blocked) && timer_service::now() < limit) {
      timer.expires_after(std::chrono::milliseconds(10));
      (void)co_await timer.async_wait(use_tuple);
      const std::size_t now = stream.socket.available();
      if (tested.fast) blocked = now > 0 && now == std::exchange(arrived, now);
      if (!tested.fast && now > 0) (void)co_await reader.read_body();
    }
    if (!resets) {
      boost::system::error_code ec;
      stream.socket.shutdown(tcp_socket::shutdown_send, ec);
      while (const auto data = co_await reader.read_body())
        if (data->empty()) break;
      co_return;
    }
    if (tested.unread > 0) co_await proxy_harness::send(stream, std::string(tested.unread, 'b'));
    boost::system::error_code ignored;
    stream.socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    stream.close();
  }
};

struct upload_result {
  unsigned status = 0;    ///< 0 if the connection ended before the head
  bool complete = false;  ///< the body has ended as its framing says
  std::size_t size = 0;   ///< of the body
};

/// Sends an upload and reads the response meanwhile.
/// @param on_part called with the number of bytes of the body that have arrived; 0 for the head.
/// @return what the caller got.
inline awaitable<upload_result> upload(kernel& k, boost::asio::ip::tcp::endpoint node, upload_case c,
                                       std::function<void(std::size_t)> on_part) {
  auto caller = std::make_unique<h1_stream>(tcp_socket(k.io()));
  auto [connect_error] = co_await caller->socket.async_connect(node, use_tuple);
  EXPECT_FALSE(connect_error) << connect_error.message();
  bool ended = false;
  bool writing = true;
  const auto write = [&]() -> awaitable<void> {
    const std::size_t part_bytes = c.fast ? fast_part_bytes : slow_part_bytes;
    const std::string part = c.chunked ? fmt::format("{:x}\r\n{}\r\n", part_bytes, std::string(part_bytes, 'u'))
                                       : std::string(part_bytes, 'u');
    boost::asio::steady_timer timer(k.io());
    const std::string framing = c.chunked ? "Transfer-Encoding: chunked"
                                          : fmt::format("Content-Length: {}", upload_bytes / part_bytes * part_bytes);
    std::string text =
        fmt::format("PUT {} HTTP/1.1\r\nHost: a\r\nX-Request-Id: r2\r\n", upload_path) + framing + "\r\n\r\n";
    boost::system::error_code ec;
    for (std::size_t parts = upload_bytes / part_bytes; !ec && !ended; --parts) {
      auto [failed, size] = co_await boost::asio::async_write(caller->socket, boost::asio::buffer(text), use_tuple);
      ec = failed;
      if (parts == 0) break;
      text = part;
      if (c.fast) continue;
      timer.expires_after(slow_pause);
      (void)co_await timer.async_wait(use_tuple);
    }
    if (!ec && !ended && c.chunked) co_await proxy_harness::send(*caller, "0\r\n\r\n");
    writing = false;
  };
  boost::asio::co_spawn(k.io(), write, boost::asio::detached);
  upload_result result;
  h1_reader<false> reader(*caller);
  if (const auto ec = co_await reader.read_head(); !ec) {
    result.status = reader.message().result_int();
    on_part(0);
    while (!result.complete) {
      const auto data = co_await reader.read_body();
      if (!data) break;
      result.size += data->size();
      on_part(result.size);
      result.complete = data->empty();
    }
  }
  ended = true;
  caller->close();
  EXPECT_TRUE(co_await eventually(k, [&] { return !writing; }));
  co_return result;
}

}  // namespace heatherdeck
