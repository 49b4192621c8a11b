/// @file
/// Streams on which control hosts lend each other permits (stream_kind::loan). Used by permits_service only.
///
///     loan_link link(kernel, mesh, "c2", "10.0.0.3:7001", inbox);    // borrower: one link to each other control host
///     link.post(request);                                            // the answer comes as loan_answered
///     serve_loans(kernel, std::move(incoming), inbox);               // lender: one task for each stream
///
/// A request that cannot be sent at once is dropped: the borrower gives it up after its time-out and asks again.
#pragma once

#include <memory>
#include <string>

#include "kernel/kernel.h"
#include "model/permit_messages.h"
#include "wire/mesh_messages.h"

namespace heatherdeck {

class loan_link {
 public:
  /// @param inbox gets a loan_answered for each answer.
  loan_link(kernel& k, address<mesh_message> mesh, std::string peer_id, std::string mesh_address,
            address<permits_message> inbox);
  ~loan_link();
  loan_link(const loan_link&) = delete;
  loan_link& operator=(const loan_link&) = delete;

  /// Sends a request; does not wait.
  /// @return false when earlier requests are still being sent; the request is dropped then.
  bool post(loan_message request);

  const std::string& mesh_address() const;

 private:
  struct task;
  std::shared_ptr<task> task_;
};

/// Spawns a task that posts the requests of one incoming stream to `inbox` as loan_requested, and writes the answers.
void serve_loans(kernel& k, incoming_stream incoming, address<permits_message> inbox);

}  // namespace heatherdeck
