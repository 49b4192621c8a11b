// The service checks the settings, publishes the two mailbox addresses and starts the task that owns the state.
// Invariant: nothing here accesses the Raft state; `dump` calls the task, which runs on the same thread.
#include "consensus/consensus_service.h"

#include <utility>

#include <boost/json/object.hpp>

#include "consensus/consensus_task.h"
#include "model/service_names.h"

namespace heatherdeck {

consensus_service::consensus_service(const settings& s) : settings_(s) {}

consensus_service::~consensus_service() {
  if (task_) task_->stop();
}

result<std::unique_ptr<consensus_service>> consensus_service::make(const settings& s) {
  if (s.data_folder.empty()) {
    return fail(error_kind::bad_settings, "a control host needs a data folder, but data_folder is empty",
                "set data_folder to a folder on a durable disk", "data_folder");
  }
  return std::unique_ptr<consensus_service>(new consensus_service(s));
}

std::string_view consensus_service::name() const { return to_name(service_name::consensus); }

std::vector<std::string_view> consensus_service::dependencies() const { return {to_name(service_name::mesh)}; }

void consensus_service::publish(kernel& k) {
  task_ = std::make_shared<task>(k.executor());
  k.publish(name(), task_->requests.address());
  k.publish(name(), task_->streams.address());
}

result<void> consensus_service::start(kernel& k) {
  task::environment env;
  env.owner = &k;
  BOOST_LEAF_ASSIGN(env.mesh, k.find<mesh_message>(to_name(service_name::mesh)));
  BOOST_LEAF_ASSIGN(env.ledger, k.find<ledger_message>(to_name(service_name::ledger)));
  return task_->start(settings_, std::move(env));
}

void consensus_service::stop() { task_->stop(); }

boost::json::value consensus_service::dump() const { return task_ ? task_->describe() : boost::json::object{}; }

}  // namespace heatherdeck
