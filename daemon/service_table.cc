// The list of all services of the daemon; a new service needs one new row. Invariant: a service is added only if its
// role is enabled. The order of the rows does not matter, as the kernel sorts the services by their dependencies.
#include "daemon/service_table.h"

#include "consensus/consensus_service.h"
#include "control/ledger_service.h"
#include "control/operators_service.h"
#include "control/permits_service.h"
#include "control/publisher_service.h"
#include "control/rollout_service.h"
#include "daemon/admin_service.h"
#include "node/announcement_service.h"
#include "node/directory_service.h"
#include "node/pool_service.h"
#include "node/proxy_service.h"
#include "node/quarantine_service.h"
#include "node/subscriber_service.h"
#include "platform/configuration_service.h"
#include "platform/dialect.h"
#include "traffic/traffic_service.h"
#include "wire/mesh_service.h"

namespace heatherdeck {
namespace {

struct service_row {
  bool settings::*role;  ///< setting that enables the service; null: always enabled
  result<std::unique_ptr<service>> (*make)(const settings&);
};

/// Adapts the factory of a concrete service to one that returns the interface.
template <class Service>
result<std::unique_ptr<service>> make_service(const settings& s) {
  BOOST_LEAF_AUTO(made, Service::make(s));
  return std::unique_ptr<service>(std::move(made));
}

result<std::unique_ptr<service>> make_proxy(const settings& s) { return proxy_service::make(s, dialect_of(s.dialect)); }

constexpr service_row service_rows[] = {
    {nullptr, &make_service<admin_service>},
    {nullptr, &make_service<mesh_service>},
    {&settings::is_control, &make_service<consensus_service>},
    {&settings::is_control, &make_service<ledger_service>},
    {&settings::is_control, &make_service<permits_service>},
    {&settings::is_control, &make_service<publisher_service>},
    {&settings::is_control, &make_service<rollout_service>},
    {&settings::is_control, &make_service<operators_service>},
    {&settings::serves_configurations, &make_service<configuration_service>},
    {&settings::is_node, &make_service<traffic_service>},
    {&settings::is_node, &make_service<subscriber_service>},
    {&settings::is_node, &make_service<pool_service>},
    {&settings::is_node, &make_proxy},
    {&settings::is_node, &make_service<announcement_service>},
    {nullptr, &make_service<quarantine_service>},
    {nullptr, &make_service<directory_service>},
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
