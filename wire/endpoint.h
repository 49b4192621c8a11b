/// @file
/// Parses "ip:port"; host names are not resolved, because processes are configured with IP addresses.
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

struct ip_endpoint {
  boost::asio::ip::address ip;
  std::uint16_t port = 0;
};

/// @param text "ip:port" or "[ipv6]:port".
/// @return address and port, or `usage` if the text does not have that form.
result<ip_endpoint> parse_endpoint(std::string_view text);

}  // namespace heatherdeck
