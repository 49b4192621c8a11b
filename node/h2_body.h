/// @file
/// The incoming body of one HTTP/2 stream, checked against its announced length; used for requests and for answers.
///
///     h2_body body;
///     body.expect(head.body, head.content_length);
///     auto piece = co_await body.read(*stream);      // an empty piece is the end
#pragma once

#include <cstdint>
#include <string>

#include "node/message_head.h"
#include "wire/h2_stream.h"

namespace heatherdeck {

class h2_body {
 public:
  /// Sets what the head has announced.
  void expect(body_framing kind, std::uint64_t length) {
    done_ = kind == body_framing::none;
    sized_ = kind == body_framing::sized;
    left_ = length;
  }

  bool done() const { return done_; }

  /// @return the next piece; empty at the end; `bad_message` when the length is not the announced one.
  awaitable<outcome<std::string>> read(h2_stream& stream) {
    if (done_) co_return std::string();
    auto reading = stream.read();
    auto data = co_await std::move(reading);
    if (!data) co_return data.failure();
    if (sized_ && (data->size() > left_ || (data->empty() && left_ != 0))) {
      co_return error{error_kind::bad_message, "the body does not have its announced length", "check the peer", {}};
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
