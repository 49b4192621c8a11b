/// @file
/// The record format of the data folder's files: length (4 bytes), CRC-32C (4), type (1), payload; little endian. The
/// checksum covers length, type and payload.
///
///     append_record(buffer, record_type::entry, payload);
///     record_reader reader(bytes);
///     while (auto r = reader.next()) use(r->type, r->payload);
///     if (reader.offset() != bytes.size()) ...             // the record at this offset is incomplete or damaged
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "kernel/enum_names.h"

namespace heatherdeck {

enum class record_type : std::uint8_t {
  store_id = 1,    ///< identity of the store
  hard_state = 2,  ///< term and vote
  entry = 3,       ///< one log entry
  batch_mark = 4,  ///< start of a batch: everything before this offset has been synced
  snapshot = 5,    ///< index, term and blob of a snapshot
};

template <>
struct enum_table<record_type> {
  static constexpr auto entries = std::to_array<enum_entry<record_type>>({
      {record_type::store_id, "store_id"},
      {record_type::hard_state, "hard_state"},
      {record_type::entry, "entry"},
      {record_type::batch_mark, "mark"},
      {record_type::snapshot, "image"},
  });
};

inline constexpr std::size_t record_header_bytes = 9;

/// @return CRC-32C (Castagnoli) of the bytes; `seed` continues an earlier checksum.
std::uint32_t crc32c(std::string_view bytes, std::uint32_t seed = 0);

/// Appends one record to the buffer.
void append_record(std::string& buffer, record_type type, std::string_view payload);

/// Little-endian integers of fixed width.
void append_little_endian(std::string& buffer, std::uint64_t value, int bytes = 8);
std::uint64_t read_little_endian(std::string_view bytes, std::size_t offset, int width = 8);

struct record_view {
  record_type type{};
  std::string_view payload;
  std::size_t offset = 0;  ///< of the record's first byte
};

/// Reads records one after another.
class record_reader {
 public:
  explicit record_reader(std::string_view bytes, std::size_t offset = 0) : bytes_(bytes), offset_(offset) {}

  /// @return the next record; nothing at the end or when the record there is incomplete or damaged.
  std::optional<record_view> next();
  std::size_t offset() const { return offset_; }

  /// @return true when a valid mark lies behind `from`: then everything before that mark had been synced.
  static bool has_batch_mark_after(std::string_view bytes, std::size_t from);

 private:
  std::string_view bytes_;
  std::size_t offset_;
};

}  // namespace heatherdeck
