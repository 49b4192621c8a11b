// Encodes a snapshot as one blob and decodes it, so that files and chunks on the wire hold the same bytes. Invariant: a
// blob is the 4-byte length of the membership, the membership and the image; `state_offset` is the offset of the image.
#include "consensus/raft_types.h"

#include <utility>

namespace heatherdeck {

snapshot_ptr make_snapshot(const entry_codec& codec, std::uint64_t index, std::uint64_t term,
                           std::vector<raft_member> voters, std::string_view state) {
  auto made = std::make_shared<snapshot>();
  made->index = index;
  made->term = term;
  const std::string membership = codec.encode_voters(voters);
  for (int shift = 0; shift < 32; shift += 8) made->blob += static_cast<char>(membership.size() >> shift);
  made->blob += membership;
  made->state_offset = made->blob.size();
  made->blob += state;
  made->voters = std::move(voters);
  return made;
}

result<snapshot_ptr> parse_snapshot(const entry_codec& codec, std::uint64_t index, std::uint64_t term,
                                    std::string blob) {
  std::size_t length = 0;
  for (std::size_t i = 0; i < 4 && blob.size() >= 4; ++i) {
    length |= static_cast<std::size_t>(static_cast<unsigned char>(blob[i])) << (8 * i);
  }
  if (blob.size() < 4 || length > blob.size() - 4) {
    return fail(error_kind::corrupt, "the membership in the snapshot is longer than the snapshot",
                "start this host with an empty data folder and add it as a new member");
  }
  auto parsed = std::make_shared<snapshot>();
  parsed->index = index;
  parsed->term = term;
  BOOST_LEAF_ASSIGN(parsed->voters, to_result(codec.decode_voters(std::string_view(blob).substr(4, length))));
  parsed->state_offset = 4 + length;
  parsed->blob = std::move(blob);
  return snapshot_ptr(std::move(parsed));
}

}  // namespace heatherdeck
