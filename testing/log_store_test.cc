// Tests the durable log: state that survives a restart, torn tails, damaged acknowledged data, failed syncs and a full
// disk. A file system in memory defines exactly which bytes survive a crash.
#include "consensus/log_store.h"

#include <algorithm>
#include <map>
#include <random>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include "consensus/log_record.h"
#include "consensus/wire_entry_codec.h"

namespace heatherdeck {
namespace {

// Files in memory. The durable part survives a crash: content up to the last sync, names up to the last folder sync.
struct memory_disk {
  struct file {
    std::string bytes;
    std::string durable;
  };
  std::map<std::string, std::shared_ptr<file>> names;
  std::map<std::string, std::shared_ptr<file>> durable_names;
  int operations_left = -1;  ///< operations that succeed before one fails; -1: all succeed
  error_kind failure = error_kind::storage;

  result<void> count_operation() {
    if (operations_left == 0) return fail(failure, "injected failure", "none", "disk");
    if (operations_left > 0) --operations_left;
    return {};
  }
  // Discards everything that was not synced, except `kept_bytes` bytes of each unsynced tail.
  void crash(std::size_t kept_bytes = 0) {
    names = durable_names;
    for (auto& [name, f] : names) {
      const bool extended = f->bytes.size() > f->durable.size() && f->bytes.starts_with(f->durable);
      f->bytes = extended ? f->bytes.substr(0, std::min(f->bytes.size(), f->durable.size() + kept_bytes)) : f->durable;
      f->durable = f->bytes;
    }
    operations_left = -1;
  }
  // What a power loss may leave: each unsynced change of a name independently of the others, and of unsynced bytes any
  // length and any of the 16-byte blocks; the others read as zeros. A shortened file may have its old length again.
  void lose_power(std::mt19937_64& random) {
    std::map<std::string, std::shared_ptr<file>> found;
    for (const auto& [name, f] : names) {
      const auto old = durable_names.find(name);
      const bool is_synced = old != durable_names.end() && old->second == f;
      if (is_synced || random() % 2 == 0) {
        found[name] = f;
      } else if (old != durable_names.end()) {
        found[name] = old->second;
      }
    }
    for (const auto& [name, f] : durable_names) {
      if (!names.contains(name) && random() % 2 == 0) found[name] = f;
    }
    names = durable_names = std::move(found);
    for (auto& [name, f] : names) {
      std::string left = random() % 2 == 0 || f->bytes.starts_with(f->durable) ? f->bytes : f->durable;
      if (left.size() > f->durable.size()) {
        left.resize(f->durable.size() + random() % (left.size() - f->durable.size() + 1));
        for (std::size_t at = f->durable.size(); at < left.size(); ++at) {
          if (at % 16 != 0 || random() % 3 != 0) continue;
          for (std::size_t i = at; i < std::min(at + 16, left.size()); ++i) left[i] = 0;
        }
      }
      f->bytes = f->durable = left;
    }
    operations_left = -1;
  }
};

class memory_file : public writable_file {
 public:
  memory_file(memory_disk* disk, std::shared_ptr<memory_disk::file> f) : disk_(disk), file_(std::move(f)) {}
  result<void> write(std::string_view bytes) override {
    const outcome<void> allowed = capture([&] { return disk_->count_operation(); });
    file_->bytes += allowed ? bytes : bytes.substr(0, bytes.size() / 2);  // a full disk accepts only a part
    return to_result(allowed);
  }
  result<void> truncate(std::uint64_t size) override {
    BOOST_LEAF_CHECK(disk_->count_operation());
    file_->bytes.resize(size);
    return {};
  }
  result<void> sync() override {
    BOOST_LEAF_CHECK(disk_->count_operation());
    file_->durable = file_->bytes;
    return {};
  }

 private:
  memory_disk* disk_;
  std::shared_ptr<memory_disk::file> file_;
};

class memory_file_system : public file_system {
 public:
  explicit memory_file_system(memory_disk* disk) : disk_(disk) {}
  result<void> create_folder(const std::string&) override { return disk_->count_operation(); }
  result<std::vector<std::string>> list(const std::string& folder) override {
    std::vector<std::string> found;
    for (const auto& [name, f] : disk_->names) found.push_back(name.substr(folder.size() + 1));
    return found;
  }
  result<std::string> read(const std::string& path) override { return disk_->names.at(path)->bytes; }
  result<std::unique_ptr<writable_file>> open_append(const std::string& path) override {
    BOOST_LEAF_CHECK(disk_->count_operation());
    auto& f = disk_->names[path];
    if (!f) f = std::make_shared<memory_disk::file>();
    return std::unique_ptr<writable_file>(std::make_unique<memory_file>(disk_, f));
  }
  result<void> rename(const std::string& from, const std::string& to) override {
    BOOST_LEAF_CHECK(disk_->count_operation());
    disk_->names[to] = disk_->names.at(from);
    disk_->names.erase(from);
    return {};
  }
  result<void> remove(const std::string& path) override {
    BOOST_LEAF_CHECK(disk_->count_operation());
    disk_->names.erase(path);
    return {};
  }
  result<void> sync_folder(const std::string&) override {
    BOOST_LEAF_CHECK(disk_->count_operation());
    disk_->durable_names = disk_->names;
    return {};
  }
  result<std::unique_ptr<writable_file>> lock(const std::string&) override {
    return std::unique_ptr<writable_file>(std::make_unique<memory_file>(disk_, std::make_shared<memory_disk::file>()));
  }

 private:
  memory_disk* disk_;
};

struct log_store_test : testing::Test {
  memory_disk disk;
  memory_file_system files{&disk};
  std::uint64_t ticket = 0;

  outcome<log_store> open() {
    return capture([&] { return log_store::open(files, {"d", wire_entry_codec(), 200}); });
  }
  static log_entry entry(std::uint64_t index, std::uint64_t term = 1) {
    return {term, index, entry_kind::command, fmt::format("payload {}/{}", index, term)};
  }
  persist_state entries(std::uint64_t first, std::uint64_t last, std::uint64_t term = 1) {
    persist_state action;
    action.ticket = ++ticket;
    for (std::uint64_t i = first; i <= last; ++i) action.entries.push_back(entry(i, term));
    return action;
  }
  static outcome<void> persist_one(log_store& store, persist_state action) {
    return capture([&] { return store.persist({std::move(action)}); });
  }
  snapshot_ptr snapshot(std::uint64_t index, std::uint64_t term) {
    return make_snapshot(wire_entry_codec(), index, term, {{"a", "s1", "127.0.0.1:1", false}}, "state");
  }
  void run_power_losses(std::uint64_t seed);
  std::string last_segment() const {
    std::string name;
    for (const auto& [path, f] : disk.names) {
      if (path.starts_with("d/log-")) name = path;
    }
    return name;
  }
};

// What was acknowledged: the log, of which [i] is the entry i + 1, the snapshot's index and the term of the hard state.
struct acknowledged_state {
  std::vector<log_entry> log;
  std::uint64_t snapshot_index = 0;
  std::uint64_t term = 0;
};

// Checks that the loaded state holds everything acknowledged. Entries before the snapshot are not in it.
void expect_holds(const stored_state& found, acknowledged_state& state) {
  const std::uint64_t base = found.snapshot ? found.snapshot->index : 0;
  std::vector<log_entry> held = state.log;
  held.resize(base);
  for (const log_entry& e : found.entries) {
    if (e.index <= base) continue;
    ASSERT_EQ(e.index, held.size() + 1);
    held.push_back(e);
  }
  ASSERT_GE(base, state.snapshot_index);
  ASSERT_GE(found.hard.term, state.term);
  ASSERT_GE(held.size(), state.log.size());
  for (std::size_t i = base; i < state.log.size(); ++i) ASSERT_EQ(held[i], state.log[i]);
  state = {std::move(held), base, found.hard.term};
}

// Several starts; each ends with a kill or a power loss during an append, a truncation, a vote, or an own or a received
// snapshot.
void log_store_test::run_power_losses(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  disk = {};
  acknowledged_state state;
  for (int start = 0; start < 4; ++start) {
    auto store = open();
    ASSERT_TRUE(store) << store.failure().message();
    ASSERT_NO_FATAL_FAILURE(expect_holds(store->take_state(), state));
    disk.operations_left = static_cast<int>(random() % 60);
    for (;;) {
      acknowledged_state next = state;
      persist_state action;
      action.ticket = ++ticket;
      const std::uint64_t kind = random() % 12;
      if (kind == 0) action.hard = hard_state{++next.term, "a", "s1"};
      if (kind == 1 && next.log.size() > next.snapshot_index) {
        next.snapshot_index += 1 + random() % (next.log.size() - next.snapshot_index);
        action.snapshot = snapshot(next.snapshot_index, next.log[next.snapshot_index - 1].term);
      }
      if (kind == 2) {  // a received snapshot, beyond the end of the log
        next.snapshot_index = next.log.size() + 1 + random() % 5;
        action.snapshot = snapshot(next.snapshot_index, next.term);
        action.replace_log = true;
        next.log.assign(next.snapshot_index, log_entry{});
      }
      if (kind == 3 && next.log.size() > next.snapshot_index) {
        action.truncate_after = next.snapshot_index + random() % (next.log.size() - next.snapshot_index);
        next.log.resize(*action.truncate_after);
      }
      for (std::uint64_t left = random() % 4; left != 0; --left) {
        next.log.push_back(entry(next.log.size() + 1, next.term));
        action.entries.push_back(next.log.back());
      }
      if (!persist_one(*store, action)) {
        // A truncation that was not acknowledged may have happened or not.
        if (action.truncate_after) state.log.resize(*action.truncate_after);
        break;
      }
      state = next;
    }
    if (random() % 3 == 0) {
      disk.operations_left = -1;  // killed; the page cache remains
    } else {
      disk.lose_power(random);
    }
  }
}

// With a checksum that differs from the published CRC-32C, other programs could not verify the files.
TEST(log_record_test, crc32c_matches_the_published_check_value) { EXPECT_EQ(crc32c("123456789"), 0xE3069283U); }

// Acknowledged entries, votes and the store id must survive a crash directly after the acknowledgement.
TEST_F(log_store_test, acknowledged_state_survives_a_crash) {
  std::string store_id;
  {
    auto store = open();
    ASSERT_TRUE(store) << store.failure().message();
    store_id = store->store_id();
    persist_state first = entries(1, 30);  // several segments of 200 bytes
    first.hard = hard_state{7, "b", "s2"};
    ASSERT_TRUE(persist_one(*store, first));
    persist_state replaced = entries(11, 12, 2);
    replaced.truncate_after = 10;
    ASSERT_TRUE(persist_one(*store, replaced));
  }
  disk.crash();
  auto store = open();
  ASSERT_TRUE(store) << store.failure().message();
  const stored_state found = store->take_state();
  EXPECT_EQ(found.store_id, store_id);
  EXPECT_EQ(found.hard, (hard_state{7, "b", "s2"}));
  ASSERT_EQ(found.entries.size(), 12U);
  EXPECT_EQ(found.entries[9], entry(10));
  EXPECT_EQ(found.entries[11], entry(12, 2));
}

// A process that is killed during a write leaves part of a batch that was never acknowledged.
TEST_F(log_store_test, torn_tail_is_truncated_and_the_log_continues) {
  for (std::size_t kept_bytes = 1; kept_bytes < 90; ++kept_bytes) {
    disk = {};
    {
      auto store = open();
      ASSERT_TRUE(persist_one(*store, entries(1, 2)));
      disk.operations_left = 1;  // the write succeeds, its sync does not
      ASSERT_FALSE(persist_one(*store, entries(3, 4)));
    }
    disk.crash(kept_bytes);
    auto store = open();
    ASSERT_TRUE(store) << "kept bytes " << kept_bytes << ": " << store.failure().message();
    const std::size_t found = store->take_state().entries.size();
    ASSERT_GE(found, 2U) << "kept bytes " << kept_bytes;
    ASSERT_TRUE(persist_one(*store, entries(found + 1, found + 3))) << "kept bytes " << kept_bytes;
    disk.crash();
    auto again = open();
    ASSERT_TRUE(again) << "kept bytes " << kept_bytes << ": " << again.failure().message();
    EXPECT_EQ(again->take_state().entries.size(), found + 3) << "kept bytes " << kept_bytes;
  }
}

// A process that is killed before a sync leaves state that only the page cache holds. The next process loads it and the
// core acknowledges it, so a power loss after the load must not lose it.
TEST_F(log_store_test, loaded_state_survives_a_power_loss) {
  for (int allowed = 0; allowed < 80; ++allowed) {
    SCOPED_TRACE(fmt::format("the process is killed after {} operations", allowed));
    disk = {};
    {
      auto store = open();
      ASSERT_TRUE(store);
      disk.operations_left = allowed;
      for (std::uint64_t i = 1; i <= 20; ++i) {
        persist_state action = entries(i, i);
        if (i % 4 == 0) action.hard = hard_state{i, "a", "s1"};
        if (i % 7 == 0) action.snapshot = snapshot(i - 2, 1);
        if (!persist_one(*store, action)) break;
      }
    }
    disk.operations_left = -1;
    stored_state loaded;
    {
      auto store = open();
      ASSERT_TRUE(store) << store.failure().message();
      loaded = store->take_state();
    }
    disk.crash();
    auto store = open();
    ASSERT_TRUE(store) << store.failure().message();
    const stored_state found = store->take_state();
    EXPECT_EQ(found.hard, loaded.hard);
    EXPECT_EQ(found.entries, loaded.entries);
    EXPECT_EQ(found.snapshot ? found.snapshot->index : 0, loaded.snapshot ? loaded.snapshot->index : 0);
  }
}

// A flipped byte in acknowledged data must not be accepted, nor silently drop the entries after it.
TEST_F(log_store_test, flipped_byte_before_the_last_batch_is_refused) {
  std::size_t last_batch = 0;
  {
    auto store = open();
    ASSERT_TRUE(persist_one(*store, entries(1, 2)));
    last_batch = disk.names[last_segment()]->bytes.size();
    ASSERT_TRUE(persist_one(*store, entries(3, 3)));
  }
  const std::string name = last_segment();
  const std::string intact = disk.names[name]->bytes;
  for (std::size_t at = 0; at < intact.size(); ++at) {
    disk.names[name]->bytes = intact;
    disk.names[name]->bytes[at] = static_cast<char>(intact[at] ^ 0x10);
    auto store = open();
    if (at < last_batch) {
      ASSERT_FALSE(store) << "flipped byte " << at;
      EXPECT_EQ(store.failure().kind, error_kind::corrupt);
      EXPECT_FALSE(store.failure().where.empty());
    } else {
      // Cannot be distinguished from a torn write: the batch may be dropped in whole or in part, but its content must
      // not be altered.
      ASSERT_TRUE(store) << "flipped byte " << at << ": " << store.failure().message();
      const stored_state found = store->take_state();
      for (std::size_t i = 0; i < found.entries.size(); ++i) EXPECT_EQ(found.entries[i], entry(i + 1));
      EXPECT_GE(found.entries.size(), 2U);
    }
  }
}

// Damage in a small file or in an earlier segment, or a missing segment, must fail the start with the path of the file.
TEST_F(log_store_test, damaged_or_missing_files_are_refused) {
  {
    auto store = open();
    persist_state first = entries(1, 30);
    first.hard = hard_state{3, "a", "s1"};
    ASSERT_TRUE(persist_one(*store, first));
    persist_state with_snapshot;
    with_snapshot.snapshot = snapshot(2, 1);
    ASSERT_TRUE(persist_one(*store, with_snapshot));
  }
  const memory_disk intact = disk;
  for (const auto& [name, f] : intact.names) {
    if (name == last_segment()) continue;
    const std::string bytes = f->bytes;
    f->bytes[bytes.size() / 2] = static_cast<char>(f->bytes[bytes.size() / 2] ^ 1);
    auto store = open();
    ASSERT_FALSE(store) << name;
    EXPECT_EQ(store.failure().kind, error_kind::corrupt) << name;
    EXPECT_EQ(store.failure().where, name);
    f->bytes = bytes;
    if (!name.starts_with("d/log-")) continue;
    disk.names.erase(name);
    ASSERT_FALSE(open()) << "without " << name;
    disk.names[name] = f;
  }
  disk.names.erase("d/store-id");
  EXPECT_FALSE(open()) << "without store-id";
}

// After a failed sync the dirty pages may be lost and a later sync can succeed without them, so the store must reject
// all further writes.
TEST_F(log_store_test, every_failed_operation_is_final_and_loses_nothing_acknowledged) {
  for (int allowed = 0; allowed < 60; ++allowed) {
    disk = {};
    std::uint64_t acknowledged = 0;
    std::uint64_t term = 0;
    {
      auto store = open();
      ASSERT_TRUE(store);
      disk.operations_left = allowed;
      for (std::uint64_t i = 1; i <= 20; ++i) {
        persist_state action = entries(i, i);
        if (i % 4 == 0) action.hard = hard_state{i, "a", "s1"};
        if (i % 7 == 0) action.snapshot = snapshot(i - 2, 1);
        const outcome<void> done = persist_one(*store, action);
        if (done) {
          acknowledged = i;
          if (action.hard) term = i;
          continue;
        }
        EXPECT_EQ(done.failure().kind, error_kind::storage);
        disk.operations_left = -1;
        EXPECT_FALSE(persist_one(*store, entries(i + 1, i + 1)))
            << "the store accepted a write after a failure, operation " << allowed;
        break;
      }
    }
    disk.crash(allowed % 50);
    auto store = open();
    ASSERT_TRUE(store) << "operation " << allowed << ": " << store.failure().message();
    const stored_state found = store->take_state();
    const std::uint64_t last = found.entries.empty() ? 0 : found.entries.back().index;
    EXPECT_GE(std::max(last, found.snapshot ? found.snapshot->index : 0), acknowledged) << "operation " << allowed;
    EXPECT_GE(found.hard.term, term) << "operation " << allowed;
  }
}

// Acknowledged state must survive a power loss that keeps any subset of what was not synced, and the host must start
// again.
TEST_F(log_store_test, acknowledged_state_survives_any_power_loss) {
  for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
    SCOPED_TRACE(fmt::format("seed {}", seed));
    run_power_losses(seed);
  }
}

// A crash while a received snapshot replaces the log must leave either the old log or the snapshot, never a mix.
TEST_F(log_store_test, replaced_log_is_never_mixed_with_the_snapshot) {
  for (int allowed = 0; allowed < 30; ++allowed) {
    disk = {};
    {
      auto store = open();
      ASSERT_TRUE(persist_one(*store, entries(1, 30)));
      persist_state action;
      action.snapshot = snapshot(20, 5);  // the old entry 20 is of term 1
      action.replace_log = true;
      disk.operations_left = allowed;
      (void)persist_one(*store, action);
    }
    disk.crash();
    auto store = open();
    ASSERT_TRUE(store) << "operation " << allowed << ": " << store.failure().message();
    const stored_state found = store->take_state();
    if (found.snapshot) {
      EXPECT_TRUE(found.entries.empty()) << "operation " << allowed;
      EXPECT_TRUE(persist_one(*store, entries(21, 22, 5))) << "operation " << allowed;
    } else {
      EXPECT_EQ(found.entries.size(), 30U) << "operation " << allowed;
    }
  }
}

// Two processes that use the same folder would both append to its files.
TEST(posix_file_system_test, second_process_is_refused) {
  posix_file_system files;
  const std::string folder = testing::TempDir() + fmt::format("/hd_lock_{}", ::getpid());
  auto first = capture([&] { return log_store::open(files, {folder, wire_entry_codec()}); });
  ASSERT_TRUE(first) << first.failure().message();
  auto second = capture([&] { return log_store::open(files, {folder, wire_entry_codec()}); });
  ASSERT_FALSE(second);
  EXPECT_EQ(second.failure().kind, error_kind::storage);
}

}  // namespace
}  // namespace heatherdeck
