/// @file
/// Shared, read-only data of all sessions of the proxy: addresses of the services they use, the process's identity and
/// settings. Created by the proxy service at start.
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
  address<mesh_message> mesh;                       ///< empty if the process runs no mesh service
  const http_dialect* dialect = &native_dialect();  ///< of callers and upstreams; static lifetime
  std::string caller_service;                       ///< sent to upstreams as the origin of requests from this host
  std::string node_id;
  duration idle_timeout = std::chrono::seconds(60);  ///< connections without progress for this long are closed
};

using proxy_context_ptr = std::shared_ptr<const proxy_context>;

}  // namespace heatherdeck
