// Loads the store on start. Invariants: acknowledged data is never dropped silently; a file that fails its checks is
// reported as corrupt, with its path. Only bytes of the last batch are ever truncated: a batch is acknowledged after
// its sync, and the mark of the next batch is written after that, so damage before a valid batch mark affects
// acknowledged data. Damage inside the last batch cannot be distinguished from a torn write and is treated as one.
// Everything that is loaded is durable when `open` returns. The cost is one read of all files and two syncs.
#include <algorithm>
#include <random>
#include <string_view>

#include <fmt/format.h>

#include "consensus/log_record.h"
#include "consensus/log_store.h"

namespace heatherdeck {

namespace {

constexpr std::string_view segment_prefix = "log-";
constexpr std::string_view snapshot_prefix = "snapshot-";
constexpr std::string_view temporary_suffix = ".tmp";

std::uint64_t parse_index(std::string_view name, std::string_view prefix) {
  std::uint64_t value = 0;
  for (const char c : name.substr(prefix.size())) value = value * 10 + static_cast<std::uint64_t>(c - '0');
  return value;
}

std::string random_store_id() {
  std::random_device source;
  return fmt::format("{:08x}{:08x}{:08x}{:08x}", source(), source(), source(), source());
}

}  // namespace

boost::leaf::error_id log_store::corrupt_error(const std::string& name, const std::string& what) const {
  return fail(error_kind::corrupt, what,
              "move the data folder away, start the host with an empty one and add it as a new member", path(name));
}

result<log_store> log_store::open(file_system& files, log_store_options options) {
  log_store store(files, std::move(options));
  BOOST_LEAF_CHECK(store.load());
  return store;
}

result<void> log_store::load() {
  BOOST_LEAF_CHECK(file_system_->create_folder(options_.folder));
  BOOST_LEAF_ASSIGN(lock_, file_system_->lock(path("lock")));
  BOOST_LEAF_AUTO(names, file_system_->list(options_.folder));
  // A process that was killed before a sync leaves names and bytes that only the page cache holds. The core acknowledges
  // what is loaded here without another write, so it is made durable first, the bytes in `load_segment`.
  BOOST_LEAF_CHECK(sync_folder());
  for (const std::string& name : names) {
    if (name.ends_with(temporary_suffix)) BOOST_LEAF_CHECK(file_system_->remove(path(name)));
  }
  std::erase_if(names, [](const std::string& name) { return name.ends_with(temporary_suffix) || name == "lock"; });
  BOOST_LEAF_CHECK(load_store_id(names));
  if (std::find(names.begin(), names.end(), "term-vote") != names.end()) BOOST_LEAF_CHECK(load_hard_state());
  BOOST_LEAF_CHECK(load_snapshot(names));
  std::erase_if(names, [](const std::string& name) { return !name.starts_with(segment_prefix); });
  for (const std::string& name : names) BOOST_LEAF_CHECK(load_segment(name, name == names.back()));
  return check_log_against_snapshot();
}

result<void> log_store::load_store_id(const std::vector<std::string>& names) {
  if (names.empty()) {
    store_id_ = random_store_id();
    std::string bytes;
    append_record(bytes, record_type::store_id, store_id_);
    BOOST_LEAF_CHECK(replace_file("store-id", bytes));
  } else {
    if (std::find(names.begin(), names.end(), "store-id") == names.end()) {
      return corrupt_error("store-id", "the data folder contains files, but the file store-id is missing");
    }
    BOOST_LEAF_AUTO(bytes, file_system_->read(path("store-id")));
    const auto record = record_reader(bytes).next();
    if (!record || record->type != record_type::store_id || record->payload.empty()) {
      return corrupt_error("store-id", "the store id is missing or fails its checksum");
    }
    store_id_ = record->payload;
  }
  loaded_state_.store_id = store_id_;
  return {};
}

result<void> log_store::load_hard_state() {
  BOOST_LEAF_AUTO(bytes, file_system_->read(path("term-vote")));
  const auto record = record_reader(bytes).next();
  if (!record || record->type != record_type::hard_state || record->payload.size() < 12) {
    return corrupt_error("term-vote", "the record of term and vote is incomplete or fails its checksum");
  }
  const std::string_view payload = record->payload;
  const std::size_t host_bytes = read_little_endian(payload, 8, 4);
  if (host_bytes > payload.size() - 12)
    return corrupt_error("term-vote", "the voted host id is longer than its record");
  loaded_state_.hard.term = read_little_endian(payload, 0);
  loaded_state_.hard.vote_host = payload.substr(12, host_bytes);
  loaded_state_.hard.vote_store = payload.substr(12 + host_bytes);
  return {};
}

// A newer snapshot supersedes the older ones, which remain only after a crash between its creation and their removal.
result<void> log_store::load_snapshot(const std::vector<std::string>& names) {
  std::string latest;
  for (const std::string& name : names) {
    if (!name.starts_with(snapshot_prefix)) continue;
    if (!latest.empty()) BOOST_LEAF_CHECK(file_system_->remove(path(latest)));
    latest = name;
  }
  if (latest.empty()) return {};
  BOOST_LEAF_AUTO(bytes, file_system_->read(path(latest)));
  const auto record = record_reader(bytes).next();
  if (!record || record->type != record_type::snapshot || record->payload.size() < 16) {
    return corrupt_error(latest, "the snapshot is incomplete or fails its checksum");
  }
  const std::uint64_t index = read_little_endian(record->payload, 0);
  const std::uint64_t term = read_little_endian(record->payload, 8);
  BOOST_LEAF_ASSIGN(loaded_state_.snapshot,
                    parse_snapshot(options_.codec, index, term, std::string(record->payload.substr(16))));
  snapshot_index_ = parse_index(latest, snapshot_prefix);
  return {};
}

result<void> log_store::load_segment(const std::string& name, bool is_last) {
  BOOST_LEAF_AUTO(bytes, file_system_->read(path(name)));
  segment loaded;
  loaded.first = parse_index(name, segment_prefix);
  if (!segments_.empty() && loaded.first != segments_.back().end()) {
    return corrupt_error(name, fmt::format("entry {} is missing before this segment", segments_.back().end()));
  }
  record_reader reader(bytes);
  while (const auto record = reader.next()) {
    if (record->type != record_type::entry) continue;
    outcome<log_entry> entry = options_.codec.decode_entry(record->payload);
    if (!entry || entry->index != loaded.end()) {
      return corrupt_error(name,
                           fmt::format("the record at offset {} does not hold entry {}", record->offset, loaded.end()));
    }
    loaded.offsets.push_back(record->offset);
    loaded_state_.entries.push_back(std::move(*entry));
  }
  loaded.bytes = reader.offset();
  segments_.push_back(std::move(loaded));
  if (reader.offset() != bytes.size()) {
    if (!is_last || record_reader::has_batch_mark_after(bytes, reader.offset())) {
      return corrupt_error(name,
                           fmt::format("the record at offset {} is incomplete or fails its checksum", reader.offset()));
    }
    return truncate_torn_tail(segments_.back(), bytes, reader.offset());
  }
  if (!is_last) return {};
  BOOST_LEAF_CHECK(open_last_segment());
  ++syncs_;
  return last_segment_file_->sync();
}

result<void> log_store::truncate_torn_tail(segment& last, const std::string& bytes, std::size_t valid) {
  BOOST_LEAF_CHECK(open_last_segment());
  BOOST_LEAF_CHECK(last_segment_file_->truncate(valid));
  last.bytes = valid;
  syncs_ += bytes.size() != valid ? 1 : 0;
  return last_segment_file_->sync();
}

// After a crash while a received snapshot was replacing the log, segments of the old log may be left; they are removed.
result<void> log_store::check_log_against_snapshot() {
  if (segments_.empty()) return {};
  const std::uint64_t index = loaded_state_.snapshot ? loaded_state_.snapshot->index : 0;
  if (segments_.front().first > index + 1) {
    return corrupt_error(
        "log", fmt::format("the entries {} to {} of the log are missing", index + 1, segments_.front().first - 1));
  }
  const bool holds_index = index >= segments_.front().first && index < segments_.back().end();
  const bool replaced =
      holds_index && loaded_state_.entries[index - segments_.front().first].term != loaded_state_.snapshot->term;
  if (replaced || segments_.back().end() <= index) {
    loaded_state_.entries.clear();
    return remove_all_segments();
  }
  return {};
}

}  // namespace heatherdeck
