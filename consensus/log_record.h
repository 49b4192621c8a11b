/// @file
/// The record format of all files in the data folder: payload length (4 bytes), CRC-32C (4 bytes), type (1 byte),
/// payload; integers are little endian. The checksum covers length, type and payload.
///
///     append_record(buffer, record_type::entry, payload);
///     record_reader reader(bytes);
///     while (auto r = reader.next()) use(r->type, r->payload);
///     if (reader.offset() != bytes.size()) ...  // the record at this offset is incomplete or corrupt
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "kernel/enum_names.h"

namespace heatherdeck {

enum class record_type : std::uint8_t {
  store_id = 1,    ///< random id of the store
  hard_state = 2,  ///< term and vote
  entry = 3,       ///< one log entry
  batch_mark = 4,  ///< start of a batch; holds its own offset: all bytes before it had been synced
  snapshot = 5,    ///< a snapshot: index, term, blob
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

inline constexpr std::size_t record_header_bytes = 9;  ///< length, checksum and type

/// @return the CRC-32C (Castagnoli) of the bytes; `seed` is the checksum of the bytes before them.
std::uint32_t crc32c(std::string_view bytes, std::uint32_t seed = 0);

/// Encodes one record and appends it to the buffer.
void append_record(std::string& buffer, record_type type, std::string_view payload);

/// Appends the lowest `bytes` bytes of the value in little-endian order.
void append_little_endian(std::string& buffer, std::uint64_t value, int bytes = 8);
/// @return the little-endian integer of `width` bytes at `offset`, which must lie within `bytes`.
std::uint64_t read_little_endian(std::string_view bytes, std::size_t offset, int width = 8);

/// A decoded record; `payload` points into the bytes of the reader.
struct record_view {
  record_type type{};
  std::string_view payload;
  std::size_t offset = 0;  ///< of the record's first byte in the file
};

/// Decodes the records of one file in order.
class record_reader {
 public:
  explicit record_reader(std::string_view bytes, std::size_t offset = 0) : bytes_(bytes), offset_(offset) {}

  /// @return the next record; nothing at the end of the bytes or when the next record is incomplete or corrupt.
  std::optional<record_view> next();
  /// @return the offset after the last record that `next` returned.
  std::size_t offset() const { return offset_; }

  /// @return true when a valid batch mark starts after offset `from`, which proves that the bytes before that mark had
  ///     been synced.
  static bool has_batch_mark_after(std::string_view bytes, std::size_t from);

 private:
  std::string_view bytes_;
  std::size_t offset_;
};

}  // namespace heatherdeck
