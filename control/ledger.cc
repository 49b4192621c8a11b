// Each command builds a candidate document, validates it as a whole and only then replaces the current one.
//
// Invariants: the result depends on the state, the index and the command alone (no clock, no random numbers, ordered
// maps), so replicas agree; an accepted document compiles, and its version is higher than every one before; a refused
// command changes nothing but the stored answers. Cost: a copy of the document for each command, parsing of the edited
// sections, and linking of the whole document.
#include "control/ledger.h"

#include <algorithm>
#include <set>
#include <utility>

#include "model/document_digest.h"
#include "model/operator_signature.h"

namespace heatherdeck {
namespace {

command_result refused(error why) { return {{}, {}, std::move(why)}; }

// Collects the current revision of every edited section, and a message on each edit whose base is not current.
struct conflict_finder {
  std::vector<version> current;
  std::string text;

  void check(const section_edit& edit, const document_state& state) {
    const auto found = state.sections.find(edit.name);
    const version now = found == state.sections.end() ? version{} : found->second.revision;
    current.push_back(now);
    if (now == edit.base) return;
    const auto shown = [](const version& v) { return v.none() ? std::string("none") : v.text(); };
    text += (text.empty() ? "" : "; ") + std::string("section '") + edit.name + "': base revision " + shown(edit.base) +
            ", current revision " + shown(now);
  }
};

result<void> check_form(const submission& command) {
  const auto bad = [](std::string text, std::string remedy, std::string where = {}) {
    return fail(error_kind::bad_document, std::move(text), std::move(remedy), std::move(where));
  };
  if (command.edits.empty()) return bad("the submission changes no section", "edit a section first");
  if (command.edits.size() > max_sections) {
    return bad("the submission changes more than " + std::to_string(max_sections) + " sections", "split it");
  }
  std::set<std::string> names;
  for (const section_edit& edit : command.edits) {
    BOOST_LEAF_CHECK(kind_of_section(edit.name));
    if (!names.insert(edit.name).second) {
      return bad("section '" + edit.name + "' is changed twice", "send one text for each section",
                 "section " + edit.name);
    }
  }
  return {};
}

bool same_plan(const rollout_spec& a, const rollout_spec& b) {
  return a.from == b.from && a.to == b.to && a.finish_within == b.finish_within && a.watch_period == b.watch_period &&
         a.max_first_share == b.max_first_share && a.max_exposure == b.max_exposure;
}

basis_points share_of(const compiled_document& document, const std::string& service, const std::string& name) {
  const auto found = document.services.find(service);
  if (found == document.services.end()) return 0;
  for (const version_share& share : found->second.shares) {
    if (share.upstream_version == name) return share.share;
  }
  return 0;
}

bool has_reached_all_traffic(rollout_status status) {
  return status == rollout_status::watching || status == rollout_status::done;
}

bool is_terminal(rollout_status status) {
  return status == rollout_status::done || status == rollout_status::rolled_back;
}

result<void> check_step(const rollout_state& now, const set_rollout_step& step) {
  const auto refuse = [&](std::string text, std::string remedy) {
    return fail(error_kind::conflict, std::move(text), std::move(remedy), "rollout " + step.service);
  };
  if (is_terminal(now.status)) {
    return refuse("the rollout to '" + now.to + "' is already " + std::string(to_name(now.status)),
                  "make a new decision on the current document");
  }
  if (now.status == rollout_status::watching && step.status == rollout_status::running) {
    return refuse("the rollout to '" + now.to + "' already has all traffic",
                  "keep the status watching, or withdraw the version");
  }
  // With status watching the leader may return some traffic to the old version to compare the two.
  const bool begins_watch = step.status == rollout_status::watching && now.status == rollout_status::running;
  const bool needs_all = begins_watch || step.status == rollout_status::done;
  if (step.share > full_share || (needs_all && step.share != full_share)) {
    return refuse("a share of " + std::to_string(step.share) + " is not allowed with the status " +
                      std::string(to_name(step.status)),
                  "use 0 to 10,000 basis points, and 10,000 when the watch begins or the rollout is done");
  }
  return {};
}

}  // namespace

result<ledger> ledger::restore(std::uint64_t epoch, ledger_content content) {
  const version& current = content.document.document_version;
  if (current.epoch > epoch) {
    return fail(error_kind::bad_settings,
                "the stored document has epoch " + std::to_string(current.epoch) + ", the settings say " +
                    std::to_string(epoch),
                "set epoch to " + std::to_string(current.epoch) + " or more on every control host", "epoch");
  }
  ledger restored(epoch);
  restored.content_ = std::move(content);
  if (!restored.content_.document.document_version.none()) {
    const auto compiled = capture([&] { return restored.compiler_.compile(restored.content_.document); });
    if (!compiled) {
      return fail(error_kind::corrupt, "the stored document does not compile: " + compiled.failure().message(),
                  "remove this host's data folder and let it join again");
    }
    restored.compiled_ = *compiled;
  }
  return restored;
}

command_result ledger::apply(std::uint64_t index, const ledger_command& command) {
  if (index <= content_.applied) {
    return refused({error_kind::internal,
                    "entry " + std::to_string(index) + " has been applied already",
                    "report this as a defect",
                    {}});
  }
  content_.applied = index;
  return std::visit([&](const auto& one) { return apply_command(index, one); }, command);
}

command_result ledger::apply_command(std::uint64_t index, const submission& command) {
  if (command.id.empty() || command.id.size() > max_id_bytes || command.operator_name.empty() ||
      command.operator_name.size() > max_id_bytes) {
    return refused({error_kind::usage,
                    "the submission's id or operator is empty or too long",
                    "use 1 to " + std::to_string(max_id_bytes) + " bytes",
                    {}});
  }
  if (auto known = answer_to_resend(command)) return *known;
  conflict_finder conflict;
  for (const section_edit& edit : command.edits) conflict.check(edit, content_.document);
  command_result answer;
  if (!conflict.text.empty()) {
    answer = {{},
              conflict.current,
              {error_kind::conflict, conflict.text, "fetch the document, make the change on it and submit again", {}}};
  } else {
    answer = finish(capture([&] { return apply_edits(index, command); }));
  }
  store_answer(command, answer);
  return answer;
}

command_result ledger::apply_command(std::uint64_t index, const set_rollout_step& command) {
  return finish(capture([&] { return apply_step(index, command); }));
}

command_result ledger::apply_command(std::uint64_t index, const withdraw_version& command) {
  const auto known = content_.document.withdrawn.find({command.service, command.upstream_version});
  if (known != content_.document.withdrawn.end()) return {known->second.withdrawn_in, {}, {}};
  return finish(capture([&] { return apply_withdrawal(index, command); }));
}

command_result ledger::apply_command(std::uint64_t index, const record_departure& command) {
  if (!departure_log::is_valid(command)) {
    return refused({error_kind::usage,
                    "the name of the host or of the target is empty or too long",
                    "use 1 to " + std::to_string(departure_log::max_name_bytes) + " bytes",
                    {}});
  }
  content_.departures.record(index, command);
  return {{epoch_, index}, {}, {}};
}

result<ledger::candidate> ledger::make_candidate(std::uint64_t index) const {
  const version next{epoch_, index};
  if (next <= content_.document.document_version) {
    return fail(error_kind::bad_settings,
                "version " + next.text() + " would not be newer than " + content_.document.document_version.text(),
                "raise epoch in the settings of every control host", "epoch");
  }
  candidate made{content_.document, {}, nullptr};
  made.state.document_version = next;
  made.change.changed_in = next;
  return made;
}

result<ledger::candidate> ledger::apply_edits(std::uint64_t index, const submission& command) {
  BOOST_LEAF_CHECK(check_form(command));
  BOOST_LEAF_AUTO(next, make_candidate(index));
  for (const section_edit& edit : command.edits) {
    next.change.sections.push_back(edit.name);
    if (!edit.text.empty()) {
      next.state.sections[edit.name] = {edit.name, edit.text, next.state.document_version};
    } else if (next.state.sections.erase(edit.name) == 0) {
      return fail(error_kind::bad_document, "section '" + edit.name + "' is to be removed but does not exist",
                  "leave it out of the submission", "section " + edit.name);
    }
  }
  BOOST_LEAF_ASSIGN(next.compiled, compiler_.compile(next.state));
  BOOST_LEAF_CHECK(compiler_.check_not_withdrawn(next.state, next.change.sections));
  BOOST_LEAF_CHECK(update_rollouts(next, command));
  return next;
}

// Starts, changes and ends rollouts to match the rollouts sections of the candidate.
result<void> ledger::update_rollouts(candidate& next, const submission& command) const {
  std::set<std::string> changed;
  for (const auto& [service, progress] : content_.document.rollouts) {
    const auto spec = next.compiled->rollouts.find(service);
    const bool unchanged =
        spec != next.compiled->rollouts.end() && spec->second.from == progress.from && spec->second.to == progress.to;
    if (unchanged) continue;
    BOOST_LEAF_CHECK(check_rollout_end(next, progress, command));
    next.state.rollouts.erase(service);
    changed.insert(service);
  }
  for (const auto& [service, spec] : next.compiled->rollouts) {
    const auto [at, started] = next.state.rollouts.try_emplace(service);
    if (started) {
      at->second = {service, spec.from, spec.to, 0, rollout_status::running, {}, next.state.document_version};
      changed.insert(service);
      continue;
    }
    const auto before = compiled_->rollouts.find(service);
    if (before == compiled_->rollouts.end() || !same_plan(before->second, spec)) changed.insert(service);
  }
  next.change.rollouts.assign(changed.begin(), changed.end());
  return {};
}

// Removing a rollout that has reached all traffic while the shares section still names the old version would move all
// traffic back at once.
result<void> ledger::check_rollout_end(const candidate& next, const rollout_state& ended,
                                       const submission& command) const {
  const auto service = next.compiled->services.find(ended.service);
  if (!has_reached_all_traffic(ended.status) || service == next.compiled->services.end()) return {};
  // With open versions only the rollouts section distinguishes the versions.
  if (service->second.versions_from_announcements) return {};
  if (share_of(*next.compiled, ended.service, ended.to) != 0) return {};
  for (const section_edit& edit : command.edits) {
    if (*kind_of_section(edit.name) == section_kind::shares) return {};
  }
  return fail(error_kind::bad_document,
              "ending the finished rollout would move the traffic of service '" + ended.service + "' from '" +
                  ended.to + "' back to the versions in its shares",
              "set the shares to '" + ended.service + ": { " + ended.to + ": 100 }' in the same submission or before",
              "rollout " + ended.service);
}

result<ledger::candidate> ledger::apply_step(std::uint64_t index, const set_rollout_step& command) {
  BOOST_LEAF_AUTO(next, make_candidate(index));
  const auto found = next.state.rollouts.find(command.service);
  if (found == next.state.rollouts.end() || found->second.to != command.to) {
    return fail(error_kind::not_found,
                "service '" + command.service + "' has no rollout to version '" + command.to + "'",
                "make a new decision on the current document", "rollout " + command.service);
  }
  const auto changed = content_.rollout_changed.find(command.service);
  if (changed != content_.rollout_changed.end() && command.base_version < changed->second) {
    return fail(error_kind::conflict,
                "the rollout changed in version " + changed->second.text() + ", after version " +
                    command.base_version.text() + " on which the step was decided",
                "make a new decision on the current document", "rollout " + command.service);
  }
  BOOST_LEAF_CHECK(check_step(found->second, command));
  found->second.status = command.status;
  found->second.share = command.status == rollout_status::rolled_back ? 0 : command.share;
  next.change.rollouts.push_back(command.service);
  BOOST_LEAF_ASSIGN(next.compiled, compiler_.compile(next.state));
  return next;
}

result<ledger::candidate> ledger::apply_withdrawal(std::uint64_t index, const withdraw_version& command) {
  const std::string where = "service " + command.service;
  const auto service =
      compiled_ ? compiled_->services.find(command.service) : std::map<std::string, service_spec>::const_iterator{};
  if (!compiled_ || service == compiled_->services.end()) {
    return fail(error_kind::not_found, "service '" + command.service + "' does not exist", "check the name", where);
  }
  const std::vector<std::string>& versions = service->second.versions;
  const bool open = service->second.versions_from_announcements;
  if (!open && std::find(versions.begin(), versions.end(), command.upstream_version) == versions.end()) {
    return fail(error_kind::not_found,
                "service '" + command.service + "' has no version '" + command.upstream_version + "'", "check the name",
                where);
  }
  BOOST_LEAF_AUTO(next, make_candidate(index));
  const withdrawn_key key{command.service, command.upstream_version};
  const std::string reason = command.reason.substr(0, max_reason_bytes);
  next.state.withdrawn[key] = {command.service, command.upstream_version, reason, next.state.document_version};
  next.change.withdrawn.push_back(key);
  const auto rollout = next.state.rollouts.find(command.service);
  if (rollout != next.state.rollouts.end() && rollout->second.to == command.upstream_version) {
    rollout->second.status = rollout_status::rolled_back;
    rollout->second.share = 0;
    rollout->second.reason = reason;
    next.change.rollouts.push_back(command.service);
  }
  BOOST_LEAF_ASSIGN(next.compiled, compiler_.compile(next.state));
  if (next.compiled->services.at(command.service).shares.empty()) {
    return fail(
        error_kind::unavailable,
        "version '" + command.upstream_version + "' is the last usable one of service '" + command.service + "'",
        "add another version to the service first", where);
  }
  return next;
}

command_result ledger::finish(outcome<candidate> next) {
  if (!next) return refused(next.failure());
  const version accepted = next->state.document_version;
  commit(std::move(*next));
  return {accepted, {}, {}};
}

void ledger::commit(candidate next) {
  for (const std::string& service : next.change.rollouts) {
    if (next.state.rollouts.contains(service)) {
      content_.rollout_changed[service] = next.state.document_version;
    } else {
      content_.rollout_changed.erase(service);
    }
  }
  content_.history.record(content_.document.document_version, std::move(next.change));
  content_.document = std::move(next.state);
  compiled_ = std::move(next.compiled);
}

const stored_answer* ledger::find_stored(const std::string& operator_name, const std::string& id) const {
  const auto found = content_.answers.find(operator_name);
  if (found == content_.answers.end()) return nullptr;
  const auto same =
      std::find_if(found->second.begin(), found->second.end(), [&](const stored_answer& k) { return k.id == id; });
  return same == found->second.end() ? nullptr : &*same;
}

const command_result* ledger::find(const std::string& operator_name, const std::string& id) const {
  const stored_answer* found = find_stored(operator_name, id);
  return found == nullptr ? nullptr : &found->answer;
}

std::optional<command_result> ledger::answer_to_resend(const submission& command) const {
  const stored_answer* found = find_stored(command.operator_name, command.id);
  if (found == nullptr) return std::nullopt;
  if (found->content == hash64(signed_bytes(command))) return found->answer;
  return refused({error_kind::usage,
                  "the id '" + command.id + "' was used for another submission",
                  "send the change with a new id",
                  {}});
}

void ledger::store_answer(const submission& command, const command_result& answer) {
  std::deque<stored_answer>& stored = content_.answers[command.operator_name];
  stored.push_back({command.id, hash64(signed_bytes(command)), answer});
  if (stored.size() > max_stored_answers) stored.pop_front();
}

}  // namespace heatherdeck
