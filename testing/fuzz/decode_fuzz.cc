// One libFuzzer target per decoder; the build defines HD_FUZZED_MESSAGE as the type. Whatever decodes must re-encode to
// bytes that survive another round trip unchanged, so a field that is read and written differently is found too.
//
//     cmake -S . -B build-fuzz -DHD_FUZZ=ON -DCMAKE_CXX_COMPILER=clang++
//     cmake --build build-fuzz --target fuzz_gossip_message
//     build-fuzz/testing/fuzz_gossip_message -runs=100000
#include <cstdlib>

#include "wire/codec.h"

using namespace heatherdeck;

// libFuzzer prescribes the name of the entry point.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const auto first = capture([&] { return decode<HD_FUZZED_MESSAGE>(bytes); });
  if (!first) return 0;
  const std::string encoded = encode(*first);
  const auto second = capture([&] { return decode<HD_FUZZED_MESSAGE>(encoded); });
  if (!second || encode(*second) != encoded) std::abort();
  return 0;
}
