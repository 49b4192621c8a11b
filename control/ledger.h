/// @file
/// The replicated state as a pure, deterministic state machine: committed commands go in, answers come out.
///
///     ledger state(epoch);
///     command_answer answer = state.apply(entry.index, command);    // same index and command: same result on every
///     host publish(state.document()); ledger copy = ledger::restore(epoch, state.content());
///
/// Owned by the ledger service; tests drive it directly. Rules:
/// - every change of the document gets the version {epoch, index of its entry};
/// - the first answer to a submission's id is kept and given again (the last `kept_answers` per operator);
/// - a submission is accepted when every base revision is current, the whole resulting document compiles and no edited
///   section offers a withdrawn version;
/// - a new entry of a rollouts section starts a rollout at share 0; removing the entry ends it;
/// - a rollout step is refused when the rollout has changed since the version on which it was decided.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "kernel/result.h"
#include "model/compiled_document.h"
#include "model/document_compiler.h"
#include "model/document_delta.h"
#include "model/ledger_messages.h"

namespace heatherdeck {

/// The stored answer to one submission.
struct kept_answer {
  std::string id;
  std::uint64_t content = 0;  ///< hash of the signed bytes, to tell a resend from another change under the same id
  command_answer answer;
};

/// Everything that an image holds, as values; control/ledger_image.h turns it into bytes.
struct ledger_content {
  std::uint64_t applied = 0;
  document_state document;
  std::map<std::string, version> rollout_changed;  ///< by service: version that last changed the rollout
  document_history history;
  std::map<std::string, std::deque<kept_answer>> answers;  ///< by operator, oldest first
};

class ledger {
 public:
  static constexpr std::size_t kept_answers = 4096;
  static constexpr std::size_t max_id_bytes = 128;
  static constexpr std::size_t max_reason_bytes = 512;

  /// @param epoch from the settings; equal on all control hosts.
  explicit ledger(std::uint64_t epoch) : epoch_(epoch) {}

  /// @param content from an image.
  /// @return the ledger; `bad_settings` when the image has a higher epoch than the settings, `corrupt` when its
  /// document does not compile.
  static result<ledger> restore(std::uint64_t epoch, ledger_content content);

  /// Applies a committed command.
  /// @param index index of its log entry; higher than any before.
  command_answer apply(std::uint64_t index, const ledger_command& command);

  /// Notes an entry that holds no command.
  void skip(std::uint64_t index) { content_.applied = index; }

  /// @return the stored answer to a submission, or nothing.
  const command_answer* find(const std::string& operator_name, const std::string& id) const;

  /// @return the answer that applying this submission again would give when its id is known: the first answer, or a
  /// refusal when the content differs. Nothing for a new id.
  std::optional<command_answer> answer_to_resend(const submission& command) const;

  std::uint64_t applied() const { return content_.applied; }
  const document_state& document() const { return content_.document; }
  const document_history& history() const { return content_.history; }
  const ledger_content& content() const { return content_; }

 private:
  // A document that may become the current one, with what it changes.
  struct candidate {
    document_state state;
    document_change change;
    compiled_document_ptr compiled;
  };

  command_answer run(std::uint64_t index, const submission& command);
  command_answer run(std::uint64_t index, const set_rollout_step& command);
  command_answer run(std::uint64_t index, const withdraw_version& command);

  result<candidate> begin(std::uint64_t index) const;
  result<candidate> edited(std::uint64_t index, const submission& command);
  result<candidate> stepped(std::uint64_t index, const set_rollout_step& command);
  result<candidate> withdrawn(std::uint64_t index, const withdraw_version& command);
  result<void> follow_rollouts(candidate& next, const submission& command) const;
  result<void> check_end(const candidate& next, const rollout_state& ended, const submission& command) const;
  command_answer finish(outcome<candidate> next);
  void commit(candidate next);
  const kept_answer* kept(const std::string& operator_name, const std::string& id) const;
  void keep_answer(const submission& command, const command_answer& answer);

  std::uint64_t epoch_;
  ledger_content content_;
  document_compiler compiler_;
  compiled_document_ptr compiled_;  // of content_.document; null while there is none
};

}  // namespace heatherdeck
