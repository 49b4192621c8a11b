// JSON responses of the small APIs. The table below is the only place that maps error kinds to HTTP status codes, so
// all APIs use the same. Cost: one serialisation per response.
#include "wire/http_message.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace heatherdeck {
namespace {

struct status_row {
  error_kind kind;
  unsigned status;
};

constexpr unsigned default_status = 500;
constexpr status_row status_table[] = {
    {error_kind::usage, 400},        {error_kind::bad_settings, 400}, {error_kind::bad_document, 422},
    {error_kind::bad_message, 400},  {error_kind::not_owner, 403},    {error_kind::conflict, 409},
    {error_kind::withdrawn, 422},    {error_kind::not_leader, 421},   {error_kind::no_quorum, 503},
    {error_kind::overloaded, 503},   {error_kind::timeout, 504},      {error_kind::unknown_outcome, 504},
    {error_kind::unauthorised, 401}, {error_kind::not_found, 404},    {error_kind::unavailable, 503},
    {error_kind::limit, 413},        {error_kind::stopped, 503},
};

unsigned status_of(error_kind kind) {
  for (const status_row& row : status_table) {
    if (row.kind == kind) return row.status;
  }
  return default_status;
}

}  // namespace

http_response json_response(unsigned status, const boost::json::value& body) {
  return {status, "application/json", boost::json::serialize(body) + "\n"};
}

http_response error_response(const error& e) {
  return json_response(status_of(e.kind), boost::json::object{{"error", to_json(e)}});
}

}  // namespace heatherdeck
