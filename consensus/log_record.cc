// Encoding and decoding of checksummed records. Invariant: `next` returns a record only when its length, type and
// payload match the checksum, so a torn or corrupt record is never used. The checksum costs one table lookup per byte,
// which is enough because a batch has only a few kilobytes.
#include "consensus/log_record.h"

#include <array>

namespace heatherdeck {

namespace {

constexpr std::uint32_t castagnoli_polynomial = 0x82F63B78U;  // bit-reversed

constexpr std::array<std::uint32_t, 256> crc_table = [] {
  std::array<std::uint32_t, 256> table{};
  for (std::uint32_t i = 0; i < table.size(); ++i) {
    std::uint32_t value = i;
    for (int bit = 0; bit < 8; ++bit) value = (value >> 1U) ^ ((value & 1U) != 0 ? castagnoli_polynomial : 0U);
    table[i] = value;
  }
  return table;
}();

std::uint32_t record_checksum(std::string_view length, std::string_view type_and_payload) {
  return crc32c(type_and_payload, crc32c(length));
}

}  // namespace

std::uint32_t crc32c(std::string_view bytes, std::uint32_t seed) {
  std::uint32_t value = ~seed;
  for (const char c : bytes) value = (value >> 8U) ^ crc_table[(value ^ static_cast<unsigned char>(c)) & 0xFFU];
  return ~value;
}

void append_little_endian(std::string& buffer, std::uint64_t value, int bytes) {
  for (int i = 0; i < bytes; ++i) buffer += static_cast<char>((value >> (8 * i)) & 0xFFU);
}

std::uint64_t read_little_endian(std::string_view bytes, std::size_t offset, int width) {
  std::uint64_t value = 0;
  for (int i = 0; i < width; ++i) {
    value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[offset + static_cast<std::size_t>(i)]))
             << (8 * i);
  }
  return value;
}

void append_record(std::string& buffer, record_type type, std::string_view payload) {
  const std::size_t start = buffer.size();
  append_little_endian(buffer, payload.size(), 4);
  append_little_endian(buffer, 0, 4);
  buffer += static_cast<char>(type);
  buffer += payload;
  const std::string_view record = std::string_view(buffer).substr(start);
  std::string checksum;
  append_little_endian(checksum, record_checksum(record.substr(0, 4), record.substr(8)), 4);
  buffer.replace(start + 4, 4, checksum);
}

std::optional<record_view> record_reader::next() {
  const std::string_view rest = bytes_.substr(offset_);
  if (rest.size() < record_header_bytes) return std::nullopt;
  const std::uint64_t length = read_little_endian(rest, 0, 4);
  if (length > rest.size() - record_header_bytes) return std::nullopt;
  const std::string_view checked = rest.substr(8, 1 + length);
  if (record_checksum(rest.substr(0, 4), checked) != read_little_endian(rest, 4, 4)) return std::nullopt;
  const record_view found{static_cast<record_type>(checked[0]), checked.substr(1), offset_};
  offset_ += record_header_bytes + length;
  return found;
}

bool record_reader::has_batch_mark_after(std::string_view bytes, std::size_t from) {
  constexpr std::size_t batch_mark_bytes = record_header_bytes + 8;
  for (std::size_t at = from + 1; at + batch_mark_bytes <= bytes.size(); ++at) {
    if (read_little_endian(bytes, at, 4) != 8 || bytes[at + 8] != static_cast<char>(record_type::batch_mark)) continue;
    const auto found = record_reader(bytes, at).next();
    if (found && read_little_endian(found->payload, 0) == at) return true;
  }
  return false;
}

}  // namespace heatherdeck
