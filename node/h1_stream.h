/// @file
/// One HTTP/1.1 connection, a reader for one message on it, and a writer (Boost.Beast). Slow to compile: include it
/// only where a connection is read or written.
///
///     h1_stream stream(std::move(socket));
///     h1_reader<true> request(stream);
///     auto ec = co_await request.read_head();
///     auto chunk = co_await request.read_body();        // empty at the end
///
/// Memory: at most 64 KiB in the read buffer and 64 KiB for the body data of one read.
#pragma once

#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include "kernel/mailbox.h"
#include "node/message_head.h"
#include "wire/response_head.h"

namespace heatherdeck {

using tcp_socket = boost::asio::ip::tcp::socket;

/// Size of one read of a body of unknown length.
inline constexpr std::size_t body_read_bytes = 16UL * 1024;

/// A socket and the data that was read from it but not yet parsed.
struct h1_stream {
  explicit h1_stream(tcp_socket s) : socket(std::move(s)), buffer(stream_buffer_bytes) {}

  tcp_socket socket;
  boost::beast::flat_buffer buffer;

  void close() {
    boost::system::error_code ignored;
    socket.close(ignored);
  }

  /// @return false if the remote end has closed the connection and no data is left to read. Does not wait.
  bool remote_end_connected() {
    if (!socket.is_open()) return false;
    char byte = 0;
    boost::system::error_code ec;
    socket.non_blocking(true, ec);
    socket.receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, ec);
    return !ec || ec == boost::asio::error::would_block;
  }

  /// @return size of the message head at the front of the buffer; 0 if it is incomplete.
  std::size_t buffered_head_size() const {
    static constexpr std::string_view head_end = "\r\n\r\n";
    const std::string_view text(static_cast<const char*>(buffer.data().data()), buffer.size());
    const std::size_t end = text.find(head_end);
    return end == std::string_view::npos ? 0 : end + head_end.size();
  }

  /// Reads what has arrived, at most 4 KiB, into the buffer. Does not wait.
  /// @return an error if the connection has failed or the remote end has closed it.
  boost::system::error_code read_available() {
    boost::system::error_code ec;
    socket.non_blocking(true, ec);
    const std::size_t size = socket.read_some(buffer.prepare(4096), ec);
    buffer.commit(size);
    return ec == boost::asio::error::would_block ? boost::system::error_code() : ec;
  }

  /// @return true if the connection is open and no unread data exists. Does not wait.
  bool open_and_idle() {
    if (!socket.is_open() || buffer.size() != 0) return false;
    char byte = 0;
    boost::system::error_code ec;
    socket.non_blocking(true, ec);
    socket.receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, ec);
    return ec == boost::asio::error::would_block;
  }
};

/// Reads one message; a new reader is needed for the next one. Data after the message stays in the stream's buffer.
template <bool is_request>
class h1_reader {
 public:
  explicit h1_reader(h1_stream& stream) : stream_(&stream) {
    parser_.header_limit(max_header_bytes);
    parser_.body_limit(boost::none);
  }

  /// The message has no body, whatever its header declares (response to HEAD).
  void skip_body() { parser_.skip(true); }

  awaitable<boost::system::error_code> read_head() {
    if constexpr (is_request) {
      auto [ec, size] =
          co_await boost::beast::http::async_read_header(stream_->socket, stream_->buffer, parser_, use_tuple);
      co_return ec;
    } else {
      auto reading = read_response_head(stream_->socket, stream_->buffer, parser_);
      co_return co_await std::move(reading);
    }
  }

  /// Parses a head that the stream's buffer holds completely. Does not wait, and leaves the buffer unchanged.
  /// @param size of the head, from `buffered_head_size`.
  /// @return false if the head is malformed.
  bool parse_buffered_head(std::size_t size) {
    boost::system::error_code ec;
    const std::size_t parsed = parser_.put(boost::asio::buffer(stream_->buffer.data(), size), ec);
    return !ec && parsed == size && parser_.is_header_done();
  }

  /// Waits for body data.
  /// @return the data; empty at the end of the body; an error if the message is malformed or incomplete.
  awaitable<outcome<std::string>> read_body() {
    std::string data;
    while (!parser_.is_done()) {
      data.resize(next_read_size());
      parser_.get().body().data = data.data();
      parser_.get().body().size = data.size();
      parser_.get().body().more = true;
      auto [ec, size] =
          co_await boost::beast::http::async_read_some(stream_->socket, stream_->buffer, parser_, use_tuple);
      if (ec == boost::beast::http::error::need_buffer) ec = {};
      if (ec)
        co_return error{error_kind_of(ec),
                        "the message body cannot be read: " + ec.message(),
                        "check the process that sends the message",
                        {}};
      data.resize(data.size() - parser_.get().body().size);
      if (!data.empty()) co_return std::move(data);
    }
    co_return std::string();
  }

  auto& message() { return parser_.get(); }
  auto& parser() { return parser_; }
  bool done() const { return parser_.is_done(); }
  /// @return true if data can be read without waiting.
  bool has_buffered_data() const { return stream_->buffer.size() != 0; }

  /// @return `bad_message` if the data violates HTTP, `closed` if the connection failed or ended.
  static error_kind error_kind_of(const boost::system::error_code& ec) {
    using boost::beast::http::error;
    if (ec == error::partial_message || ec == error::end_of_stream) return error_kind::closed;
    static const boost::system::error_code sample = error::bad_method;
    return ec.category() == sample.category() ? error_kind::bad_message : error_kind::closed;
  }

 private:
  std::size_t next_read_size() const {
    const auto remaining = parser_.content_length_remaining();
    if (remaining) return static_cast<std::size_t>(std::clamp<std::uint64_t>(*remaining, 1, stream_buffer_bytes));
    return body_read_bytes;
  }

  h1_stream* stream_;
  boost::beast::http::parser<is_request, boost::beast::http::buffer_body> parser_;
};

struct h1_write_result {
  boost::system::error_code ec;
  std::size_t size = 0;  ///< bytes that the kernel has accepted
};

/// Writes a message head, which may be empty, and body data in one system call.
/// @param chunked uses chunked coding for the data.
/// @param last ends the body: adds the last chunk if `chunked`.
inline awaitable<h1_write_result> write_h1(h1_stream& stream, std::string head, std::string data, bool chunked,
                                           bool last) {
  std::string chunk_header;
  std::string_view chunk_tail;
  if (chunked && !data.empty()) {
    static constexpr std::string_view digits = "0123456789abcdef";
    for (std::size_t size = data.size(); size != 0; size /= 16)
      chunk_header.insert(chunk_header.begin(), digits[size % 16]);
    chunk_header += "\r\n";
    chunk_tail = last ? "\r\n0\r\n\r\n" : "\r\n";
  } else if (chunked && last) {
    chunk_tail = "0\r\n\r\n";
  }
  const std::array<boost::asio::const_buffer, 4> parts{boost::asio::buffer(head), boost::asio::buffer(chunk_header),
                                                       boost::asio::buffer(data),
                                                       boost::asio::buffer(chunk_tail.data(), chunk_tail.size())};
  auto [ec, size] = co_await boost::asio::async_write(stream.socket, parts, use_tuple);
  co_return h1_write_result{ec, size};
}

}  // namespace heatherdeck
