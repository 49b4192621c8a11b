// Adapts the overloads of wire/codec.h to a table of functions. Errors become outcomes, because the table's callers run
// on two threads and LEAF keeps errors per thread.
#include "consensus/wire_entry_codec.h"

#include "wire/codec.h"

namespace heatherdeck {

entry_codec wire_entry_codec() {
  return {
      .write_entry = [](const log_entry& entry) { return encode(entry); },
      .read_entry = [](std::string_view bytes) { return capture([&] { return decode<log_entry>(bytes); }); },
      .write_voters = [](const std::vector<voter>& voters) { return encode(voters); },
      .read_voters = [](std::string_view bytes) { return capture([&] { return decode<std::vector<voter>>(bytes); }); },
  };
}

}  // namespace heatherdeck
