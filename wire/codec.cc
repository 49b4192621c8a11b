// The functions that all parts of the codec share: parsing with a size limit, and compression of section texts.
// Invariant: nothing larger than max_message_bytes is parsed, and decompression never writes more than the declared
// size, which is checked against the limits of model/document.h first. Cost: one copy of each text.
#include "wire/codec.h"

#include <zstd.h>

#include "wire/codec_parts.h"

namespace heatherdeck::codec {

namespace {
// For shorter texts the zstd frame header costs as much as compression saves.
constexpr std::size_t compression_threshold = 256;
constexpr int compression_level = 3;
}  // namespace

bool decode_context::consume_text_budget(std::size_t bytes) {
  if (bytes > max_section_bytes || bytes > text_budget_) return false;
  text_budget_ -= bytes;
  return true;
}

void write_text(const std::string& from, pb::Text& to) {
  if (from.size() > compression_threshold) {
    std::string compressed(ZSTD_compressBound(from.size()), '\0');
    const std::size_t size =
        ZSTD_compress(compressed.data(), compressed.size(), from.data(), from.size(), compression_level);
    // Eight bytes for the `size` field, which only a compressed text has.
    if (ZSTD_isError(size) == 0 && size + 8 < from.size()) {
      compressed.resize(size);
      to.set_zstd(std::move(compressed));
      to.set_size(static_cast<std::uint32_t>(from.size()));
      return;
    }
  }
  to.set_plain(from);
}

void read_text(const pb::Text& from, std::string& to, decode_context& context) {
  const bool compressed = from.form_case() == pb::Text::kZstd;
  const std::size_t size = compressed ? from.size() : from.plain().size();
  if (!context.consume_text_budget(size))
    return context.set_error("a section text exceeds the size limit of the section or of the document");
  if (!compressed) {
    to = from.plain();
    return;
  }
  to.resize(size);
  const std::size_t decompressed_size = ZSTD_decompress(to.data(), to.size(), from.zstd().data(), from.zstd().size());
  if (ZSTD_isError(decompressed_size) != 0 || decompressed_size != size)
    context.set_error("a compressed section text is corrupt or does not have its declared size");
}

std::string serialise(const google::protobuf::MessageLite& message) {
  std::string bytes;
  message.SerializeToString(&bytes);
  return bytes;
}

bool parse(std::string_view bytes, google::protobuf::MessageLite& to, decode_context& context) {
  if (bytes.size() > max_message_bytes) {
    context.set_error("a message of " + std::to_string(bytes.size()) + " bytes exceeds the size limit");
    return false;
  }
  if (!to.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    context.set_error("the bytes are not a complete message of this type");
    return false;
  }
  return true;
}

}  // namespace heatherdeck::codec
