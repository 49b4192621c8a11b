/// @file
/// Parses "ip:port" texts; names are not resolved, because processes know each other by IP number.
///
///     BOOST_LEAF_AUTO(e, parse_endpoint("10.0.0.3:7001"));
///     boost::asio::ip::tcp::endpoint target(e.ip, e.port);
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/asio/ip/address.hpp>

#include "kernel/result.h"

namespace heatherdeck {

struct endpoint_parts {
  boost::asio::ip::address ip;
  std::uint16_t port = 0;
};

/// @param text "ip:port" or "[ipv6]:port".
/// @return the parts, or `usage` when the text is not an address of that form.
result<endpoint_parts> parse_endpoint(std::string_view text);

}  // namespace heatherdeck
