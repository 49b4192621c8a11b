/// @file
/// Detects that an event loop is being destroyed.
///
/// When an io_context is destroyed, Asio first discards the pending operations on channels and then destroys the
/// coroutines that waited for them. Destructors inside these coroutines may still try to send; by then a channel whose
/// pending operation was discarded must not be used (Boost 1.81 dereferences a null pointer).
///
///     const loop_state& loop = loop_state::of(executor);   // after the loop's first channel was created
///     if (!loop.ended()) channel.try_send(...);
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/execution_context.hpp>

namespace heatherdeck {

/// An Asio execution-context service. Asio shuts such services down in reverse order of creation, so `ended` is true
/// before the channels' operations are discarded, provided that a channel was created before the first call of `of`.
class loop_state : public boost::asio::execution_context::service {
 public:
  using key_type = loop_state;
  inline static boost::asio::execution_context::id id;  // NOLINT(readability-identifier-naming): Asio requires it

  explicit loop_state(boost::asio::execution_context& context) : service(context) {}

  static const loop_state& of(const boost::asio::any_io_executor& executor) {
    auto& context = boost::asio::query(executor, boost::asio::execution::context);
    return boost::asio::use_service<loop_state>(context);
  }

  bool ended() const { return ended_; }

 private:
  void shutdown() override { ended_ = true; }

  bool ended_ = false;
};

}  // namespace heatherdeck
