/// @file
/// The replicated state of the control hosts (the document, the stored answers and the departures) as a pure,
/// deterministic state machine: it applies committed commands and returns answers.
///
///     ledger state(epoch);
///     command_result answer = state.apply(entry.index, command);    // the same result on every control host
///     publish(state.document());
///     BOOST_LEAF_AUTO(copy, ledger::restore(epoch, state.content()));
///
/// Owned by the ledger service; tests call it directly. Rules:
/// - every change of the document gets the version {epoch, index of its log entry};
/// - a submission is applied once: the first answer to its id is stored and returned to every resend (the last
///   `max_stored_answers` per operator);
/// - a submission is accepted when every base revision is current, the whole resulting document compiles and no edited
///   section offers a withdrawn version;
/// - a new entry of a rollouts section starts a rollout at share 0; removing the entry ends it;
/// - a rollout step is refused when the rollout has changed since the document version on which it was decided;
/// - a departure changes no document.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "control/departure_log.h"
#include "kernel/result.h"
#include "model/compiled_document.h"
#include "model/document_compiler.h"
#include "model/document_delta.h"
#include "model/ledger_messages.h"

namespace heatherdeck {

/// The stored answer to one submission.
struct stored_answer {
  std::string id;
  std::uint64_t content = 0;  ///< hash of the signed bytes, tells a resend from another change under the same id
  command_result answer;
};

/// The whole replicated state as values; control/ledger_image.h serializes it to an image.
struct ledger_content {
  std::uint64_t applied = 0;  ///< index of the last applied log entry
  document_state document;
  std::map<std::string, version> rollout_changed;  ///< by service: version that last changed the rollout
  document_history history;
  std::map<std::string, std::deque<stored_answer>> answers;  ///< by operator, oldest first
  departure_log departures;
};

class ledger {
 public:
  static constexpr std::size_t max_stored_answers = 4096;  ///< per operator
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
  command_result apply(std::uint64_t index, const ledger_command& command);

  /// Advances the applied index past an entry that holds no command.
  void skip(std::uint64_t index) { content_.applied = index; }

  /// @return the stored answer to a submission, or nothing.
  const command_result* find(const std::string& operator_name, const std::string& id) const;

  /// @return for a known id, what applying the submission would return: the first answer, or a refusal when the content
  /// differs from the first one. Nothing for a new id.
  std::optional<command_result> answer_to_resend(const submission& command) const;

  std::uint64_t applied() const { return content_.applied; }
  const document_state& document() const { return content_.document; }
  /// @return the compiled document; null while there is none.
  const compiled_document_ptr& compiled() const { return compiled_; }
  const departure_log& departures() const { return content_.departures; }
  const document_history& history() const { return content_.history; }
  const ledger_content& content() const { return content_; }

 private:
  // The document that a command would produce, and the names that it changes.
  struct candidate {
    document_state state;
    document_change change;
    compiled_document_ptr compiled;
  };

  command_result apply_command(std::uint64_t index, const submission& command);
  command_result apply_command(std::uint64_t index, const set_rollout_step& command);
  command_result apply_command(std::uint64_t index, const withdraw_version& command);
  command_result apply_command(std::uint64_t index, const record_departure& command);

  result<candidate> make_candidate(std::uint64_t index) const;
  result<candidate> apply_edits(std::uint64_t index, const submission& command);
  result<candidate> apply_step(std::uint64_t index, const set_rollout_step& command);
  result<candidate> apply_withdrawal(std::uint64_t index, const withdraw_version& command);
  result<void> update_rollouts(candidate& next, const submission& command) const;
  result<void> check_rollout_end(const candidate& next, const rollout_state& ended, const submission& command) const;
  command_result finish(outcome<candidate> next);
  void commit(candidate next);
  const stored_answer* find_stored(const std::string& operator_name, const std::string& id) const;
  void store_answer(const submission& command, const command_result& answer);

  std::uint64_t epoch_;
  ledger_content content_;
  document_compiler compiler_;
  compiled_document_ptr compiled_;  // of content_.document; null while there is none
};

}  // namespace heatherdeck
