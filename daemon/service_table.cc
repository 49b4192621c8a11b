// The one place that knows all services. A row is taken when its role is on; the kernel orders the services by their
// dependencies. Adding a service means adding a row.
#include "daemon/service_table.h"

#include "daemon/admin_service.h"
#include "model/service_names.h"

namespace heatherdeck {
namespace {

struct service_row {
  bool settings::*role;  ///< null: every process runs it
  result<std::unique_ptr<service>> (*make)(const settings&);
};

constexpr service_row service_rows[] = {
    {nullptr, &admin_service::make},
};

}  // namespace

result<void> add_services(kernel& k, const settings& s) {
  for (const service_row& row : service_rows) {
    if (row.role != nullptr && !(s.*row.role)) continue;
    BOOST_LEAF_AUTO(made, row.make(s));
    BOOST_LEAF_CHECK(k.add(std::move(made)));
  }
  return {};
}

}  // namespace heatherdeck
