/// @file
/// Ed25519 signatures of operators over their submissions, and base64 for keys and signatures.
///
///     BOOST_LEAF_AUTO(keys, generate_operator_keys());                 // keys.secret stays with the operator
///     BOOST_LEAF_CHECK(sign_submission(change, keys.secret));          // fills change.signature
///     BOOST_LEAF_CHECK(verify_submission(change, keys.public_key));    // `unauthorised` when it does not match
#pragma once

#include <string>
#include <string_view>

#include "kernel/result.h"
#include "model/ledger_messages.h"

namespace heatherdeck {

/// A key pair; both parts are 32 raw bytes in base64.
struct operator_keys {
  std::string secret;
  std::string public_key;
};

/// @return a new random key pair.
result<operator_keys> generate_operator_keys();

/// @return the public key that belongs to a secret key.
result<std::string> public_key_of(std::string_view secret);

/// Signs all other members of the submission and stores the signature in it.
result<void> sign_submission(submission& change, std::string_view secret);

/// @return `unauthorised` when the signature was not made by this key over this content.
result<void> verify_submission(const submission& change, std::string_view public_key);

/// @return the bytes that the signature covers.
std::string signed_bytes(const submission& change);

/// Base64 of RFC 4648 with padding.
std::string to_base64(std::string_view bytes);

/// @return the bytes, or `bad_message` for anything that is not complete base64.
result<std::string> from_base64(std::string_view text);

}  // namespace heatherdeck
