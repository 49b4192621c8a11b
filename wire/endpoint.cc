// The last colon separates the port, so IPv6 addresses need brackets. Cost: one parse per new connection or datagram
// sent.
#include "wire/endpoint.h"

#include <charconv>

namespace heatherdeck {
namespace {

error bad_endpoint(std::string_view text) {
  return {error_kind::usage, "'" + std::string(text) + "' is not an address", "write it as ip:port or [ipv6]:port",
          std::string(text)};
}

}  // namespace

result<ip_endpoint> parse_endpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return fail(bad_endpoint(text));
  std::string_view ip = text.substr(0, colon);
  const std::string_view port = text.substr(colon + 1);
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') ip = ip.substr(1, ip.size() - 2);
  ip_endpoint parts;
  const auto [end, port_error] = std::from_chars(port.data(), port.data() + port.size(), parts.port);
  if (port_error != std::errc() || end != port.data() + port.size()) return fail(bad_endpoint(text));
  boost::system::error_code ec;
  parts.ip = boost::asio::ip::make_address(std::string(ip), ec);
  if (ec) return fail(bad_endpoint(text));
  return parts;
}

}  // namespace heatherdeck
