/// @file
/// Tells whether an event loop is being destroyed.
///
/// When an io_context is destroyed, Asio first abandons the operations that wait on channels and then destroys the
/// coroutines that waited. Destructors inside these coroutines may still try to send; a channel whose waiting operation
/// has been abandoned must not be touched then (Boost 1.81 follows a null pointer).
///
///     const loop_state& loop = loop_state::of(executor);   // after the first channel of the loop was made
///     if (!loop.ended()) channel.try_send(...);
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/execution_context.hpp>

namespace heatherdeck {

/// A service of the io_context. Services shut down in reverse order of creation, so `ended` is true before the channels
/// are abandoned, provided that a channel existed before the first call of `of`.
class loop_state : public boost::asio::execution_context::service {
 public:
  using key_type = loop_state;
  inline static boost::asio::execution_context::id id;  // NOLINT(readability-identifier-naming): Asio asks for it

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
