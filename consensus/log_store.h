/// @file
/// The durable state of one Raft member, stored as files in one data folder.
///
/// - `store-id`: random id of the store, created with the folder; a replaced disk gets a new one;
/// - `term-vote`: the hard state; the file is replaced as a whole;
/// - `log-<first index>`: a segment of log entries, append-only;
/// - `snapshot-<index>`: the latest snapshot;
/// - `lock`: locked while a process uses the folder.
///
/// `persist` returns only after everything is durable. After any error the store rejects all further calls, because a
/// failed sync may have lost dirty pages; the process must stop. On start a torn tail (a batch that was never
/// acknowledged) is truncated; damage that affects acknowledged data is reported as `corrupt`. The state that `open`
/// loads is durable.
///
/// Not thread-safe; `log_writer` runs it on a thread of its own.
///
///     BOOST_LEAF_AUTO(store, log_store::open(files, {folder, codec}));
///     stored_state state = store.take_state();
///     BOOST_LEAF_CHECK(store.persist({action}));
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "consensus/file_system.h"
#include "consensus/raft_types.h"

namespace heatherdeck {

struct log_store_options {
  std::string folder;
  entry_codec codec;
  std::uint64_t segment_bytes = 8 << 20;  ///< a new segment is started once the current one has this size
};

class log_store {
 public:
  /// Opens the data folder and loads its state; creates it when it is missing.
  /// @param files must outlive the store.
  /// @return `storage` when a file operation fails or another process uses the folder, `corrupt` when acknowledged data
  ///     is damaged.
  static result<log_store> open(file_system& files, log_store_options options);

  /// @return the state that `open` loaded, moved out; call once.
  stored_state take_state() { return std::move(loaded_state_); }
  const std::string& store_id() const { return store_id_; }

  /// Makes the batch durable, in order, with one sync for all its entries.
  result<void> persist(const std::vector<persist_state>& batch);

  /// @return the number of file and folder syncs so far.
  std::uint64_t syncs() const { return syncs_; }

 private:
  /// One log file.
  struct segment {
    std::uint64_t first = 0;                                      ///< index of the first entry
    std::vector<std::uint64_t> offsets;                           ///< file offset of each entry's record
    std::uint64_t bytes = 0;                                      ///< size of the file
    std::uint64_t end() const { return first + offsets.size(); }  ///< index after the last entry
  };

  log_store(file_system& files, log_store_options options) : file_system_(&files), options_(std::move(options)) {}

  result<void> load();
  result<void> load_store_id(const std::vector<std::string>& names);
  result<void> load_hard_state();
  result<void> load_snapshot(const std::vector<std::string>& names);
  result<void> load_segment(const std::string& name, bool is_last);
  result<void> truncate_torn_tail(segment& last, const std::string& bytes, std::size_t valid);
  result<void> check_log_against_snapshot();
  result<void> persist_batch(const std::vector<persist_state>& batch);
  result<void> write_hard_state(const hard_state& state);
  result<void> write_snapshot(const persist_state& action);
  result<void> append(const log_entry& entry);
  result<void> start_segment(std::uint64_t first);
  result<void> truncate_after(std::uint64_t index);
  result<void> remove_all_segments();
  result<void> remove_segment(std::uint64_t first);
  result<void> remove_last_segment();
  result<void> open_last_segment();
  result<void> flush();
  result<void> replace_file(const std::string& name, const std::string& bytes);
  result<void> sync_folder();
  std::string path(const std::string& name) const { return options_.folder + "/" + name; }
  boost::leaf::error_id corrupt_error(const std::string& name, const std::string& what) const;

  file_system* file_system_;
  log_store_options options_;
  std::unique_ptr<writable_file> lock_;
  stored_state loaded_state_;
  std::string store_id_;
  std::vector<segment> segments_;
  std::unique_ptr<writable_file> last_segment_file_;  ///< the last segment, open for appending
  std::string buffer_;                                ///< encoded records that are not yet written
  std::uint64_t snapshot_index_ = 0;                  ///< index of the snapshot file; 0: none
  std::optional<error> failure_;                      ///< first error; returned by every later call
  std::uint64_t syncs_ = 0;
};

}  // namespace heatherdeck
