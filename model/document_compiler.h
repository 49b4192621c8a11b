/// @file
/// Validates a whole document state and compiles it into the immutable form that traffic decisions use.
///
///     BOOST_LEAF_AUTO(compiled, compile_document(state));
///
/// Control hosts compile to validate a submission, nodes to apply a new version. A process that compiles one state
/// after another keeps a `document_compiler`, which parses only the sections that changed:
///
///     document_compiler compiler;
///     BOOST_LEAF_AUTO(compiled, compiler.compile(state));
///     BOOST_LEAF_CHECK(compiler.check_not_withdrawn(state, {"shares", "rollouts.certdesk"}));   // of a new submission
///
/// The effective shares of a service are computed in three steps:
/// 1. the configured shares of the `shares` section, or all traffic for the only version when none are configured;
/// 2. during a rollout, `to` gets the rollout's share and the other versions divide the rest in proportion to (1);
/// 3. a withdrawn version gets nothing and its share is divided among the other versions in proportion to theirs. When
///    no version has a share left, the rollout's `from` gets all traffic, or without it the versions that are not
///    withdrawn divide it evenly.
/// A service whose versions are all withdrawn has no shares.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "kernel/result.h"
#include "model/compiled_document.h"
#include "model/document_parser.h"
#include "model/section_parser.h"

namespace heatherdeck {

/// Caches the parsed sections of the last state; keeps no reference to the state.
class document_compiler {
 public:
  /// Validates and compiles a whole document.
  /// @param places location of each section's text in a file, for errors; a section without one is named instead.
  /// @return the compiled document, or `bad_document` with section, line and remedy.
  result<compiled_document_ptr> compile(const document_state& state, const section_places& places = {});

  /// Refuses sections that give traffic to a withdrawn version. Only the sections of a new submission are checked: a
  /// section that was accepted before the withdrawal must not block the submissions of other operators.
  /// @param edited names of the sections that the submission changes.
  /// @return an error of kind `withdrawn` with location and remedy.
  result<void> check_not_withdrawn(const document_state& state, const std::vector<std::string>& edited);

 private:
  struct cached_section {
    std::string text;
    std::string location;  // file or section name and first line
    std::shared_ptr<const parsed_section> parsed;
  };

  // Returns the section's values from the cache, or parses its text if the text or its location changed.
  result<std::shared_ptr<const parsed_section>> parse_cached(const section& s, const section_places& places);

  std::map<std::string, cached_section> cache_;
};

/// Compiles one state without a cache; see document_compiler.
result<compiled_document_ptr> compile_document(const document_state& state);

}  // namespace heatherdeck
