/// @file
/// Small HTTP requests and answers with whole bodies, for the admin, operator and announcement APIs. The proxy does not
/// use these types: it streams bodies.
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
  std::map<std::string, std::string> headers;  ///< besides those of the body
};

/// Answers one request; it may suspend, for example to wait for a change.
using http_handler = std::function<awaitable<http_response>(http_request)>;

/// @return an answer with a JSON body.
http_response json_response(unsigned status, const boost::json::value& body);

/// @return an answer whose body is the error and whose status follows from its kind.
http_response error_response(const error& e);

}  // namespace heatherdeck
