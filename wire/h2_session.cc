// Wraps nghttp2. All nghttp2 callbacks are in one struct; they only move data between nghttp2 and the buffers of the
// streams (h2_stream_state).
// Invariants: the connection's flow-control window is replenished when bytes arrive, so that a slow reader blocks only
// its own stream; a stream's window is replenished when its holder has read, so a stream never buffers more than its
// window. A stream is marked as possibly sent before its first byte can reach the socket. No stream is handled that a
// queued GOAWAY will report as not processed. Cost: received body bytes are copied once, sent ones once (into the write
// buffer of the connection).
#include "wire/h2_session.h"

#include <algorithm>
#include <cstring>

#include <nghttp2/nghttp2.h>

namespace heatherdeck {

namespace {

constexpr std::size_t max_out_bytes = 128UL * 1024;
constexpr std::int32_t connection_window = 1 << 20;
// By default nghttp2 closes a connection whose peer resets more than 33 streams per second (protection against rapid
// reset attacks). Callers that cancel slow calls exceed that legitimately, and peers are authenticated by the mesh key.
constexpr std::uint64_t reset_burst = 20'000;
constexpr std::uint64_t reset_rate = 10'000;

struct failure_row {
  std::uint32_t code;
  error_kind kind;
  std::string_view text;
};

constexpr failure_row default_failure = {0, error_kind::closed, "the peer has reset the stream"};
constexpr failure_row failure_table[] = {
    {NGHTTP2_NO_ERROR, error_kind::closed, "the peer has ended the stream"},
    {NGHTTP2_REFUSED_STREAM, error_kind::not_processed, "the peer has not processed the request"},
    {NGHTTP2_CANCEL, error_kind::closed, "the peer has cancelled the stream"},
    {NGHTTP2_PROTOCOL_ERROR, error_kind::bad_message, "the stream violated the HTTP/2 protocol"},
};

const failure_row& failure_for_code(std::uint32_t code) {
  const auto* found = std::find_if(std::begin(failure_table), std::end(failure_table),
                                   [code](const failure_row& row) { return row.code == code; });
  return found == std::end(failure_table) ? default_failure : *found;
}

std::vector<nghttp2_nv> to_nv(const header_list& headers) {
  std::vector<nghttp2_nv> fields;
  fields.reserve(headers.size());
  const auto bytes = [](const std::string& text) {
    return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));  // NOLINT: nghttp2 does not write to it
  };
  for (const auto& [name, value] : headers) {
    fields.push_back({bytes(name), bytes(value), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE});
  }
  return fields;
}

std::string_view view(const std::uint8_t* bytes, std::size_t size) {
  return {reinterpret_cast<const char*>(bytes), size};
}

stream_kind kind_of(const header_list& headers) {
  for (const auto& [name, value] : headers) {
    if (name == "hd-stream") return from_name<stream_kind>(value).value_or(stream_kind::call);
  }
  return stream_kind::call;
}

}  // namespace

struct h2_session::callbacks {
  static h2_session& self(void* user) { return *static_cast<h2_session*>(user); }

  static ssize_t send(nghttp2_session*, const std::uint8_t* data, std::size_t size, int, void* user) {
    std::string& out = *self(user).out_;
    if (out.size() >= max_out_bytes) return NGHTTP2_ERR_WOULDBLOCK;
    out.append(view(data, size));
    return static_cast<ssize_t>(size);
  }

  /// Appends one DATA frame directly from the chunks that the holder has queued.
  static int send_data(nghttp2_session*, nghttp2_frame* frame, const std::uint8_t* header, std::size_t size,
                       nghttp2_data_source* source, void* user) {
    std::string& out = *self(user).out_;
    if (out.size() >= max_out_bytes) return NGHTTP2_ERR_WOULDBLOCK;
    auto& stream = *static_cast<h2_stream_state*>(source->ptr);
    constexpr std::size_t frame_header_bytes = 9;
    out.append(view(header, frame_header_bytes));
    if (frame->data.padlen > 0) out.push_back(static_cast<char>(frame->data.padlen - 1));
    stream.outbound_bytes -= size;
    while (size > 0) {
      std::string& chunk = stream.outbound.front();
      const std::size_t part = std::min(size, chunk.size() - stream.outbound_offset);
      out.append(chunk, stream.outbound_offset, part);
      stream.outbound_offset += part;
      size -= part;
      if (stream.outbound_offset == chunk.size()) {
        stream.outbound.pop_front();
        stream.outbound_offset = 0;
      }
    }
    if (frame->data.padlen > 1) out.append(frame->data.padlen - 1, '\0');
    if (stream.outbound_bytes < stream_buffer_bytes) stream.outbound_has_space.set();
    return 0;
  }

  static ssize_t read_body(nghttp2_session*, std::int32_t, std::uint8_t*, std::size_t limit, std::uint32_t* flags,
                           nghttp2_data_source* source, void*) {
    auto& stream = *static_cast<h2_stream_state*>(source->ptr);
    const std::size_t size = std::min(limit, stream.outbound_bytes);
    const bool last = stream.outbound_ended && size == stream.outbound_bytes;
    if (size == 0 && !last) return NGHTTP2_ERR_DEFERRED;
    *flags |= NGHTTP2_DATA_FLAG_NO_COPY;
    if (last) *flags |= NGHTTP2_DATA_FLAG_EOF;
    return static_cast<ssize_t>(size);
  }

  static int begin_headers(nghttp2_session*, const nghttp2_frame* frame, void* user) {
    self(user).blocks_[frame->hd.stream_id] = {};
    return 0;
  }

  static int header(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name, std::size_t name_size,
                    const std::uint8_t* value, std::size_t value_size, std::uint8_t, void* user) {
    header_block& block = self(user).blocks_[frame->hd.stream_id];
    block.bytes += name_size + value_size;
    if (block.bytes > max_header_bytes || block.fields.size() >= max_header_fields) {
      return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;  // resets this stream only
    }
    block.fields.emplace_back(view(name, name_size), view(value, value_size));
    return 0;
  }

  static int data_chunk(nghttp2_session* session, std::uint8_t, std::int32_t id, const std::uint8_t* data,
                        std::size_t size, void* user) {
    nghttp2_session_consume_connection(session, size);
    if (h2_stream_state* stream = self(user).find(id)) {
      stream->inbound.append(view(data, size));
      stream->inbound_changed.set();
    }
    return 0;
  }

  static int frame_received(nghttp2_session*, const nghttp2_frame* frame, void* user) {
    h2_session& session = self(user);
    switch (frame->hd.type) {
      case NGHTTP2_HEADERS:
        headers_received(session, *frame);
        break;
      case NGHTTP2_DATA:
        end_inbound(session.find(frame->hd.stream_id), *frame);
        break;
      case NGHTTP2_GOAWAY:
        session.received_goaway_ = true;
        break;
      case NGHTTP2_PING:
        if ((frame->hd.flags & NGHTTP2_FLAG_ACK) != 0) ++session.ping_acks_;
        break;
      default:
        break;
    }
    return 0;
  }

  static void headers_received(h2_session& session, const nghttp2_frame& frame) {
    const std::int32_t id = frame.hd.stream_id;
    auto block = session.blocks_.extract(id);
    if (block.empty()) return;
    header_list fields = std::move(block.mapped().fields);
    if (frame.headers.cat == NGHTTP2_HCAT_REQUEST) {
      // The GOAWAY may wait behind other output. nghttp2 closes the stream when it is sent.
      if (session.last_accepted_id_ && id > *session.last_accepted_id_) return;
      auto stream = std::make_shared<h2_stream_state>(session.executor_, session.outbox_, kind_of(fields),
                                                      /*opened_by_peer=*/true);
      if (stream->kind == stream_kind::call) stream->on_silence = silence_action::wait;
      session.add(id, stream);
      end_inbound(stream.get(), frame);
      session.on_request_(std::move(stream), std::move(fields));
      return;
    }
    h2_stream_state* stream = session.find(id);
    if (stream == nullptr) return;
    // Informational responses (1xx) and trailers are dropped: the mesh uses neither.
    const bool informational = !fields.empty() && fields.front().first == ":status" && fields.front().second[0] == '1';
    const bool has_status = !fields.empty() && fields.front().first == ":status";
    if (has_status && !informational) {
      stream->headers = std::move(fields);
      stream->response_begun = true;
      stream->inbound_changed.set();
    }
    end_inbound(stream, frame);
  }

  static void end_inbound(h2_stream_state* stream, const nghttp2_frame& frame) {
    if (stream == nullptr || (frame.hd.flags & NGHTTP2_FLAG_END_STREAM) == 0) return;
    stream->inbound_ended = true;
    stream->inbound_changed.set();
  }

  static int before_frame_sent(nghttp2_session*, const nghttp2_frame* frame, void* user) {
    if (frame->hd.type != NGHTTP2_HEADERS) return 0;
    if (h2_stream_state* stream = self(user).find(frame->hd.stream_id)) stream->may_have_been_sent = true;
    return 0;
  }

  static int frame_not_sent(nghttp2_session*, const nghttp2_frame* frame, int, void* user) {
    if (frame->hd.type != NGHTTP2_HEADERS || frame->headers.cat != NGHTTP2_HCAT_REQUEST) return 0;
    h2_session& session = self(user);
    if (h2_stream_state* stream = session.find(frame->hd.stream_id)) {
      stream->may_have_been_sent = false;
      stream->fail(error_kind::not_processed, "the request was not sent: the peer accepts no new streams",
                   session.peer_);
    }
    return 0;
  }

  static int stream_closed(nghttp2_session*, std::int32_t id, std::uint32_t code, void* user) {
    h2_session& session = self(user);
    auto node = session.streams_.extract(id);
    session.blocks_.erase(id);
    if (node.empty()) return 0;
    h2_stream_state& stream = *node.mapped();
    stream.closed = true;
    stream.closed_changed.set();
    const failure_row& row = failure_for_code(code);
    // A stream that was closed without an error after both directions ended has not failed.
    if (!(code == NGHTTP2_NO_ERROR && stream.inbound_ended)) {
      stream.fail(row.kind, std::string(row.text), session.peer_);
    } else if (!stream.outbound_ended) {
      stream.fail(error_kind::closed, std::string(row.text), session.peer_);
    }
    return 0;
  }

  /// @return the table of callbacks, shared by all sessions of the process.
  static nghttp2_session_callbacks* table() {
    static nghttp2_session_callbacks* const made = [] {
      nghttp2_session_callbacks* table = nullptr;
      if (nghttp2_session_callbacks_new(&table) != 0) return table;
      nghttp2_session_callbacks_set_send_callback(table, send);
      nghttp2_session_callbacks_set_send_data_callback(table, send_data);
      nghttp2_session_callbacks_set_on_begin_headers_callback(table, begin_headers);
      nghttp2_session_callbacks_set_on_header_callback(table, header);
      nghttp2_session_callbacks_set_on_data_chunk_recv_callback(table, data_chunk);
      nghttp2_session_callbacks_set_on_frame_recv_callback(table, frame_received);
      nghttp2_session_callbacks_set_before_frame_send_callback(table, before_frame_sent);
      nghttp2_session_callbacks_set_on_frame_not_send_callback(table, frame_not_sent);
      nghttp2_session_callbacks_set_on_stream_close_callback(table, stream_closed);
      return table;
    }();
    return made;
  }
};

h2_session::h2_session(executor_type executor, std::shared_ptr<h2_outbox> outbox, std::string peer,
                       request_handler on_request)
    : executor_(std::move(executor)),
      outbox_(std::move(outbox)),
      peer_(std::move(peer)),
      on_request_(std::move(on_request)) {}

h2_session::~h2_session() { nghttp2_session_del(session_); }

result<std::unique_ptr<h2_session>> h2_session::make(h2_side side, executor_type executor,
                                                     std::shared_ptr<h2_outbox> outbox, std::string peer,
                                                     request_handler on_request) {
  std::unique_ptr<h2_session> made(
      new h2_session(std::move(executor), std::move(outbox), std::move(peer), std::move(on_request)));
  made->side_ = side;
  nghttp2_option* options = nullptr;
  if (nghttp2_option_new(&options) != 0) return fail(error_kind::internal, "nghttp2 is out of memory");
  nghttp2_option_set_no_auto_window_update(options, 1);
  nghttp2_option_set_stream_reset_rate_limit(options, reset_burst, reset_rate);
  nghttp2_option_set_peer_max_concurrent_streams(options, max_h2_streams);
  const auto create = side == h2_side::client ? nghttp2_session_client_new2 : nghttp2_session_server_new2;
  const int created = create(&made->session_, callbacks::table(), made.get(), options);
  nghttp2_option_del(options);
  if (created != 0) return fail(error_kind::internal, "nghttp2 is out of memory");
  const nghttp2_settings_entry settings[] = {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, max_h2_streams},
                                             {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, stream_buffer_bytes},
                                             {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, 2 * max_header_bytes},
                                             {NGHTTP2_SETTINGS_ENABLE_PUSH, 0}};
  // ENABLE_PUSH, the last entry, is sent by clients only.
  const std::size_t count = side == h2_side::client ? std::size(settings) : std::size(settings) - 1;
  nghttp2_submit_settings(made->session_, NGHTTP2_FLAG_NONE, settings, count);
  nghttp2_session_set_local_window_size(made->session_, NGHTTP2_FLAG_NONE, 0, connection_window);
  return made;
}

void h2_session::add(std::int32_t id, std::shared_ptr<h2_stream_state> stream) {
  stream->id = id;
  streams_.emplace(id, std::move(stream));
}

h2_stream_state* h2_session::find(std::int32_t id) const {
  const auto found = streams_.find(id);
  return found == streams_.end() ? nullptr : found->second.get();
}

result<void> h2_session::receive(std::string_view bytes) {
  const ssize_t consumed_bytes =
      nghttp2_session_mem_recv(session_, reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  if (consumed_bytes < 0)
    return fail(error_kind::bad_message, nghttp2_strerror(static_cast<int>(consumed_bytes)), {}, peer_);
  return {};
}

void h2_session::open(const std::shared_ptr<h2_stream_state>& stream) {
  if (streams_.size() >= max_h2_streams) {
    return stream->fail(error_kind::not_processed, "too many streams are open on the connection", peer_);
  }
  const std::vector<nghttp2_nv> fields = to_nv(*stream->outbound_headers);
  nghttp2_data_provider body{{.ptr = stream.get()}, callbacks::read_body};
  const std::int32_t id = nghttp2_submit_request(session_, nullptr, fields.data(), fields.size(),
                                                 stream->headers_end_stream ? nullptr : &body, nullptr);
  if (id < 0) {
    return stream->fail(error_kind::not_processed, std::string("the request was not sent: ") + nghttp2_strerror(id),
                        peer_);
  }
  stream->outbound_headers.reset();
  add(id, stream);
}

void h2_session::respond(h2_stream_state& stream) {
  const std::vector<nghttp2_nv> fields = to_nv(*stream.outbound_headers);
  nghttp2_data_provider body{{.ptr = &stream}, callbacks::read_body};
  const int submitted = nghttp2_submit_response(session_, stream.id, fields.data(), fields.size(),
                                                stream.headers_end_stream ? nullptr : &body);
  stream.outbound_headers.reset();
  if (submitted != 0) stream.fail(error_kind::internal, nghttp2_strerror(submitted), peer_);
}

void h2_session::submit_queued(const std::shared_ptr<h2_stream_state>& stream) {
  stream->queued = false;
  if (stream->id == 0) {
    if (stream->reset_code || stream->failure) return;
    open(stream);
    return;
  }
  if (find(stream->id) == nullptr) return;
  if (stream->reset_code) {
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream->id, *stream->reset_code);
    return;
  }
  if (stream->outbound_headers) {
    respond(*stream);
  } else if (stream->outbound_bytes > 0 || stream->outbound_ended) {
    nghttp2_session_resume_data(session_, stream->id);
  }
  if (stream->consumed > 0) {
    nghttp2_session_consume_stream(session_, stream->id, std::exchange(stream->consumed, 0));
  }
}

result<void> h2_session::collect(std::string& out) {
  out_ = &out;
  const int sent = nghttp2_session_send(session_);
  out_ = nullptr;
  if (sent != 0) return fail(error_kind::internal, nghttp2_strerror(sent), "report this as a defect", peer_);
  return {};
}

void h2_session::refuse_new_streams() {
  last_accepted_id_ = nghttp2_session_get_last_proc_stream_id(session_);
  nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE, *last_accepted_id_, NGHTTP2_NO_ERROR, nullptr, 0);
}

void h2_session::send_ping() { nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr); }

void h2_session::fail_all(error_kind kind, const std::string& text) {
  for (const auto& [id, stream] : streams_) {
    const bool may_have_been_processed = stream->incoming || stream->may_have_been_sent;
    stream->fail(may_have_been_processed ? kind : error_kind::not_processed, text, peer_);
  }
  streams_.clear();
}

void h2_session::fail_on_silence(const std::string& text) {
  for (const auto& [id, stream] : streams_) {
    const bool unsent = !stream->incoming && !stream->may_have_been_sent;
    if (!unsent && !stream->fails_on_silence()) continue;
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
    stream->fail(unsent ? error_kind::not_processed : error_kind::timeout, text, peer_);
  }
}

bool h2_session::has_unfailed_streams() const {
  return std::any_of(streams_.begin(), streams_.end(), [](const auto& item) { return !item.second->failure; });
}

bool h2_session::finished() const {
  return nghttp2_session_want_read(session_) == 0 && nghttp2_session_want_write(session_) == 0;
}

std::size_t h2_session::open_incoming(stream_kind kind) const {
  return static_cast<std::size_t>(std::count_if(streams_.begin(), streams_.end(), [kind](const auto& item) {
    return item.second->incoming && item.second->kind == kind;
  }));
}

bool h2_session::has_stream_of_kind(stream_kind kind) const {
  return std::any_of(streams_.begin(), streams_.end(), [kind](const auto& item) { return item.second->kind == kind; });
}

}  // namespace heatherdeck
