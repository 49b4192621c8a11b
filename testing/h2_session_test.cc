// Tests of what a session states about streams: a stream that its holder or the peer takes as not processed must never
// reach the peer's request handler, because the request is sent again elsewhere.
#include "wire/h2_session.h"

#include <algorithm>
#include <map>

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace heatherdeck {
namespace {

constexpr std::size_t max_buffered_output = 128UL * 1024;  // after which `collect` stops
constexpr std::size_t large_field_bytes = 15'000;
constexpr std::size_t frame_header_bytes = 9;

/// A client and a server session, and the streams that the client has opened. Bytes are moved by the test.
struct session_pair {
  boost::asio::io_context io;
  std::shared_ptr<h2_outbox> client_outbox = std::make_shared<h2_outbox>(io.get_executor());
  std::shared_ptr<h2_outbox> server_outbox = std::make_shared<h2_outbox>(io.get_executor());
  std::vector<std::shared_ptr<h2_stream_state>> opened;
  std::vector<std::shared_ptr<h2_stream_state>> handled;
  std::map<std::string, int> runs;  // by path
  std::unique_ptr<h2_session> client = make(h2_side::client, client_outbox, {});
  std::unique_ptr<h2_session> server =
      make(h2_side::server, server_outbox, [this](std::shared_ptr<h2_stream_state> stream, const header_list& headers) {
        const auto path =
            std::find_if(headers.begin(), headers.end(), [](const auto& f) { return f.first == ":path"; });
        ++runs[path->second];
        handled.push_back(std::move(stream));
      });

  session_pair() { exchange_all(); }
  session_pair(const session_pair&) = delete;
  session_pair& operator=(const session_pair&) = delete;
  ~session_pair() {
    for (auto* outbox : {&client_outbox, &server_outbox}) {
      (*outbox)->closed = true;
      (*outbox)->ready.clear();
    }
  }

  std::unique_ptr<h2_session> make(h2_side side, const std::shared_ptr<h2_outbox>& outbox,
                                   h2_session::request_handler handler) {
    auto made = capture([&] { return h2_session::make(side, io.get_executor(), outbox, "peer", handler); });
    EXPECT_TRUE(made);
    return std::move(*made);
  }

  /// Opens a stream; its path is its number among the opened ones.
  /// @param field_bytes size of a field that HPACK cannot shorten.
  std::shared_ptr<h2_stream_state> open(std::size_t field_bytes = 0) {
    auto stream = std::make_shared<h2_stream_state>(io.get_executor(), client_outbox, stream_kind::call, false);
    stream->outbound_headers = header_list{{":method", "POST"},
                                           {":scheme", "http"},
                                           {":path", path_of(opened.size())},
                                           {":authority", "a"},
                                           {"hd-stream", "call"}};
    if (field_bytes > 0) stream->outbound_headers->emplace_back("large", unique_value(field_bytes));
    stream->headers_end_stream = true;
    stream->outbound_ended = true;
    client->submit_queued(stream);
    opened.push_back(stream);
    return stream;
  }

  static std::string path_of(std::size_t number) { return "/" + std::to_string(number); }

  std::string unique_value(std::size_t size) const {
    std::string value(size, '\x7e');  // has a code of 13 bits in HPACK, so the value is sent as it is
    value.replace(0, 8, std::to_string(10'000'000 + opened.size() + handled.size()));
    return value;
  }

  static std::string collect(h2_session& from) {
    std::string out;
    EXPECT_TRUE(capture([&] { return from.collect(out); }));
    return out;
  }

  static void deliver(h2_session& to, const std::string& bytes) {
    EXPECT_TRUE(capture([&] { return to.receive(bytes); }));
  }

  /// Moves bytes in both directions until neither side has any.
  void exchange_all() {
    while (true) {
      const std::string to_server = collect(*client);
      if (!to_server.empty()) deliver(*server, to_server);
      const std::string to_client = collect(*server);
      if (!to_client.empty()) deliver(*client, to_client);
      if (to_server.empty() && to_client.empty()) return;
    }
  }

  bool not_processed(std::size_t number) const {
    const auto& failure = opened[number]->failure;
    return failure && failure->kind == error_kind::not_processed;
  }

  std::size_t count_not_processed() const {
    std::size_t count = 0;
    for (std::size_t i = 0; i < opened.size(); ++i) count += not_processed(i) ? 1 : 0;
    return count;
  }

  /// Checks each stream: what the client takes as not processed has not been handled, everything else at most once.
  void expect_statements_hold() const {
    for (std::size_t i = 0; i < opened.size(); ++i) {
      const auto found = runs.find(path_of(i));
      const int count = found == runs.end() ? 0 : found->second;
      EXPECT_LE(count, not_processed(i) ? 0 : 1) << "stream " << i << " of " << opened.size();
    }
  }
};

// A stop while much output waited: a stream that arrived before its GOAWAY was written ran here, and elsewhere again.
TEST(h2_session, stream_that_arrives_before_a_waiting_goaway_is_not_both_handled_and_refused) {
  session_pair pair;
  constexpr std::size_t responses = 20;
  for (std::size_t i = 0; i < responses; ++i) pair.open();
  pair.exchange_all();
  ASSERT_EQ(pair.handled.size(), responses);
  for (const auto& stream : pair.handled) {
    stream->outbound_headers = header_list{{":status", "200"}, {"large", pair.unique_value(large_field_bytes)}};
    stream->headers_end_stream = true;
    stream->outbound_ended = true;
    pair.server->submit_queued(stream);
  }
  const std::string first_part = pair.collect(*pair.server);
  ASSERT_GE(first_part.size(), max_buffered_output);
  pair.server->refuse_new_streams();
  pair.open();
  pair.deliver(*pair.server, pair.collect(*pair.client));
  pair.deliver(*pair.client, first_part);
  pair.exchange_all();
  EXPECT_TRUE(pair.client->received_goaway());
  pair.expect_statements_hold();
  EXPECT_TRUE(pair.not_processed(responses));
  EXPECT_TRUE(pair.client->finished());
  EXPECT_TRUE(pair.server->finished()) << "the refused stream keeps the connection open";
}

/// Opens streams until more output waits than one `collect` returns.
std::string fill_output(session_pair& pair) {
  constexpr std::size_t streams = 20;
  for (std::size_t i = 0; i < streams; ++i) pair.open(large_field_bytes);
  std::string first_part = pair.collect(*pair.client);
  EXPECT_GE(first_part.size(), max_buffered_output);
  EXPECT_FALSE(pair.opened.back()->may_have_been_sent);
  return first_part;
}

// A peer that does not respond: a call that waited behind other output is repeated elsewhere, so it must not leave.
TEST(h2_session, stream_that_fails_on_silence_as_not_processed_is_never_sent) {
  session_pair pair;
  const std::string first_part = fill_output(pair);
  pair.client->fail_on_silence("silence");
  const std::size_t unsent = pair.count_not_processed();
  EXPECT_GT(unsent, 0U);
  pair.deliver(*pair.server, first_part);
  pair.exchange_all();
  pair.expect_statements_hold();
  EXPECT_EQ(pair.count_not_processed(), unsent);
}

// A holder that resets a call which has not been sent repeats it elsewhere, so it must not leave afterwards.
TEST(h2_session, stream_that_is_reset_before_it_was_sent_is_never_sent) {
  session_pair pair;
  const std::string first_part = fill_output(pair);
  std::vector<std::size_t> unsent;
  for (std::size_t i = 0; i < pair.opened.size(); ++i) {
    if (!pair.opened[i]->may_have_been_sent) unsent.push_back(i);
    h2_stream(pair.opened[i]).reset(8);
    pair.client->submit_queued(pair.opened[i]);
  }
  EXPECT_FALSE(unsent.empty());
  pair.deliver(*pair.server, first_part);
  pair.exchange_all();
  for (const std::size_t i : unsent) EXPECT_FALSE(pair.runs.contains(pair.path_of(i))) << "stream " << i;
}

// A GOAWAY that arrives while calls wait to be written: those fail as not processed and must not leave.
TEST(h2_session, stream_that_waits_when_a_goaway_arrives_is_never_handled) {
  session_pair pair;
  pair.server->refuse_new_streams();
  const std::string goaway = pair.collect(*pair.server);
  const std::string first_part = fill_output(pair);
  pair.deliver(*pair.client, goaway);
  pair.deliver(*pair.server, first_part);
  pair.exchange_all();
  EXPECT_EQ(pair.count_not_processed(), pair.opened.size());
  EXPECT_TRUE(pair.runs.empty());
}

// A call beyond the limit of a connection is repeated elsewhere.
TEST(h2_session, stream_beyond_the_limit_is_never_sent) {
  session_pair pair;
  for (std::uint32_t i = 0; i <= max_h2_streams; ++i) pair.open();
  pair.exchange_all();
  EXPECT_TRUE(pair.not_processed(max_h2_streams));
  EXPECT_EQ(pair.count_not_processed(), 1U);
  EXPECT_EQ(pair.runs.size(), max_h2_streams);
  pair.expect_statements_hold();
}

// A connection error, for example of a defective peer: the GOAWAY of nghttp2 must name every stream that was handled.
TEST(h2_session, goaway_after_a_connection_error_names_every_handled_stream) {
  for (std::size_t valid = 0; valid <= 3; ++valid) {
    session_pair pair;
    for (std::size_t i = 0; i < valid; ++i) pair.open();
    std::string bytes = pair.collect(*pair.client);
    std::string invalid_window_update(frame_header_bytes + 4, '\0');  // an increment of 0 for the whole connection
    invalid_window_update[2] = 4;
    invalid_window_update[3] = 8;
    bytes += invalid_window_update;
    pair.open();
    bytes += pair.collect(*pair.client);
    pair.deliver(*pair.server, bytes);
    pair.exchange_all();
    EXPECT_TRUE(pair.client->received_goaway());
    EXPECT_EQ(pair.runs.size(), valid);
    EXPECT_TRUE(pair.not_processed(valid));
    pair.expect_statements_hold();
  }
}

}  // namespace
}  // namespace heatherdeck
