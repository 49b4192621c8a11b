/// @file
/// Runs a log store on a thread of its own, because fdatasync blocks.
///
/// The owner posts batches to that thread and gets one callback for each batch on its own executor; the threads share
/// no state.
///
///     log_writer writer(executor, std::move(store), [inbox](outcome<std::uint64_t> ticket) { ... });
///     writer.write(batch);        // returns at once; the callback runs on the owner's executor
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "consensus/log_store.h"
#include "kernel/mailbox.h"

namespace heatherdeck {

class log_writer {
 public:
  /// Called on the owner's executor with the batch's last ticket, or with the error that stopped the store.
  using callback = std::function<void(outcome<std::uint64_t>)>;

  log_writer(executor_type owner, log_store store, callback done);
  /// Waits until all queued batches are written.
  ~log_writer();
  log_writer(const log_writer&) = delete;
  log_writer& operator=(const log_writer&) = delete;

  /// Queues a batch, which must not be empty; batches are made durable in the order of the calls.
  void write(std::vector<persist_state> batch);

 private:
  struct worker;
  std::unique_ptr<worker> worker_;
};

}  // namespace heatherdeck
