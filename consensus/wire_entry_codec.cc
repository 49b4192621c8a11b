// Adapts the overloads of wire/codec.h to a table of functions. Errors are returned as outcomes, because the functions
// are called on two threads and Boost.LEAF stores errors per thread.
#include "consensus/wire_entry_codec.h"

#include "wire/codec.h"

namespace heatherdeck {

entry_codec wire_entry_codec() {
  return {
      .encode_entry = [](const log_entry& entry) { return encode(entry); },
      .decode_entry = [](std::string_view bytes) { return capture([&] { return decode<log_entry>(bytes); }); },
      .encode_voters = [](const std::vector<raft_member>& voters) { return encode(voters); },
      .decode_voters =
          [](std::string_view bytes) { return capture([&] { return decode<std::vector<raft_member>>(bytes); }); },
  };
}

}  // namespace heatherdeck
