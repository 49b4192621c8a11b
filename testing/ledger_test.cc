// Tests the ledger: one answer per submission id, no lost update, rollouts that match the document, withdrawn versions
// that are never offered again, and equal states on all control hosts, also after a restore from an image.
#include "control/ledger.h"

#include <gtest/gtest.h>

#include "control/ledger_image.h"
#include "testing/sample_document.h"

namespace heatherdeck {
namespace {

// A ledger with the index of the next log entry, as on one control host.
struct host {
  ledger state{1};
  std::uint64_t next = 1;

  command_result apply(const ledger_command& command) { return state.apply(next++, command); }

  submission change(const std::string& id, std::vector<std::pair<std::string, std::string>> texts) const {
    submission made{id, "amina", {}, {}};
    for (auto& [name, text] : texts) {
      const auto found = state.document().sections.find(name);
      made.edits.push_back({name, text, found == state.document().sections.end() ? version{} : found->second.revision});
    }
    return made;
  }
  command_result submit(const std::string& id, std::vector<std::pair<std::string, std::string>> texts) {
    return apply(change(id, std::move(texts)));
  }
  const rollout_state* rollout() const {
    const auto found = state.document().rollouts.find("certdesk");
    return found == state.document().rollouts.end() ? nullptr : &found->second;
  }
  command_result step(basis_points share, rollout_status status) {
    return apply(set_rollout_step{"certdesk", "v2", share, status, state.document().document_version});
  }
  std::string shares() const {
    const compiled_document_ptr compiled = *capture([&] { return compile_document(state.document()); });
    std::string text;
    for (const version_share& s : compiled->services.at("certdesk").shares) {
      text += (text.empty() ? "" : " ") + s.upstream_version + "=" + std::to_string(s.share);
    }
    return text;
  }
};

host started() {
  host h;
  const section_texts texts = capture([] { return parse_document(sample_text, "sample.yaml"); })->sections;
  EXPECT_TRUE(h.submit("first", {texts.begin(), texts.end()}).ok());
  return h;
}

// Two submissions edit the same base revision: exactly one is accepted, and the refusal names both revisions.
TEST(ledger, second_of_two_racing_submissions_conflicts) {
  host h = started();
  const submission a = h.change("a", {{"limits", "certdesk: { in_flight: 1 }\n"}});
  const submission b = h.change("b", {{"limits", "certdesk: { in_flight: 2 }\n"}});
  EXPECT_TRUE(h.apply(a).ok());
  const command_result refused = h.apply(b);
  ASSERT_FALSE(refused.ok());
  EXPECT_EQ(refused.refusal.kind, error_kind::conflict);
  EXPECT_EQ(refused.refusal.text, "section 'limits': base revision 1.1, current revision 1.2");
  EXPECT_EQ(refused.current_revisions, (std::vector<version>{{1, 2}}));
}

// A resend after a lost answer must not be applied twice, nor be refused as a conflict with itself.
TEST(ledger, resend_gets_the_first_answer_and_other_content_is_refused) {
  host h = started();
  const submission change = h.change("a", {{"limits", "certdesk: { in_flight: 1 }\n"}});
  const command_result first = h.apply(change);
  h.submit("b", {{"limits", "certdesk: { in_flight: 2 }\n"}});
  EXPECT_EQ(h.apply(change).accepted_version, first.accepted_version);
  EXPECT_EQ(h.state.document().sections.at("limits").text, "certdesk: { in_flight: 2 }\n");
  submission other = change;
  other.edits[0].text = "certdesk: { in_flight: 9 }\n";
  EXPECT_EQ(h.apply(other).refusal.kind, error_kind::usage);
}

// A submission with a dangling reference must be refused as a whole: none of its sections may be applied.
TEST(ledger, refused_submission_changes_nothing) {
  host h = started();
  const document_state before = h.state.document();
  const command_result refused =
      h.submit("a", {{"limits", "certdesk: { in_flight: 3 }\n"}, {"routes.b", "- {name: x, service: gone}\n"}});
  EXPECT_EQ(refused.refusal.kind, error_kind::bad_document);
  EXPECT_EQ(refused.refusal.where, "section routes.b:1:22");
  EXPECT_EQ(h.state.document(), before);
  EXPECT_FALSE(h.submit("c", {{"routes.gone", ""}}).ok()) << "a section that does not exist cannot be removed";
  EXPECT_FALSE(h.apply(submission{"d", "amina", {}, {}}).ok());
}

TEST(ledger, rollout_starts_moves_and_ends_with_the_document_and_its_steps) {
  host h = started();
  ASSERT_NE(h.rollout(), nullptr);
  EXPECT_EQ(h.rollout()->status, rollout_status::running);
  EXPECT_EQ(h.rollout()->started_in, (version{1, 1}));
  EXPECT_EQ(h.shares(), "v1=9000 v3=1000");
  const version before = h.state.document().document_version;
  EXPECT_TRUE(h.step(100, rollout_status::running).ok());
  const set_rollout_step late{"certdesk", "v2", 5000, rollout_status::running, before};
  EXPECT_EQ(h.apply(late).refusal.kind, error_kind::conflict) << "a step decided before the last one is refused";
  EXPECT_FALSE(h.step(5000, rollout_status::done).ok()) << "done means all traffic";
  EXPECT_FALSE(h.step(5000, rollout_status::watching).ok()) << "watching starts with all traffic";
  EXPECT_TRUE(h.step(full_share, rollout_status::watching).ok());
  EXPECT_FALSE(h.step(5000, rollout_status::running).ok());
  EXPECT_TRUE(h.step(5000, rollout_status::watching).ok()) << "the share may be lowered to compare the versions";
  EXPECT_FALSE(h.step(5000, rollout_status::done).ok());
  EXPECT_TRUE(h.step(full_share, rollout_status::done).ok());
  EXPECT_EQ(h.shares(), "v2=10000");
  EXPECT_FALSE(h.step(0, rollout_status::running).ok());
  const command_result without_shares = h.submit("end", {{"rollouts", "{}\n"}});
  EXPECT_EQ(without_shares.refusal.kind, error_kind::bad_document) << "all traffic would return to v1";
  EXPECT_TRUE(h.submit("end 2", {{"rollouts", "{}\n"}, {"shares", "certdesk: { v2: 100 }\n"}}).ok());
  EXPECT_EQ(h.rollout(), nullptr);
  EXPECT_EQ(h.shares(), "v2=10000");
}

// Removing a running rollout stops it; a changed plan invalidates steps decided on the old one.
TEST(ledger, operators_change_and_end_a_running_rollout) {
  host h = started();
  EXPECT_TRUE(h.step(100, rollout_status::running).ok());
  const version seen = h.state.document().document_version;
  EXPECT_TRUE(h.submit("plan", {{"rollouts", "certdesk: { from: v1, to: v2, finish_within_s: 60 }\n"}}).ok());
  EXPECT_EQ(h.rollout()->share, 100U);
  EXPECT_EQ(h.apply(set_rollout_step{"certdesk", "v2", 200, rollout_status::running, seen}).refusal.kind,
            error_kind::conflict);
  EXPECT_TRUE(h.submit("stop", {{"rollouts", "{}\n"}}).ok());
  EXPECT_EQ(h.shares(), "v1=9000 v3=1000");
}

// A version that harmed callers must not come back with any later submission.
TEST(ledger, withdrawn_version_is_never_offered_again) {
  host h = started();
  EXPECT_TRUE(h.step(2000, rollout_status::running).ok());
  const command_result withdrawn = h.apply(withdraw_version{"certdesk", "v2", "v2 failed 9 of 100 calls"});
  EXPECT_TRUE(withdrawn.ok());
  EXPECT_EQ(h.apply(withdraw_version{"certdesk", "v2", "again"}).accepted_version, withdrawn.accepted_version);
  EXPECT_EQ(h.rollout()->status, rollout_status::rolled_back);
  EXPECT_EQ(h.rollout()->reason, "v2 failed 9 of 100 calls");
  EXPECT_EQ(h.shares(), "v1=9000 v3=1000");
  EXPECT_TRUE(h.submit("limits", {{"limits", "{}\n"}}).ok()) << "other sections are still accepted";
  const command_result offered = h.submit("again", {{"rollouts", "certdesk: { from: v3, to: v2 }\n"}});
  EXPECT_EQ(offered.refusal.kind, error_kind::withdrawn);
  EXPECT_EQ(offered.refusal.where, "section rollouts:1:27");
  EXPECT_EQ(h.submit("shares", {{"shares", "certdesk: { v1: 99, v2: 1 }\n"}}).refusal.kind, error_kind::withdrawn);
  EXPECT_TRUE(h.apply(withdraw_version{"certdesk", "v3", "failed"}).ok());
  EXPECT_EQ(h.apply(withdraw_version{"certdesk", "v1", "failed"}).refusal.kind, error_kind::unavailable);
  EXPECT_EQ(h.shares(), "v1=10000");
}

// The stored answers must be bounded in number, and must survive a restore.
TEST(ledger, keeps_the_last_answers_of_each_operator_in_the_image) {
  host h = started();
  for (std::size_t i = 0; i < ledger::max_stored_answers + 10; ++i) {
    h.apply(submission{"id-" + std::to_string(i), "juma", {}, {}});
  }
  const auto content = capture([&] { return decode_image(encode_image(h.state.content())); });
  ASSERT_TRUE(content) << content.failure().message();
  const auto copy = capture([&] { return ledger::restore(1, *content); });
  ASSERT_TRUE(copy) << copy.failure().message();
  EXPECT_EQ(copy->content().answers.at("juma").size(), ledger::max_stored_answers);
  EXPECT_EQ(copy->find("juma", "id-9"), nullptr);
  EXPECT_NE(copy->find("juma", "id-10"), nullptr);
  EXPECT_NE(copy->find("amina", "first"), nullptr);
  EXPECT_EQ(encode_image(copy->content()), encode_image(h.state.content()));
}

// After a restart every control host continues from an image: an acknowledged rollout, its progress, withdrawn versions
// and the answers to resent submissions must be in it.
TEST(ledger, rollouts_and_answers_survive_a_restore) {
  for (const bool withdrawn : {false, true}) {
    host h = started();
    const submission order = h.change("order", {{"rollouts", "certdesk: { from: v1, to: v2, finish_within_s: 60 }\n"}});
    const command_result ordered = h.apply(order);
    ASSERT_TRUE(ordered.ok()) << ordered.refusal.message();
    ASSERT_TRUE(h.step(100, rollout_status::running).ok());
    const set_rollout_step outdated{"certdesk", "v2", 5000, rollout_status::running, ordered.accepted_version};
    const submission refused = h.change("refused", {{"routes.b", "- {name: x, service: gone}\n"}});
    const command_result refusal = h.apply(refused);
    ASSERT_FALSE(refusal.ok());
    if (withdrawn) {
      ASSERT_TRUE(h.apply(withdraw_version{"certdesk", "v2", "v2 failed 9 of 100 calls"}).ok());
    }

    const auto content = capture([&] { return decode_image(encode_image(h.state.content())); });
    ASSERT_TRUE(content) << content.failure().message();
    const auto restored = capture([&] { return ledger::restore(1, *content); });
    ASSERT_TRUE(restored) << restored.failure().message();
    host copy{*restored, h.next};
    EXPECT_EQ(copy.state.document(), h.state.document());
    ASSERT_NE(copy.rollout(), nullptr);
    EXPECT_EQ(copy.rollout()->share, h.rollout()->share);
    EXPECT_EQ(copy.rollout()->status, withdrawn ? rollout_status::rolled_back : rollout_status::running);
    EXPECT_EQ(copy.state.document().withdrawn.size(), withdrawn ? 1U : 0U);
    EXPECT_EQ(copy.shares(), h.shares());
    EXPECT_EQ(copy.apply(order).accepted_version, ordered.accepted_version);
    ASSERT_NE(copy.state.find("amina", "refused"), nullptr) << "a later change could make it acceptable";
    EXPECT_EQ(copy.apply(refused).refusal.message(), refusal.refusal.message());
    submission other = order;
    other.edits[0].text = "{}\n";
    EXPECT_EQ(copy.apply(other).refusal.kind, error_kind::usage) << "another content under an accepted id";
    EXPECT_FALSE(copy.apply(outdated).ok()) << "a step decided before the last one is refused";
    EXPECT_EQ(copy.state.document(), h.state.document());
  }
}

record_departure left(const std::string& host, const std::string& target, std::uint64_t sequence) {
  return {host, {target, {1000, sequence}}};
}

// A control host that starts from an image must know the departures that were acknowledged before.
TEST(ledger, departures_survive_a_restore_and_change_no_document) {
  host h = started();
  const version before = h.state.document().document_version;
  ASSERT_TRUE(h.apply(left("n1", "i-1", 5)).ok());
  ASSERT_TRUE(h.apply(left("n1", "i-1", 7)).ok());
  ASSERT_TRUE(h.apply(left("n1", "i-1", 6)).ok()) << "a report that came late";
  ASSERT_TRUE(h.apply(left("n2", "i-1", 1)).ok());
  EXPECT_FALSE(h.apply(left("", "i-1", 1)).ok());
  EXPECT_FALSE(h.apply(left("n1", std::string(departure_log::max_name_bytes + 1, 'x'), 1)).ok());
  EXPECT_EQ(h.state.document().document_version, before);
  const auto content = capture([&] { return decode_image(encode_image(h.state.content())); });
  ASSERT_TRUE(content) << content.failure().message();
  const std::vector<target_departure> wanted{{"i-1", {1000, 7}}};
  EXPECT_EQ(content->departures.of_host("n1"), wanted);
  EXPECT_EQ(content->departures.size(), 2U);
  EXPECT_TRUE(content->departures.contains(left("n1", "i-1", 6)));
  EXPECT_FALSE(content->departures.contains(left("n1", "i-1", 8)));
}

// An image of the release before departures were recorded.
TEST(ledger, image_of_an_earlier_release_is_read) {
  std::string bytes = encode_image(started().state.content());
  constexpr std::size_t no_departures_bytes = 8;
  bytes.replace(bytes.find("image 2"), 7, "image 1");
  bytes.resize(bytes.size() - no_departures_bytes);
  const auto content = capture([&] { return decode_image(bytes); });
  ASSERT_TRUE(content) << content.failure().message();
  EXPECT_EQ(content->document, started().state.document());
  EXPECT_EQ(content->departures.size(), 0U);
}

// The replicated state must not grow with each target that has ever left.
TEST(departure_log, drops_the_oldest_departures_above_its_bounds) {
  departure_log departures;
  for (std::uint64_t i = 1; i <= departure_log::max_per_host + 2; ++i)
    departures.record(i, left("n", "i-" + std::to_string(i), 1));
  EXPECT_EQ(departures.size(), departure_log::max_per_host);
  EXPECT_EQ(departures.of_host("n").front().target, "i-3");
  std::uint64_t index = 1000;
  for (std::size_t host = 0; departures.size() < departure_log::max_departures; ++host)
    departures.record(++index, left("h" + std::to_string(host), "i", 1));
  departures.record(++index, left("last", "i", 1));
  EXPECT_EQ(departures.size(), departure_log::max_departures);
  EXPECT_EQ(departures.of_host("n").front().target, "i-4");
  EXPECT_EQ(departures.of_host("last").size(), 1U);
}

// Versions after a restore must be newer than any version that nodes have; an epoch below that of the image would break
// this.
TEST(ledger, epoch_in_the_settings_must_not_be_lower_than_in_the_image) {
  host h;
  h.state = ledger(2);
  EXPECT_TRUE(h.submit("a", {{"services", "a: { versions: [v1] }\n"}}).ok());
  EXPECT_EQ(h.state.document().document_version, (version{2, 1}));
  EXPECT_EQ(capture([&] { return ledger::restore(1, h.state.content()); }).failure().kind, error_kind::bad_settings);
}

// Corrupt snapshot files must be refused, never read in part. Random damage with seed 3.
TEST(ledger, corrupt_image_is_refused) {
  host h = started();
  h.step(100, rollout_status::running);
  const std::string bytes = encode_image(h.state.content());
  for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
    ASSERT_FALSE(capture([&] { return decode_image(std::string_view(bytes).substr(0, cut)); })) << cut;
  }
  std::mt19937_64 random(3);
  for (int i = 0; i < 2000; ++i) {
    std::string damaged = bytes;
    damaged[random() % damaged.size()] = static_cast<char>(random());
    (void)capture([&] { return decode_image(damaged); });
  }
}

// Applies a random sequence of commands to three replicas, with lagging replicas and restarts.
class schedule {
 public:
  explicit schedule(std::uint64_t seed) : random_(seed), replicas_(3, ledger(1)) {}

  void run(int rounds) {
    for (int i = 0; i < rounds; ++i) {
      append(next_command());
      if (pick(10) == 0) restart(pick(replicas_.size()));
    }
    for (ledger& replica : replicas_) catch_up(replica);
    for (ledger& replica : replicas_) {
      ASSERT_EQ(encode_image(replica.content()), encode_image(replicas_[0].content()));
    }
  }

 private:
  std::uint64_t pick(std::uint64_t bound) { return random_() % bound; }

  // Commits a command; replica 0 applies it at once, the others later.
  void append(ledger_command command) {
    log_.push_back(std::move(command));
    const ledger_command& entry = log_.back();
    const document_state before = replicas_[0].document();
    const command_result answer = replicas_[0].apply(log_.size(), entry);
    check(entry, before, answer);
    for (std::size_t i = 1; i < replicas_.size(); ++i) {
      if (pick(3) == 0) catch_up(replicas_[i]);
    }
  }

  void catch_up(ledger& replica) {
    while (replica.applied() < log_.size()) replica.apply(replica.applied() + 1, log_[replica.applied()]);
  }

  // Restarts a replica from its own image or from that of replica 0.
  void restart(std::size_t at) {
    const ledger& source = pick(2) == 0 ? replicas_[at] : replicas_[0];
    const auto content = capture([&] { return decode_image(encode_image(source.content())); });
    ASSERT_TRUE(content);
    const auto restored = capture([&] { return ledger::restore(1, *content); });
    ASSERT_TRUE(restored) << restored.failure().message();
    replicas_[at] = *restored;
    if (at == 0) catch_up(replicas_[0]);
  }

  ledger_command next_command() {
    const document_state& now = replicas_[0].document();
    switch (pick(8)) {
      case 0:
        if (!sent_.empty()) return sent_[pick(sent_.size())];  // a resend of any earlier submission
        break;
      case 1:
        return set_rollout_step{"a",
                                "v" + std::to_string(pick(6)),
                                static_cast<basis_points>(pick(10'001)),
                                static_cast<rollout_status>(pick(3)),
                                {1, now.document_version.index - pick(3)}};
      case 2:
        return withdraw_version{"a", "v" + std::to_string(pick(6)), "failed"};
      default:
        break;
    }
    return submit_change(pick(2) == 0 ? now : stale_);
  }

  ledger_command submit_change(const document_state& view) {
    submission made{"id-" + std::to_string(sent_.size()), "op-" + std::to_string(pick(3)), {}, {}};
    const auto edit = [&](const std::string& name, std::string text) {
      const auto found = view.sections.find(name);
      made.edits.push_back({name, std::move(text), found == view.sections.end() ? version{} : found->second.revision});
    };
    const std::string a = "v" + std::to_string(pick(6));
    const std::string b = "v" + std::to_string(pick(6));
    if (!view.sections.contains("services")) edit("services", "a: { versions: [v0, v1, v2, v3, v4, v5] }\n");
    if (!view.sections.contains("shares") || pick(2) == 0) edit("shares", "a: { " + a + ": 100 }\n");
    if (pick(2) == 0) edit("rollouts", pick(3) == 0 ? "{}\n" : "a: { from: " + a + ", to: " + b + " }\n");
    if (pick(4) == 0) edit("limits", "a: { in_flight: " + std::to_string(1 + pick(9)) + " }\n");
    if (pick(3) == 0) stale_ = replicas_[0].document();
    sent_.push_back(made);
    return made;
  }

  void check(const ledger_command& command, const document_state& before, const command_result& answer) {
    const document_state& after = replicas_[0].document();
    ASSERT_GE(after.document_version, before.document_version);
    for (const auto& [key, value] : before.withdrawn) ASSERT_EQ(after.withdrawn.at(key), value);
    if (!answer.ok()) {
      ASSERT_EQ(after, before);
    }
    if (!after.document_version.none()) check_shares(after);
    const auto* change = std::get_if<submission>(&command);
    if (change == nullptr) return;
    const std::string key = change->operator_name + "/" + change->id;
    const auto [first, inserted] = answers_.emplace(key, answer);
    ASSERT_EQ(first->second.accepted_version, answer.accepted_version) << key;
    ASSERT_EQ(first->second.refusal.message(), answer.refusal.message()) << key;
    if (!inserted) {
      ASSERT_EQ(after, before) << "a resend was applied again";
    }
  }

  static void check_shares(const document_state& state) {
    const auto compiled = capture([&] { return compile_document(state); });
    ASSERT_TRUE(compiled) << compiled.failure().message();
    const auto& shares = (*compiled)->services.at("a").shares;
    basis_points sum = 0;
    for (const version_share& share : shares) {
      ASSERT_FALSE(state.withdrawn.contains({"a", share.upstream_version}));
      sum += share.share;
    }
    ASSERT_EQ(sum, full_share);
  }

  std::mt19937_64 random_;
  std::vector<ledger> replicas_;
  std::vector<ledger_command> log_;
  std::vector<submission> sent_;
  document_state stale_;
  std::map<std::string, command_result> answers_;
};

// Races, resends, restarts from images and lagging replicas; seeds 1 to 150.
TEST(ledger_schedules, replicas_agree_and_every_id_has_one_answer) {
  for (std::uint64_t seed = 1; seed <= 150 && !testing::Test::HasFailure(); ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    schedule(seed).run(150);
  }
}

}  // namespace
}  // namespace heatherdeck
