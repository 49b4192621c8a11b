// Tests the ledger and operators services together: a change is answered after it has been applied, a lost answer is
// found by the submission's id, and the API refuses submissions that are not signed or edit sections of other owners. A
// stub of the consensus service commits at once, or drops its answers when the test says so.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/json/serialize.hpp>
#include <gtest/gtest.h>

#include "control/ledger_service.h"
#include "control/operators_service.h"
#include "model/operator_signature.h"
#include "testing/single_host_control.h"
#include "wire/codec.h"
#include "wire/http_client.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

class control_service : public testing::Test {
 protected:
  control_service() {
    keys = *capture([] { return generate_operator_keys(); });
    settings s;
    s.id = "c1";
    s.operator_listen = "127.0.0.1:0";
    s.control_hosts = {{"c1", "dar-1", "dar", "", "127.0.0.1:1"}, {"c2", "dar-2", "dar", "", "127.0.0.1:2"}};
    s.operators = {{"amina", keys.public_key, {"services", "shares", "routes.*"}}};
    auto log_service = std::make_unique<single_host_consensus>();
    log = log_service.get();
    auto api = std::move(*capture([&] { return operators_service::make(s); }));
    auto ledger = std::move(*capture([&] { return ledger_service::make(s); }));
    operators = static_cast<operators_service*>(api.get());
    EXPECT_TRUE(capture([&] { return k.add(std::move(log_service)); }));
    EXPECT_TRUE(capture([&] { return k.add(std::move(ledger)); }));
    EXPECT_TRUE(capture([&] { return k.add(std::move(api)); }));
    const outcome<void> begun = capture([&] { return k.start(); });
    EXPECT_TRUE(begun) << begun.failure().message();
  }

  // Runs the body of a test on the kernel's thread.
  void run(std::function<awaitable<void>()> body) {
    bool finished = false;
    boost::asio::co_spawn(k.executor(), body(), [&](std::exception_ptr) {
      finished = true;
      k.io().stop();
    });
    k.io().run_for(20s);
    EXPECT_TRUE(finished) << "the body of the test did not finish within 20 s";
  }

  submission change(const std::string& id, std::vector<section_edit> edits) {
    submission made{id, "amina", std::move(edits), {}};
    EXPECT_TRUE(capture([&] { return sign_submission(made, keys.secret); }));
    return made;
  }

  awaitable<http_response> call(http_request request) {
    const std::string at = "127.0.0.1:" + std::to_string(operators->port());
    const duration limit = 10s;
    outcome<http_response> answer = co_await http_call(k.timers(), k.executor(), at, request, limit);
    EXPECT_TRUE(answer) << answer.failure().message();
    co_return answer ? *answer : http_response{0, {}, "{}"};
  }

  awaitable<submission_result> post(submission made) {
    http_request request{"POST", "/v1/submissions", {}, {}, boost::json::serialize(to_json(made))};
    http_response answer = co_await call(request);
    const auto read = capture([&]() -> result<submission_result> {
      BOOST_LEAF_AUTO(body, parse_json(answer.body));
      return from_json<submission_result>(body);
    });
    EXPECT_TRUE(read) << answer.body;
    co_return read ? *read : submission_result();
  }

  operator_key_pair keys;
  kernel k;
  single_host_consensus* log = nullptr;
  operators_service* operators = nullptr;
};

const section_edit services_edit{"services", "a: { versions: [v1, v2] }\n", {}};
const section_edit shares_edit{"shares", "a: { v1: 100 }\n", {}};

// When no other task runs during the replay of the log, a new leader sends no heartbeats and loses its lease.
TEST_F(control_service, other_tasks_run_between_replayed_entries) {
  static constexpr std::uint64_t entries = 40;
  run([this]() -> awaitable<void> {
    const auto ledger = *capture([&] { return k.find<ledger_message>(to_name(service_name::ledger)); });
    apply_entries replayed;
    for (std::uint64_t i = 1; i <= entries; ++i) {
      const ledger_command command = change("id-" + std::to_string(i), {{"services", "a: { versions: [v1] }\n", {}}});
      replayed.entries.push_back({1, i, entry_kind::command, encode(command)});
    }
    ledger.post(std::move(replayed));
    bool done = false;
    boost::asio::co_spawn(
        k.executor(),
        [&]() -> awaitable<void> {
          auto make = [](reply<document_state_ptr> answer) { return get_document{false, std::move(answer)}; };
          const duration limit = 10s;
          (void)co_await ask<document_state_ptr>(k.timers(), k.executor(), ledger, limit, make);
          done = true;
        },
        boost::asio::detached);
    std::uint64_t turns = 0;
    while (!done) {
      co_await boost::asio::post(k.executor(), boost::asio::use_awaitable);
      ++turns;
    }
    EXPECT_GE(turns, entries);
  });
}

TEST_F(control_service, accepts_signed_changes_and_shows_them) {
  run([this]() -> awaitable<void> {
    submission first = change("id-1", {services_edit, shares_edit});
    submission_result answer = co_await post(first);
    EXPECT_EQ(answer.answer.accepted_version, (version{1, 1})) << answer.answer.refusal.message();
    submission second = change("id-2", {{"shares", "a: { v1: 50, v2: 50 }\n", {1, 1}}});
    answer = co_await post(second);
    EXPECT_EQ(answer.answer.accepted_version, (version{1, 2}));
    answer = co_await post(second);
    EXPECT_EQ(answer.answer.accepted_version, (version{1, 2})) << "a resend gets the first answer";
    submission stale = change("id-3", {{"shares", "a: { v2: 100 }\n", {1, 1}}});
    answer = co_await post(stale);
    EXPECT_EQ(answer.answer.refusal.kind, error_kind::conflict);
    EXPECT_EQ(answer.answer.current_revisions, (std::vector<version>{{1, 2}}));
    http_request show{"GET", "/v1/document", {{"confirmed", "true"}}, {}, {}};
    http_response shown = co_await call(show);
    const auto state = capture([&]() -> result<document_state> {
      BOOST_LEAF_AUTO(body, parse_json(shown.body));
      return from_json<document_state>(body);
    });
    EXPECT_TRUE(state);
    EXPECT_EQ(state->sections.at("shares").revision, (version{1, 2}));
  });
}

// A change without a valid signature, or of a section that the operator does not own, must not reach the log.
const section_edit keys_edit{"account_keys.00", R"({"acme":{"api_keys":["secret"]}})", {}};
const section_edit accounts_edit{"accounts", "{}", {}};

// Whoever reaches the API may read it, so it shows no API keys.
TEST_F(control_service, sections_with_api_keys_are_not_shown) {
  run([this]() -> awaitable<void> {
    const auto ledger = *capture([&] { return k.find<ledger_message>(to_name(service_name::ledger)); });
    std::vector<section_edit> edits{keys_edit, accounts_edit};
    const ledger_command command = change("id-1", std::move(edits));
    apply_entries committed;
    committed.entries.push_back({1, 1, entry_kind::command, encode(command)});
    ledger.post(std::move(committed));
    http_request document{"GET", "/v1/document", {}, {}, {}};
    http_response shown = co_await call(document);
    EXPECT_NE(shown.body.find("\"accounts\""), std::string::npos) << shown.body;
    EXPECT_EQ(shown.body.find("account_keys"), std::string::npos) << shown.body;
    http_request section{"GET", "/v1/section", {{"name", "account_keys.00"}}, {}, {}};
    shown = co_await call(section);
    EXPECT_EQ(shown.status, 404U);
    EXPECT_EQ(shown.body.find("secret"), std::string::npos) << shown.body;
    EXPECT_EQ(boost::json::serialize(k.dump()).find("secret"), std::string::npos);
  });
}

// The receipt of a departure must mean that it is committed, and never come before that.
TEST_F(control_service, departure_is_answered_once_it_is_committed) {
  run([this]() -> awaitable<void> {
    const auto ledger = *capture([&] { return k.find<ledger_message>(to_name(service_name::ledger)); });
    const record_departure command{"n1", {"i-1", {100, 7}}};
    const auto submit_command = [&](reply<std::uint64_t> answer) {
      return submit_departure{command, std::move(answer)};
    };
    const duration limit = 500ms;
    log->mode = commit_mode::not_leader;
    auto refused = co_await ask<std::uint64_t>(k.timers(), k.executor(), ledger, limit, submit_command);
    EXPECT_FALSE(refused) << "no leader has taken it";
    log->mode = commit_mode::commit;
    auto recorded = co_await ask<std::uint64_t>(k.timers(), k.executor(), ledger, limit, submit_command);
    EXPECT_TRUE(recorded);
    log->mode = commit_mode::not_leader;
    recorded = co_await ask<std::uint64_t>(k.timers(), k.executor(), ledger, limit, submit_command);
    EXPECT_TRUE(recorded) << "it is recorded already";
    const auto get = [](reply<host_departures> answer) { return get_departures{{"n1", "n2"}, std::move(answer)}; };
    const auto found = co_await ask<host_departures>(k.timers(), k.executor(), ledger, limit, get);
    EXPECT_TRUE(found);
    const host_departures wanted{{"n1", {command.departure}}};
    EXPECT_EQ(found ? *found : host_departures{}, wanted);
  });
}

TEST_F(control_service, refuses_changes_that_are_not_signed_or_not_owned) {
  run([this]() -> awaitable<void> {
    submission altered = change("id-1", {services_edit});
    altered.edits[0].text += "# more\n";
    submission_result answer = co_await post(altered);
    EXPECT_EQ(answer.answer.refusal.kind, error_kind::unauthorised);
    submission foreign = change("id-2", {services_edit, {"limits", "{}\n", {}}});
    answer = co_await post(foreign);
    EXPECT_EQ(answer.answer.refusal.kind, error_kind::not_owner);
    EXPECT_EQ(answer.answer.refusal.where, "section limits");
    submission unknown = change("id-3", {services_edit});
    unknown.operator_name = "juma";
    answer = co_await post(unknown);
    EXPECT_EQ(answer.answer.refusal.kind, error_kind::unauthorised);
    http_request garbage{"POST", "/v1/submissions", {}, {}, "{\"id\":1}"};
    http_response refused = co_await call(garbage);
    EXPECT_EQ(refused.status, 400U);
    http_request show{"GET", "/v1/document", {}, {}, {}};
    http_response shown = co_await call(show);
    EXPECT_NE(shown.body.find("\"version\":\"0.0\""), std::string::npos) << shown.body;
  });
}

// An entry that the codec cannot decode would stop every control host, again after each restart.
TEST_F(control_service, oversized_submission_never_reaches_the_log) {
  run([this]() -> awaitable<void> {
    submission big = change("id-1", {services_edit, {"shares", std::string(max_section_bytes + 1, '#') + "\n", {}}});
    submission_result answer = co_await post(big);
    EXPECT_EQ(answer.answer.refusal.kind, error_kind::limit) << answer.answer.refusal.message();
    std::vector<section_edit> many;
    many.reserve(100);
    for (int i = 0; i < 100; ++i) {
      many.push_back({"routes.r" + std::to_string(i), std::string(max_section_bytes - 8, '#') + "\n", {}});
    }
    submission long_one = change("id-2", many);
    answer = co_await post(long_one);
    EXPECT_EQ(answer.answer.refusal.kind, error_kind::limit) << answer.answer.refusal.message();
    submission good = change("id-3", {services_edit, shares_edit});
    answer = co_await post(good);
    EXPECT_EQ(answer.answer.accepted_version, (version{1, 1})) << answer.answer.refusal.message();
  });
}

// An operator who has lost the answer must be able to look it up by the submission's id.
TEST_F(control_service, lost_answer_is_found_by_id) {
  run([this]() -> awaitable<void> {
    log->mode = commit_mode::commit_without_answer;
    submission made = change("id-1", {services_edit, shares_edit});
    submission_result answer = co_await post(made);
    EXPECT_EQ(answer.answer.accepted_version, (version{1, 1}))
        << "the id is known although the answer to its commit was lost";
    http_request find{"GET", "/v1/submission", {{"operator", "amina"}, {"id", "id-1"}}, {}, {}};
    http_response found = co_await call(find);
    EXPECT_EQ(found.body, "{\"accepted\":\"1.1\"}\n");
    find.query["id"] = "id-2";
    found = co_await call(find);
    EXPECT_EQ(found.status, 404U);
  });
}

TEST_F(control_service, refusal_names_the_leader) {
  run([this]() -> awaitable<void> {
    log->mode = commit_mode::not_leader;
    submission made = change("id-1", {services_edit});
    submission_result answer = co_await post(made);
    EXPECT_EQ(answer.answer.refusal.kind, error_kind::not_leader);
    EXPECT_EQ(answer.leader, "127.0.0.1:2");
  });
}

// A call that waits for a change must be answered at once, not at its time limit.
TEST_F(control_service, waiting_call_is_answered_by_the_change) {
  run([this]() -> awaitable<void> {
    submission made = change("id-1", {services_edit, shares_edit});
    const time_point begun = timer_service::now();
    boost::asio::co_spawn(
        k.executor(), [this, made]() -> awaitable<void> { (void)co_await post(made); }, boost::asio::detached);
    http_request watch{"GET", "/v1/rollouts", {{"after", "0.0"}, {"wait_ms", "9000"}}, {}, {}};
    http_response changed = co_await call(watch);
    EXPECT_NE(changed.body.find("\"version\":\"1.1\""), std::string::npos) << changed.body;
    EXPECT_LT(timer_service::now() - begun, 5s);
  });
}

}  // namespace
}  // namespace heatherdeck
