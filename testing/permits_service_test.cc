// The fleet-wide rate limit with real services on loopback: a node asks on its subscription, its control host borrows
// from another one over the mesh, and refuses what is over the limit. A fault in the wiring would leave requests
// without an answer.
#include "control/permits_service.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

#include "control/ledger_service.h"
#include "control/publisher_service.h"
#include "node/subscriber_service.h"
#include "testing/single_host_control.h"
#include "traffic/permit_store.h"
#include "wire/codec.h"
#include "wire/mesh_service.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

// Service "traffic" of the node: only its permits.
class permit_user : public service {
 public:
  std::string_view name() const override { return to_name(service_name::traffic); }
  void publish(kernel& k) override {
    inbox_.emplace(k.executor(), 64);
    k.publish(name(), inbox_->address());
  }
  result<void> start(kernel& k) override {
    BOOST_LEAF_ASSIGN(subscriber_, k.find<subscriber_message>(to_name(service_name::subscriber)));
    tick_ = k.timers().every(5ms, [inbox = inbox_->address()] { inbox.post(answers_due{}); });
    boost::asio::co_spawn(k.executor(), run(), boost::asio::detached);
    return {};
  }
  void stop() override {
    tick_.cancel();
    inbox_->close();
  }
  boost::json::value dump() const override { return nullptr; }

  void take(int requests) {
    for (int i = 0; i < requests; ++i) {
      permit_take taken = store.take(timer_service::now(), "acme", ++last_waiter_);
      if (const auto* drawn = std::get_if<permit>(&taken)) use(*drawn);
      if (const auto* refused = std::get_if<permit_refusal>(&taken)) refuse(*refused);
    }
  }

  permit_store store;
  int sent = 0;
  int over_limit = 0;
  int unavailable = 0;
  milliseconds longest_retry{0};

 private:
  awaitable<void> run() {
    for (;;) {
      outcome<traffic_message> message = co_await inbox_->receive();
      if (!message) co_return;
      const time_point now = timer_service::now();
      if (const auto* source = std::get_if<permit_source_changed>(&*message)) store.set_source(now, source->stream);
      if (const auto* answer = std::get_if<permit_answer>(&*message)) store.apply(now, *answer);
      for (const permit_decision& d : store.take_decisions(now)) {
        if (const auto* drawn = std::get_if<permit>(&d.result)) use(*drawn);
        if (const auto* refused = std::get_if<permit_refusal>(&d.result)) refuse(*refused);
      }
      if (auto request = store.take_request(now)) {
        subscriber_.post(send_permit_request{store.source(), std::move(*request)});
      }
    }
  }
  void use(const permit& drawn) { sent += store.spend(timer_service::now(), drawn) ? 1 : 0; }
  void refuse(const permit_refusal& refused) {
    ++(refused.over_limit ? over_limit : unavailable);
    longest_retry = std::max(longest_retry, refused.retry_after);
  }

  std::optional<mailbox<traffic_message>> inbox_;
  address<subscriber_message> subscriber_;
  subscription tick_;
  std::uint64_t last_waiter_ = 0;
};

settings settings_of(const std::string& id) {
  settings s;
  s.id = id;
  s.availability_zone = "dar-1";
  s.region = "dar";
  s.mesh_key = "secret";
  s.mesh_listen = "127.0.0.1:0";
  s.seed = 3;
  return s;
}

template <class Service>
Service* add_to(kernel& k, std::unique_ptr<Service> made) {
  Service* added = made.get();
  EXPECT_TRUE(capture([&] { return k.add(std::move(made)); }));
  return added;
}

struct control_host_process {
  explicit control_host_process(const std::string& id, const settings& s = settings_of("")) : own(s) {
    own.id = id;
    log = add_to(k, std::make_unique<single_host_consensus>());
    mesh = add_to(k, std::move(*capture([&] { return mesh_service::make(own); })));
    add_to(k, std::move(*capture([&] { return ledger_service::make(own); })));
    permits = add_to(k, std::move(*capture([&] { return permits_service::make(own); })));
    add_to(k, std::move(*capture([&] { return publisher_service::make(own); })));
    const outcome<void> begun = capture([&] { return k.start(); });
    EXPECT_TRUE(begun) << begun.failure().message();
  }
  std::string where() const { return "127.0.0.1:" + std::to_string(mesh->port()); }
  void set_limit(double rate) {
    auto document = std::make_shared<compiled_document>();
    document->accounts["acme"] = {.name = "acme", .rate_per_s = rate, .burst = rate};
    auto inbox = *capture([&] { return k.find<permits_message>(to_name(service_name::permits)); });
    EXPECT_TRUE(inbox.post(limits_changed{document}));
  }
  double total(const char* name) const { return permits->dump().at(name).to_number<double>(); }

  settings own;
  kernel k;
  single_host_consensus* log = nullptr;
  mesh_service* mesh = nullptr;
  permits_service* permits = nullptr;
};

TEST(permits_service, a_node_gets_permits_that_its_control_host_has_borrowed) {
  control_host_process c1("c1");
  control_host_process c2("c2");
  c1.log->voters = c2.log->voters = {{"c1", "s1", c1.where(), false}, {"c2", "s2", c2.where(), false}};
  settings own = settings_of("n1");
  own.control_hosts = {{"c1", "dar-1", "dar", c1.where(), ""}};
  kernel node;
  permit_user* user = add_to(node, std::make_unique<permit_user>());
  add_to(node, std::move(*capture([&] { return mesh_service::make(own); })));
  add_to(node, std::move(*capture([&] { return subscriber_service::make(own); })));
  ASSERT_TRUE(capture([&] { return node.start(); }));
  const auto run_until = [&](duration limit, const std::function<bool()>& condition) {
    const time_point end = timer_service::now() + limit;
    while (timer_service::now() < end && !condition()) {
      for (kernel* k : {&c1.k, &c2.k, &node}) k->io().run_one_for(1ms);
    }
    return condition();
  };
  ASSERT_TRUE(run_until(10s, [&] { return user->store.source() != 0; })) << "the node has not subscribed";
  for (control_host_process* host : {&c1, &c2}) host->set_limit(100);
  run_until(800ms, [] { return false; });  // a share of 50 permits a second at each host

  user->take(38);
  EXPECT_TRUE(run_until(2s, [&] { return user->sent + user->over_limit + user->unavailable == 38; }));
  EXPECT_GE(user->sent, 36) << "over limit " << user->over_limit << ", unavailable " << user->unavailable;

  // Far over the limit: some are refused at once, and told when to come back.
  for (int i = 0; i < 40; ++i) {
    user->take(20);
    run_until(20ms, [] { return false; });
  }
  EXPECT_GT(user->over_limit, 100);
  EXPECT_GT(user->longest_retry, 0ms);
  EXPECT_GT(c1.total("borrowed"), 0);
  EXPECT_LE(c1.total("borrowed"), c2.total("lent") + 0.001) << "a loan was counted twice";
  EXPECT_NEAR(c2.total("lent"), c1.total("borrowed"), 5) << "loans lost: " << c1.total("loans_lost");
  EXPECT_LE(user->sent, (5 * 100 + 100) * 1.1 + 20);
}

}  // namespace
}  // namespace heatherdeck
