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
  void expect(body_kind kind, std::uint64_t length) {
    done_ = kind == body_kind::none;
    sized_ = kind == body_kind::sized;
    left_ = length;
  }

  bool done() const { return done_; }

  /// @return the next piece; empty at the end; `bad_message` when the length is not the announced one.
  awaitable<outcome<std::string>> read(h2_stream& stream) {
    if (done_) co_return std::string();
    auto reading = stream.read();
    auto piece = co_await std::move(reading);
    if (!piece) co_return piece.failure();
    if (sized_ && (piece->size() > left_ || (piece->empty() && left_ != 0))) {
      co_return error{error_kind::bad_message, "the body does not have its announced length", "check the peer", {}};
    }
    left_ -= sized_ ? piece->size() : 0;
    done_ = piece->empty() || (sized_ && left_ == 0);
    co_return std::move(piece);
  }

 private:
  std::uint64_t left_ = 0;
  bool sized_ = false;
  bool done_ = false;
};

}  // namespace heatherdeck
