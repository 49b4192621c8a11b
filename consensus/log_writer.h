/// @file
/// Runs a log store on a thread of its own, because fdatasync blocks.
///
/// The owner hands over batches by message and gets one message back for each; nothing is shared between the threads.
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
  /// Called on the owner's executor with the batch's last ticket, or with the error that ended the store's work.
  using callback = std::function<void(outcome<std::uint64_t>)>;

  log_writer(executor_type owner, log_store store, callback done);
  /// Waits for the batch under way.
  ~log_writer();
  log_writer(const log_writer&) = delete;
  log_writer& operator=(const log_writer&) = delete;

  /// Queues a batch; batches are made durable in order.
  void write(std::vector<persist_state> batch);

 private:
  struct worker;
  std::unique_ptr<worker> worker_;
};

}  // namespace heatherdeck
