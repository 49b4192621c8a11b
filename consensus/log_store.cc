// The write path of the store. Invariants: (1) segments hold consecutive indexes without a gap; (2) a segment is synced
// before the next one is created; (3) a file is replaced by writing and syncing a temporary file, renaming it and
// syncing the folder; (4) nothing is written after the first error. A batch of entries costs one write and one
// fdatasync; a change of term or vote costs one more file and two more syncs.
#include "consensus/log_store.h"

#include <utility>

#include <fmt/format.h>

#include "consensus/log_record.h"

namespace heatherdeck {

namespace {
std::string segment_name(std::uint64_t first) { return fmt::format("log-{:020}", first); }
}  // namespace

result<void> log_store::persist(const std::vector<persist_state>& batch) {
  if (failure_) return fail(*failure_);
  const outcome<void> done = capture([&] { return persist_batch(batch); });
  if (done) return {};
  failure_ = done.failure();
  return fail(*failure_);
}

result<void> log_store::persist_batch(const std::vector<persist_state>& batch) {
  // The hard state first: an entry must never be durable before its term is.
  const hard_state* hard = nullptr;
  for (const persist_state& action : batch) {
    if (action.hard) hard = &*action.hard;
  }
  if (hard != nullptr) BOOST_LEAF_CHECK(write_hard_state(*hard));
  for (const persist_state& action : batch) {
    if (action.snapshot) BOOST_LEAF_CHECK(write_snapshot(action));
    if (action.truncate_after) BOOST_LEAF_CHECK(truncate_after(*action.truncate_after));
    for (const log_entry& entry : action.entries) BOOST_LEAF_CHECK(append(entry));
  }
  return flush();
}

result<void> log_store::write_hard_state(const hard_state& state) {
  std::string payload;
  append_little_endian(payload, state.term);
  append_little_endian(payload, state.vote_host.size(), 4);
  payload += state.vote_host;
  payload += state.vote_store;
  std::string bytes;
  append_record(bytes, record_type::hard_state, payload);
  return replace_file("term-vote", bytes);
}

result<void> log_store::write_snapshot(const persist_state& action) {
  BOOST_LEAF_CHECK(flush());
  const snapshot& saved = *action.snapshot;
  std::string payload;
  append_little_endian(payload, saved.index);
  append_little_endian(payload, saved.term);
  payload += saved.blob;
  std::string bytes;
  append_record(bytes, record_type::snapshot, payload);
  BOOST_LEAF_CHECK(replace_file(fmt::format("snapshot-{:020}", saved.index), bytes));
  if (action.replace_log) {
    BOOST_LEAF_CHECK(remove_all_segments());
  } else {
    while (segments_.size() > 1 && segments_.front().end() <= saved.index + 1) {
      BOOST_LEAF_CHECK(remove_segment(segments_.front().first));
      segments_.erase(segments_.begin());
    }
  }
  if (snapshot_index_ != 0 && snapshot_index_ != saved.index) {
    BOOST_LEAF_CHECK(file_system_->remove(path(fmt::format("snapshot-{:020}", snapshot_index_))));
  }
  snapshot_index_ = saved.index;
  return sync_folder();
}

result<void> log_store::append(const log_entry& entry) {
  if (segments_.empty() || segments_.back().bytes + buffer_.size() >= options_.segment_bytes) {
    BOOST_LEAF_CHECK(flush());
    BOOST_LEAF_CHECK(start_segment(entry.index));
  }
  segment& current = segments_.back();
  if (entry.index != current.end()) {
    return fail(error_kind::internal,
                fmt::format("cannot append entry {}: the next index of the log is {}", entry.index, current.end()),
                "report this as a defect", options_.folder);
  }
  if (buffer_.empty()) {
    std::string offset;
    append_little_endian(offset, current.bytes);
    append_record(buffer_, record_type::batch_mark, offset);
  }
  current.offsets.push_back(current.bytes + buffer_.size());
  append_record(buffer_, record_type::entry, options_.codec.encode_entry(entry));
  return {};
}

result<void> log_store::flush() {
  if (buffer_.empty()) return {};
  BOOST_LEAF_CHECK(last_segment_file_->write(buffer_));
  segments_.back().bytes += buffer_.size();
  buffer_.clear();
  ++syncs_;
  return last_segment_file_->sync();
}

result<void> log_store::start_segment(std::uint64_t first) {
  segments_.push_back({first, {}, 0});
  BOOST_LEAF_CHECK(open_last_segment());
  return sync_folder();
}

result<void> log_store::open_last_segment() {
  BOOST_LEAF_ASSIGN(last_segment_file_, file_system_->open_append(path(segment_name(segments_.back().first))));
  return {};
}

// Removes segments from the last to the first, so that a crash in between leaves a log without a gap.
result<void> log_store::truncate_after(std::uint64_t index) {
  BOOST_LEAF_CHECK(flush());
  bool removed = false;
  while (!segments_.empty() && segments_.back().first > index) {
    BOOST_LEAF_CHECK(remove_last_segment());
    removed = true;
  }
  if (removed && !segments_.empty()) BOOST_LEAF_CHECK(open_last_segment());
  if (segments_.empty() || segments_.back().end() <= index + 1) return {};
  segment& last = segments_.back();
  last.bytes = last.offsets[index + 1 - last.first];
  last.offsets.resize(index + 1 - last.first);
  BOOST_LEAF_CHECK(last_segment_file_->truncate(last.bytes));
  ++syncs_;
  return last_segment_file_->sync();
}

// Synced one by one: after a power loss the removals of several files may be kept in any order, and a missing segment
// between two others is reported as corrupt.
result<void> log_store::remove_segment(std::uint64_t first) {
  BOOST_LEAF_CHECK(file_system_->remove(path(segment_name(first))));
  return sync_folder();
}

result<void> log_store::remove_last_segment() {
  last_segment_file_.reset();
  BOOST_LEAF_CHECK(remove_segment(segments_.back().first));
  segments_.pop_back();
  return {};
}

result<void> log_store::remove_all_segments() {
  while (!segments_.empty()) BOOST_LEAF_CHECK(remove_last_segment());
  return {};
}

result<void> log_store::replace_file(const std::string& name, const std::string& bytes) {
  const std::string temporary = path(name + ".tmp");
  BOOST_LEAF_CHECK(file_system_->remove(temporary));
  BOOST_LEAF_AUTO(file, file_system_->open_append(temporary));
  BOOST_LEAF_CHECK(file->write(bytes));
  ++syncs_;
  BOOST_LEAF_CHECK(file->sync());
  BOOST_LEAF_CHECK(file_system_->rename(temporary, path(name)));
  return sync_folder();
}

result<void> log_store::sync_folder() {
  ++syncs_;
  return file_system_->sync_folder(options_.folder);
}

}  // namespace heatherdeck
