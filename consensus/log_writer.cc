// A thread pool with one thread that owns the store. Invariant: after construction only that thread accesses the store;
// batches and results are passed between the threads as posted functions that own their data. Each batch costs two
// posts.
#include "consensus/log_writer.h"

#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>

namespace heatherdeck {

struct log_writer::worker {
  worker(executor_type owner_executor, log_store owned, callback on_done)
      : owner(std::move(owner_executor)), store(std::move(owned)), done(std::move(on_done)) {}

  executor_type owner;
  log_store store;
  callback done;
  boost::asio::thread_pool pool{1};
};

log_writer::log_writer(executor_type owner, log_store store, callback done)
    : worker_(std::make_unique<worker>(std::move(owner), std::move(store), std::move(done))) {}

log_writer::~log_writer() { worker_->pool.join(); }

void log_writer::write(std::vector<persist_state> batch) {
  boost::asio::post(worker_->pool, [w = worker_.get(), batch = std::move(batch)] {
    const outcome<void> written = capture([&] { return w->store.persist(batch); });
    outcome<std::uint64_t> answer =
        written ? outcome<std::uint64_t>(batch.back().ticket) : outcome<std::uint64_t>(written.failure());
    boost::asio::post(w->owner, [done = w->done, answer = std::move(answer)] { done(answer); });
  });
}

}  // namespace heatherdeck
