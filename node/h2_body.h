/// @file
/// Reads the body of a request or response from an HTTP/2 stream and checks it against the declared content-length.
///
///     h2_body body;
///     body.expect(head.body, head.content_length);
///     auto data = co_await body.read(*stream);       // empty at the end of the body
#pragma once

#include <cstdint>
#include <string>

#include "node/message_head.h"
#include "wire/h2_stream.h"

namespace heatherdeck {

class h2_body {
 public:
  /// Sets the framing and length that the head declares.
  /// @param length in bytes; only used if `kind` is `sized`.
  void expect(body_framing kind, std::uint64_t length) {
    done_ = kind == body_framing::none;
    sized_ = kind == body_framing::sized;
    left_ = length;
  }

  /// @return true if the whole body was read.
  bool done() const { return done_; }

  /// @return the next data; empty at the end; `bad_message` if the length differs from the declared one.
  awaitable<outcome<std::string>> read(h2_stream& stream) {
    if (done_) co_return std::string();
    auto reading = stream.read();
    auto data = co_await std::move(reading);
    if (!data) co_return data.failure();
    if (sized_ && (data->size() > left_ || (data->empty() && left_ != 0))) {
      co_return error{error_kind::bad_message,
                      "the body does not have the length that its content-length declares",
                      "check the peer node",
                      {}};
    }
    left_ -= sized_ ? data->size() : 0;
    done_ = data->empty() || (sized_ && left_ == 0);
    co_return std::move(data);
  }

 private:
  std::uint64_t left_ = 0;
  bool sized_ = false;
  bool done_ = false;
};

}  // namespace heatherdeck
