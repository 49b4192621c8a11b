/// @file
/// Reads the head of an HTTP/1.1 response for all clients of this process: the proxy and `http_call`.
///
///     http::response_parser<http::string_body> parser;
///     const auto ec = co_await read_response_head(socket, buffer, parser);
///     if (!ec && is_final_status(parser.get().result_int())) ...
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>

#include "kernel/mailbox.h"

namespace heatherdeck {

/// Reads until the parser has the complete head. Data after it stays in the buffer.
/// @param buffer may already hold data of the connection.
/// @param parser a new one; its header limit applies.
/// @return `bad_field` if a line of the head begins with a blank, the parser's error if the head is invalid otherwise,
///   `end_of_stream` or `partial_message` if the connection ends before or within the head, or the socket's error.
awaitable<boost::system::error_code> read_response_head(boost::asio::ip::tcp::socket& socket,
                                                        boost::beast::flat_buffer& buffer,
                                                        boost::beast::http::basic_parser<false>& parser);

}  // namespace heatherdeck
