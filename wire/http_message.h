/// @file
/// HTTP requests and responses with complete bodies, for the small APIs behind http_listener.h and for http_client.h.
/// The proxy does not use these types: it streams bodies.
#pragma once

#include <functional>
#include <map>
#include <string>

#include <boost/json/value.hpp>

#include "kernel/mailbox.h"

namespace heatherdeck {

struct http_request {
  std::string method;
  std::string path;                            ///< without the query
  std::map<std::string, std::string> query;    ///< percent-decoded
  std::map<std::string, std::string> headers;  ///< lower-case names
  std::string body;
};

struct http_response {
  unsigned status = 200;
  std::string content_type = "application/json";
  std::string body;
  std::map<std::string, std::string> headers;  ///< in addition to Content-Type and Content-Length
};

/// Handles one request; may suspend, for example to wait for a change.
using http_handler = std::function<awaitable<http_response>(http_request)>;

/// @return a response with a JSON body.
http_response json_response(unsigned status, const boost::json::value& body);

/// @return a response whose JSON body holds the error and whose status follows from the error's kind.
http_response error_response(const error& e);

}  // namespace heatherdeck
