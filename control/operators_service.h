/// @file
/// Service "operators": the operators' API of a control host, HTTP and JSON on `operator_listen`.
///
/// The paths and bodies are described in wire/operator_api.h. This service authorises submissions: the signature and
/// the ownership of every edited section, against the operators in the settings. The ledger decides everything else.
/// Reads need no signature, so `operator_listen` must be on a network that operators can reach and callers cannot.
///
///     curl http://10.0.0.1:7003/v1/status
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "kernel/kernel.h"
#include "model/directory_messages.h"
#include "model/ledger_messages.h"
#include "model/operators_messages.h"
#include "model/publisher_messages.h"
#include "model/rollout_messages.h"
#include "model/settings.h"
#include "wire/http_listener.h"
#include "wire/operator_api.h"

namespace heatherdeck {

/// @param pattern a section name, or a prefix of section names followed by "*".
/// @return true when the pattern matches the name.
bool matches_section(std::string_view pattern, std::string_view section_name);

/// Checks that the operator is in `operators`, has signed the submission and owns every edited section.
/// @return `unauthorised` or `not_owner` with a remedy.
result<void> authorise(const submission& change, const std::vector<operator_settings>& operators);

class operators_service : public service {
 public:
  static constexpr std::chrono::seconds ask_timeout{8};  ///< for the answer of another service
  static constexpr std::chrono::seconds max_wait{60};    ///< upper bound of `wait_ms`
  static constexpr std::size_t mailbox_capacity = 512;

  /// @param s uses operator_listen, operators, control_hosts, id and availability_zone.
  static result<std::unique_ptr<service>> make(const settings& s);

  std::string_view name() const override;
  std::vector<std::string_view> dependencies() const override;
  void publish(kernel& k) override;
  result<void> start(kernel& k) override;
  awaitable<void> drain() override;
  void stop() override;
  boost::json::value dump() const override;

  /// @return the port of the listener, for tests, which listen on port 0; 0 when it does not listen.
  std::uint16_t port() const { return listener_ ? listener_->port() : std::uint16_t{0}; }

 private:
  struct route;
  static const route routes[];
  struct waiter {
    time_point deadline;
    reply<version> answer;
  };

  explicit operators_service(const settings& s) : settings_(s) {}

  awaitable<http_response> serve(http_request request);
  awaitable<http_response> accept_submission(http_request request);
  awaitable<http_response> show_submission(http_request request);
  awaitable<http_response> show_document(http_request request);
  awaitable<http_response> show_section(http_request request);
  awaitable<http_response> show_status(http_request request);
  awaitable<http_response> show_rollouts(http_request request);
  awaitable<http_response> show_dump(http_request request);

  awaitable<outcome<document_state_ptr>> fetch_document(bool confirmed);
  awaitable<outcome<void>> wait_for_change(http_request request);
  awaitable<std::vector<subscriber_status>> fetch_subscribers(http_request request);
  awaitable<std::vector<known_node>> fetch_nodes();
  awaitable<consensus_status> fetch_consensus_status();
  std::string operator_address_of(const std::string& host) const;

  awaitable<void> run();
  void handle(document_changed message);
  void handle(await_newer_version message);
  void answer_waiters(bool all);

  settings settings_;
  version current_;
  std::multimap<version, waiter> waiters_;  // calls that wait for a newer version, by the version they know

  kernel* kernel_ = nullptr;
  std::optional<mailbox<operators_message>> inbox_;
  address<ledger_message> ledger_;
  address<consensus_message> consensus_;
  address<publisher_message> publisher_;
  address<rollout_message> rollout_;
  address<directory_message> directory_;
  std::unique_ptr<http_listener> listener_;
};

}  // namespace heatherdeck
