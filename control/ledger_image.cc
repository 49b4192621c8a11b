// An image is a format name followed by fields in a fixed order; documents and answers are encoded by wire/codec.h.
//
// Invariant: lengths and counts are checked against the remaining bytes before memory is allocated. Cost: linear; an
// image is the document plus about 100 bytes for each stored answer, each recent change and each departure.
#include "control/ledger_image.h"

#include "wire/codec.h"

namespace heatherdeck {
namespace {

constexpr std::string_view format_name = "heatherdeck image 2\n";
// Written by earlier releases; without departures.
constexpr std::string_view first_format_name = "heatherdeck image 1\n";

class image_writer {
 public:
  explicit image_writer(std::string& out) : out_(out) {}

  void put(std::uint64_t number) {
    for (unsigned shift = 0; shift < 64; shift += 8) out_.push_back(static_cast<char>((number >> shift) & 0xFFU));
  }
  void put(std::string_view text) {
    put(static_cast<std::uint64_t>(text.size()));
    out_ += text;
  }
  void put(const version& v) {
    put(v.epoch);
    put(v.index);
  }
  void put(const std::vector<std::string>& texts) {
    put(static_cast<std::uint64_t>(texts.size()));
    for (const std::string& text : texts) put(std::string_view(text));
  }
  void put(const document_change& change) {
    put(change.changed_in);
    put(change.sections);
    put(change.rollouts);
    put(static_cast<std::uint64_t>(change.withdrawn.size()));
    for (const auto& [service, name] : change.withdrawn) {
      put(std::string_view(service));
      put(std::string_view(name));
    }
  }

 private:
  std::string& out_;
};

// After the first invalid field every value is empty and ok() is false, so the caller checks once at the end.
class image_reader {
 public:
  explicit image_reader(std::string_view bytes) : left_(bytes) {}

  bool ok() const { return ok_; }
  bool at_end() const { return left_.empty(); }

  std::uint64_t number() {
    if (left_.size() < 8) return set_failed();
    std::uint64_t value = 0;
    for (unsigned i = 0; i < 8; ++i) value |= std::uint64_t{static_cast<unsigned char>(left_[i])} << (8 * i);
    left_.remove_prefix(8);
    return value;
  }
  // Every counted item takes at least 8 bytes, so a count above that is invalid.
  std::uint64_t count() {
    const std::uint64_t value = number();
    return value > left_.size() / 8 ? set_failed() : value;
  }
  std::string text() {
    const std::uint64_t size = number();
    if (size > left_.size()) {
      set_failed();
      return {};
    }
    std::string value(left_.substr(0, size));
    left_.remove_prefix(size);
    return value;
  }
  version read_version() {
    const std::uint64_t epoch = number();
    return {epoch, number()};
  }
  std::vector<std::string> texts() {
    std::vector<std::string> values;
    for (std::uint64_t left = count(); left != 0 && ok_; --left) values.push_back(text());
    return values;
  }
  document_change change() {
    document_change value;
    value.changed_in = read_version();
    value.sections = texts();
    value.rollouts = texts();
    for (std::uint64_t left = count(); left != 0 && ok_; --left) {
      std::string service = text();
      value.withdrawn.emplace_back(std::move(service), text());
    }
    return value;
  }

 private:
  std::uint64_t set_failed() {
    ok_ = false;
    left_ = {};
    return 0;
  }

  std::string_view left_;
  bool ok_ = true;
};

boost::leaf::error_id corrupt_image() {
  return fail(error_kind::corrupt, "the image of the replicated state is corrupt",
              "remove this host's data folder and let it join again");
}

result<void> read_answers(image_reader& in, ledger_content& content) {
  for (std::uint64_t operators = in.count(); operators != 0 && in.ok(); --operators) {
    std::deque<stored_answer>& list = content.answers[in.text()];
    for (std::uint64_t left = in.count(); left != 0 && in.ok(); --left) {
      stored_answer stored;
      stored.id = in.text();
      stored.content = in.number();
      BOOST_LEAF_ASSIGN(stored.answer, decode<command_result>(in.text()));
      list.push_back(std::move(stored));
    }
  }
  return {};
}

departure_log read_departures(image_reader& in) {
  departure_log::entry_map entries;
  for (std::uint64_t hosts = in.count(); hosts != 0 && in.ok(); --hosts) {
    std::vector<departure_log::entry>& list = entries[in.text()];
    for (std::uint64_t left = in.count(); left != 0 && in.ok(); --left) {
      departure_log::entry recorded;
      recorded.departure.target = in.text();
      recorded.departure.last.start_time_ms = in.number();
      recorded.departure.last.sequence = in.number();
      recorded.index = in.number();
      list.push_back(std::move(recorded));
    }
  }
  return departure_log::restore(std::move(entries));
}

void write_departures(const departure_log& departures, image_writer& out) {
  out.put(static_cast<std::uint64_t>(departures.entries().size()));
  for (const auto& [host, list] : departures.entries()) {
    out.put(std::string_view(host));
    out.put(static_cast<std::uint64_t>(list.size()));
    for (const departure_log::entry& recorded : list) {
      out.put(std::string_view(recorded.departure.target));
      out.put(recorded.departure.last.start_time_ms);
      out.put(recorded.departure.last.sequence);
      out.put(recorded.index);
    }
  }
}

}  // namespace

std::string encode_image(const ledger_content& content) {
  std::string bytes(format_name);
  image_writer out(bytes);
  out.put(content.applied);
  out.put(std::string_view(encode(content.document)));
  out.put(static_cast<std::uint64_t>(content.rollout_changed.size()));
  for (const auto& [service, at] : content.rollout_changed) {
    out.put(std::string_view(service));
    out.put(at);
  }
  out.put(content.history.oldest());
  out.put(static_cast<std::uint64_t>(content.history.changes().size()));
  for (const document_change& change : content.history.changes()) out.put(change);
  out.put(static_cast<std::uint64_t>(content.answers.size()));
  for (const auto& [operator_name, list] : content.answers) {
    out.put(std::string_view(operator_name));
    out.put(static_cast<std::uint64_t>(list.size()));
    for (const stored_answer& stored : list) {
      out.put(std::string_view(stored.id));
      out.put(stored.content);
      out.put(std::string_view(encode(stored.answer)));
    }
  }
  write_departures(content.departures, out);
  return bytes;
}

result<ledger_content> decode_image(std::string_view bytes) {
  const bool has_departures = bytes.starts_with(format_name);
  if (!has_departures && !bytes.starts_with(first_format_name)) return corrupt_image();
  image_reader in(bytes.substr(format_name.size()));
  ledger_content content;
  content.applied = in.number();
  const std::string document = in.text();
  if (!in.ok()) return corrupt_image();
  BOOST_LEAF_ASSIGN(content.document, decode<document_state>(document));
  for (std::uint64_t left = in.count(); left != 0 && in.ok(); --left) {
    const std::string service = in.text();
    content.rollout_changed[service] = in.read_version();
  }
  const version oldest = in.read_version();
  std::deque<document_change> changes;
  for (std::uint64_t left = in.count(); left != 0 && in.ok(); --left) changes.push_back(in.change());
  content.history = document_history::restore(oldest, std::move(changes));
  BOOST_LEAF_CHECK(read_answers(in, content));
  if (has_departures) content.departures = read_departures(in);
  if (!in.ok() || !in.at_end()) return corrupt_image();
  return content;
}

}  // namespace heatherdeck
