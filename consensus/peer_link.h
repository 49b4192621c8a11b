/// @file
/// Sends Raft messages to one control host on a long-lived HTTP/2 stream.
///
/// One task per peer owns the stream. Delivery is best effort: a message is dropped while the peer is unreachable, when
/// the queue is full, and when the stream fails; Raft retransmits what is needed. Reconnects use exponential backoff
/// with jitter.
///
///     peer_link link({"c2", "10.0.0.2:7001"}, timers, executor, mesh);
///     link.post(message);
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "model/raft_messages.h"
#include "wire/mesh_messages.h"

namespace heatherdeck {

class peer_link {
 public:
  struct target {
    std::string host_id;
    std::string mesh_address;
    std::uint64_t seed = 1;  ///< of the random generator for the backoff jitter
  };
  /// Totals since the link was created.
  struct counters {
    std::uint64_t sent = 0;      ///< messages written to the stream
    std::uint64_t bytes = 0;     ///< bytes of these messages
    std::uint64_t dropped = 0;   ///< messages not sent
    std::uint64_t connects = 0;  ///< streams opened
    bool connected = false;      ///< a stream is open now
  };

  peer_link(target peer, timer_service& timers, executor_type executor, address<mesh_message> mesh);
  /// Ends the task and its stream.
  ~peer_link();
  peer_link(const peer_link&) = delete;
  peer_link& operator=(const peer_link&) = delete;

  /// Queues a message without waiting; drops it when the queue is full.
  void post(raft_message message);
  /// Closes the stream and its connection, then reconnects after a backoff. The caller decides when a peer that does
  /// not answer needs this.
  void reconnect();

  const std::string& mesh_address() const { return address_; }
  counters current_counters() const;

 private:
  struct task;
  std::string address_;
  std::shared_ptr<task> task_;
};

}  // namespace heatherdeck
