// Tests of the answers to an operator's order that is sent again: an order that may have been accepted must not be
// refused, because the operator takes a refusal as final.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

#include "kernel/kernel.h"
#include "kernel/overloaded.h"
#include "model/ledger_messages.h"
#include "model/raft_messages.h"
#include "model/service_names.h"
#include "platform/configuration_service.h"
#include "wire/http_client.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

const std::string seventh_configuration =
    R"({"version":"00000007","routes":{"r-1":{"host":"a.example","path_prefix":"/x/","kind":"safe","timeout_ms":1000,)"
    R"("objective_ms":250,"priority":2,"attempts":2,"service":"orders"}},"services":{"orders":{"health_path":"/health",)"
    R"("connections":110,"protocol":"h1","tls":false}},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";

/// Service "consensus" of a leader.
class fixed_leader : public service {
 public:
  std::string_view name() const override { return to_name(service_name::consensus); }
  void publish(kernel& k) override {
    inbox_.emplace(k.executor(), 64);
    k.publish(name(), inbox_->address());
  }
  result<void> start(kernel& k) override {
    boost::asio::co_spawn(k.executor(), run(), boost::asio::detached);
    return {};
  }
  void stop() override { inbox_->close(); }
  boost::json::value dump() const override { return nullptr; }

 private:
  awaitable<void> run() {
    for (;;) {
      outcome<consensus_message> message = co_await inbox_->receive();
      if (!message) co_return;
      if (auto* asked = std::get_if<get_consensus_status>(&*message)) {
        asked->answer(consensus_status{.role = raft_role::leader, .has_quorum = true});
      }
    }
  }

  std::optional<mailbox<consensus_message>> inbox_;
};

/// Service "ledger" with a document of version 7. It knows no submission at the first question, as a leader that has
/// not applied it yet, and gives the test's answer to the second one.
class fixed_ledger : public service {
 public:
  outcome<command_result> second_answer = command_result{.accepted_version = {1, 1}};

  std::string_view name() const override { return to_name(service_name::ledger); }
  void publish(kernel& k) override {
    inbox_.emplace(k.executor(), 64);
    k.publish(name(), inbox_->address());
  }
  result<void> start(kernel& k) override {
    boost::asio::co_spawn(k.executor(), run(), boost::asio::detached);
    return {};
  }
  void stop() override { inbox_->close(); }
  boost::json::value dump() const override { return nullptr; }

 private:
  awaitable<void> run() {
    auto document = std::make_shared<document_state>();
    document->sections["label"] = {"label", "\"00000007\"", {1, 1}};
    for (int questions = 0;;) {
      outcome<ledger_message> message = co_await inbox_->receive();
      if (!message) co_return;
      if (auto* read = std::get_if<get_document>(&*message)) read->answer(document_state_ptr(document));
      if (auto* find = std::get_if<find_submission>(&*message)) {
        const bool first = questions++ == 0;
        find->answer(first ? error{error_kind::not_found, "unknown", {}, {}} : second_answer);
      }
    }
  }

  std::optional<mailbox<ledger_message>> inbox_;
};

unsigned status_of_resend(const outcome<command_result>& second_answer) {
  kernel k;
  auto ledger = std::make_unique<fixed_ledger>();
  ledger->second_answer = second_answer;
  EXPECT_TRUE(k.add(std::move(ledger)));
  EXPECT_TRUE(k.add(std::make_unique<fixed_leader>()));
  settings s;
  s.configuration_listen = "127.0.0.1:0";
  auto made = std::move(*configuration_service::make(s));
  const auto& orders = static_cast<const configuration_service&>(*made);
  EXPECT_TRUE(k.add(std::move(made)));
  EXPECT_TRUE(capture([&] { return k.start(); }));
  unsigned status = 0;
  const auto resend = [&]() -> awaitable<void> {
    http_request request{.method = "PUT", .path = "/v1/configuration", .body = seventh_configuration};
    request.headers["X-Base-Version"] = "00000005";
    const auto response = co_await http_call(k.timers(), k.executor(), "127.0.0.1:" + std::to_string(orders.port()),
                                             std::move(request), 5s);
    EXPECT_TRUE(response);
    if (response) status = response->status;
    k.io().stop();
  };
  boost::asio::co_spawn(k.io(), resend, boost::asio::detached);
  k.io().run_for(10s);
  return status;
}

// The ledger did not answer in time, or its mailbox was full: the order may have been accepted, but got 412.
TEST(order_resend, is_not_refused_while_it_is_unknown_whether_it_was_accepted) {
  for (const error_kind kind : {error_kind::timeout, error_kind::overloaded, error_kind::closed}) {
    EXPECT_EQ(status_of_resend(error{kind, "no answer", {}, {}}), 503U) << to_name(kind);
  }
}

TEST(order_resend, accepted_order_is_acknowledged_and_an_unknown_one_conflicts) {
  EXPECT_EQ(status_of_resend(command_result{.accepted_version = {1, 1}}), 200U);
  EXPECT_EQ(status_of_resend(error{error_kind::not_found, "unknown", {}, {}}), 412U);
  EXPECT_EQ(status_of_resend(command_result{.refusal = {error_kind::conflict, "another version", {}, {}}}), 412U);
}

}  // namespace
}  // namespace heatherdeck
