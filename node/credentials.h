/// @file
/// The credentials in the head of a request: the caller's API key (`authorization: Bearer KEY`), and the field in which
/// an upstream receives the name of the client account.
///
///     add_authorization(head, "Bearer k-7f...");               // head.api_key is the digest of the key
///     remove_credentials(head.headers, dialect);               // before the request is forwarded
///
/// The field `authorization` stays in the head until an upstream has been chosen: only the document says whether the
/// deployment has accounts, and without accounts the field is forwarded.
#pragma once

#include <string_view>

#include "node/message_head.h"

namespace heatherdeck {

/// Adds a field `authorization` to the head. A head with two of them is treated as one with an unknown key.
void add_authorization(request_head& head, std::string_view value);

/// Removes the caller's key and the account that it names, and overwrites their memory.
void remove_credentials(header_list& headers, const http_dialect& dialect);

}  // namespace heatherdeck
