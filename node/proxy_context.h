/// @file
/// What every session of the proxy knows: addresses of its partners and the process's identity.
#pragma once

#include <memory>
#include <string>

#include "model/traffic_messages.h"
#include "node/dialect.h"
#include "node/pool_messages.h"
#include "wire/mesh_messages.h"

namespace heatherdeck {

struct proxy_context {
  executor_type executor;
  timer_service* timers = nullptr;
  address<traffic_message> traffic;
  address<pool_message> pool;
  address<mesh_message> mesh;                       ///< empty when the process has no mesh
  const http_dialect* dialect = &native_dialect();  ///< of callers and upstreams; outlives the process's services
  std::string caller_service;                       ///< told to upstreams as the origin of this host's requests
  std::string node_id;
  duration idle_timeout = std::chrono::seconds(60);  ///< connections without progress are closed
};

using proxy_context_ptr = std::shared_ptr<const proxy_context>;

}  // namespace heatherdeck
