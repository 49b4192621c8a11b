// The dump of the replicated log for operators, and the log line for role changes. Invariant: the dump reports only the
// current state of the task and changes nothing. It costs one pass over the members.
#include <boost/json/array.hpp>

#include "consensus/consensus_task.h"
#include "kernel/log.h"

namespace heatherdeck {

namespace {

std::int64_t to_ms(duration d) { return std::chrono::duration_cast<milliseconds>(d).count(); }

boost::json::object describe_member(const raft_member& member) {
  return {{"host", member.host_id},
          {"store_id", member.store_id},
          {"mesh_address", member.mesh_address},
          {"learner", member.learner}};
}

boost::json::object describe_peer(const peer_progress& peer, time_point now) {
  return {{"match", peer.match},
          {"next", peer.next},
          {"probing", peer.probing},
          {"snapshot_index", peer.snapshot ? peer.snapshot->index : 0},
          {"acknowledged_ms_ago", to_ms(now - peer.acked_round_sent_at)}};
}

}  // namespace

boost::json::object consensus_service::task::describe() const {
  if (!core_) return {};
  const time_point now = timer_service::now();
  const consensus_status status = core_->status(now);
  boost::json::array members;
  for (const raft_member& member : status.voters) members.emplace_back(describe_member(member));
  boost::json::object peers;
  if (status.role == raft_role::leader) {
    for (const auto& [host, peer] : core_->peers().all()) peers[host] = describe_peer(peer, now);
  }
  boost::json::object links;
  for (const auto& [host, link] : links_) {
    const peer_link::counters n = link->current_counters();
    links[host] = boost::json::object{{"connected", n.connected},
                                      {"connects", n.connects},
                                      {"sent", n.sent},
                                      {"bytes", n.bytes},
                                      {"dropped", n.dropped}};
  }
  boost::json::object unadmitted;
  for (const auto& [host, store] : core_->unadmitted_stores()) unadmitted[host] = store;
  return {{"store_id", store_id_},
          {"role", to_name(status.role)},
          {"term", status.term},
          {"leader", status.leader},
          {"quorum", status.has_quorum},
          {"lease_left_ms", to_ms(core_->lease_left(now))},
          {"formed", !status.voters.empty()},
          {"commit", status.commit_index},
          {"applied", core_->applied_index()},
          {"last_index", core_->log().last_index()},
          {"durable", core_->durable_index()},
          {"first_index", core_->log().base_index() + 1},
          {"snapshot_index", core_->snapshot() ? core_->snapshot()->index : 0},
          {"undelivered", undelivered_.size()},
          {"members", std::move(members)},
          {"unadmitted", std::move(unadmitted)},
          {"peers", std::move(peers)},
          {"links", std::move(links)},
          {"failure", failure_ ? failure_->message() : std::string()}};
}

void consensus_service::task::log_role_change() {
  if (core_->role() == logged_role_ && core_->term() == logged_term_ && core_->leader() == logged_leader_) return;
  logged_role_ = core_->role();
  logged_term_ = core_->term();
  logged_leader_ = core_->leader();
  log_event(log_level::info, "raft_role",
            {{"role", to_name(logged_role_)}, {"term", logged_term_}, {"leader", core_->leader()}});
}

}  // namespace heatherdeck
