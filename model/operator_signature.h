/// @file
/// Ed25519 signatures of submissions, and base64 for keys and signatures. The command-line client signs; control hosts
/// verify with the public keys in their settings.
///
///     BOOST_LEAF_AUTO(keys, generate_operator_keys());                 // only the operator keeps keys.secret
///     BOOST_LEAF_CHECK(sign_submission(change, keys.secret));          // fills change.signature
///     BOOST_LEAF_CHECK(verify_submission(change, keys.public_key));    // `unauthorised` if it does not match
#pragma once

#include <string>
#include <string_view>

#include "kernel/result.h"
#include "model/ledger_messages.h"

namespace heatherdeck {

/// An Ed25519 key pair; each key is 32 raw bytes in base64.
struct operator_key_pair {
  std::string secret;
  std::string public_key;
};

/// @return a new random key pair.
result<operator_key_pair> generate_operator_keys();

/// @return the public key that belongs to a secret key.
result<std::string> public_key_of(std::string_view secret);

/// Signs all other fields of the submission and stores the signature in it.
/// @param secret secret key in base64.
result<void> sign_submission(submission& change, std::string_view secret);

/// @param public_key public key in base64.
/// @return `unauthorised` when the signature was not made with this key for this submission.
result<void> verify_submission(const submission& change, std::string_view public_key);

/// @return the bytes that the signature covers.
std::string signed_bytes(const submission& change);

/// @return base64 (RFC 4648) with padding.
std::string to_base64(std::string_view bytes);

/// @return the bytes, or `bad_message` for text that is not base64 with complete padding.
result<std::string> from_base64(std::string_view text);

}  // namespace heatherdeck
