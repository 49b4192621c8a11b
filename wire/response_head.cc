// Beast joins a line that begins with a blank to the field before it (obsolete line folding, RFC 9112, 5.2). The line
// may be a field of which the name is damaged, such as the length of the body, so the head is refused, which the RFC
// allows. Invariant: Beast consumes a field only together with all lines that continue it, so each of those lines
// begins within the data that one call of `put` consumes. Cost: one pass over the head, besides the parser's own.
#include "wire/response_head.h"

#include <string_view>

#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>

namespace heatherdeck {
namespace {

namespace http = boost::beast::http;

constexpr std::size_t max_read_bytes = 64UL * 1024;

bool has_continued_line(std::string_view head) {
  return head.find("\r\n ") != std::string_view::npos || head.find("\r\n\t") != std::string_view::npos;
}

// Parses what is in the buffer, as far as it is complete.
boost::system::error_code parse(boost::beast::flat_buffer& buffer, http::basic_parser<false>& parser) {
  boost::system::error_code ec;
  const auto data = buffer.data();
  const std::size_t consumed = parser.put(data, ec);
  const std::string_view head(static_cast<const char*>(data.data()), consumed);
  if (has_continued_line(head)) return http::error::bad_field;
  buffer.consume(consumed);
  return ec == http::error::need_more ? boost::system::error_code() : ec;
}

}  // namespace

awaitable<boost::system::error_code> read_response_head(boost::asio::ip::tcp::socket& socket,
                                                        boost::beast::flat_buffer& buffer,
                                                        http::basic_parser<false>& parser) {
  parser.eager(false);
  while (true) {
    if (buffer.size() != 0) {
      if (const auto ec = parse(buffer, parser)) co_return ec;
      if (parser.is_header_done()) co_return boost::system::error_code();
    }
    const auto space = buffer.prepare(boost::beast::read_size(buffer, max_read_bytes));
    auto [ec, size] = co_await socket.async_read_some(space, use_tuple);
    buffer.commit(size);
    if (ec == boost::asio::error::eof)
      co_return parser.got_some() ? http::error::partial_message : http::error::end_of_stream;
    if (ec) co_return ec;
  }
}

}  // namespace heatherdeck
