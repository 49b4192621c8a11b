/// @file
/// The part of a request body that has been read and can be sent with another attempt. Used by `run_exchange`.
///
///     body.add(data);                               // read from the caller and sent with the current attempt
///     if (body.replayable()) { body.rewind(); ... } // another attempt begins
///     while (body.has_unsent()) send(body.take_unsent());
///
/// The buffer holds `stream_buffer_bytes`; a longer body is dropped and the request cannot be sent again. While nothing
/// may be lost (`keep_all`), the limit does not apply, and the owner bounds what it reads.
#pragma once

#include <string>
#include <string_view>
#include <utility>

#include "wire/h2_stream.h"

namespace heatherdeck {

class upload_buffer {
 public:
  /// Adds what was read from the caller. It counts as sent with the current attempt.
  void add(std::string_view data) {
    if (!replayable_) return;
    if (keep_all_ || data_.size() + data.size() <= stream_buffer_bytes) {
      data_ += data;
      sent_ = data_.size();
    } else if (!data.empty()) {
      replayable_ = false;
      std::string().swap(data_);
      sent_ = 0;
    }
  }

  /// @return true if everything that has been read can be sent again.
  bool replayable() const { return replayable_; }

  /// Begins another attempt, which sends the body from its start.
  void rewind() { sent_ = 0; }

  /// @return true if the current attempt has not sent all that is buffered.
  bool has_unsent() const { return sent_ < data_.size(); }

  /// @return the buffered data that the current attempt has not sent; it counts as sent from now on.
  std::string take_unsent() { return data_.substr(std::exchange(sent_, data_.size())); }

  /// Says whether the limit is suspended.
  void keep_all(bool keep) { keep_all_ = keep; }

 private:
  std::string data_;
  std::size_t sent_ = 0;
  bool replayable_ = true;
  bool keep_all_ = false;
};

}  // namespace heatherdeck
