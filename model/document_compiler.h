/// @file
/// Turns a whole document state into the immutable form that traffic decisions use, or says why it cannot be used.
///
///     BOOST_LEAF_AUTO(compiled, compile_document(state));
///
/// A holder that compiles one state after another keeps a `document_compiler`, which parses only sections that changed:
///
///     document_compiler compiler;
///     BOOST_LEAF_AUTO(compiled, compiler.compile(state));
///     BOOST_LEAF_CHECK(compiler.check_offers(state, {"shares", "rollouts.certdesk"}));   // of a new submission
///
/// Effective shares of a service, in this order:
/// 1. the `shares` section, or all traffic to the only version when it says nothing;
/// 2. under a rollout, `to` gets the rollout's share and the other versions divide the rest in proportion to (1);
/// 3. a withdrawn version gets nothing and the remaining ones take its part in proportion; when none remains, the
///    rollout's `from` and then the other versions of the service take it.
/// A service none of whose versions can be used has no shares at all.
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

/// Keeps the parsed sections of the last state; holds no reference to it.
class document_compiler {
 public:
  /// Checks the whole document and compiles it.
  /// @param places where sections stand in a file; sections without a place are named in errors.
  /// @return the compiled document, or `bad_document` with section, line and remedy.
  result<compiled_document_ptr> compile(const document_state& state, const section_places& places = {});

  /// Refuses sections that offer traffic to a withdrawn version. Only the sections of a new submission are checked: an
  /// offer that was accepted before the withdrawal must not keep other operators from submitting.
  /// @param edited names of the sections that the submission changes.
  /// @return `withdrawn` with place and remedy.
  result<void> check_offers(const document_state& state, const std::vector<std::string>& edited);

 private:
  struct cached_section {
    std::string text;
    std::string place;
    std::shared_ptr<const parsed_section> parsed;
  };

  result<std::shared_ptr<const parsed_section>> parsed(const section& s, const section_places& places);

  std::map<std::string, cached_section> cache_;
};

/// Compiles one state; see document_compiler.
result<compiled_document_ptr> compile_document(const document_state& state);

}  // namespace heatherdeck
