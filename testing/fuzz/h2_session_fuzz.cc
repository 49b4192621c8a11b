// libFuzzer target of the HTTP/2 server side: any bytes after the client's preface must be processed or rejected
// without a crash, and it must be possible to respond on the streams that they open.
#include <boost/asio/io_context.hpp>

#include "wire/h2_session.h"

using namespace heatherdeck;

// libFuzzer prescribes the name of the entry point.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  boost::asio::io_context io;
  const auto outbox = std::make_shared<h2_outbox>(io.get_executor());
  std::vector<std::shared_ptr<h2_stream_state>> opened;
  const auto on_request = [&opened](std::shared_ptr<h2_stream_state> stream, const header_list&) {
    opened.push_back(std::move(stream));
  };
  auto session =
      capture([&] { return h2_session::make(h2_side::server, io.get_executor(), outbox, "fuzz", on_request); });
  if (!session) return 0;
  std::string bytes = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
  bytes.append(reinterpret_cast<const char*>(data), size);
  std::string out;
  const auto received = capture([&] { return (*session)->receive(bytes); });
  for (const auto& stream : opened) {
    stream->outbound_headers = header_list{{":status", "200"}};
    stream->outbound.emplace_back("body");
    stream->outbound_bytes = 4;
    stream->outbound_ended = true;
    (*session)->submit_queued(stream);
  }
  if (received) (void)capture([&] { return (*session)->collect(out); });
  (*session)->fail_all(error_kind::closed, "end");
  return 0;
}
