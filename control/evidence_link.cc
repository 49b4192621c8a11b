// One task owns the stream to the leader and opens a new one when the leader changes or a write fails. Invariant: at
// most one batch is queued behind the one being written, so a slow leader costs a bounded amount of memory. Cost: one
// stream, and two frames a second for each availability zone.
#include "control/evidence_link.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "kernel/log.h"
#include "wire/codec.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t max_queued_batches = 1;
constexpr milliseconds open_timeout = 1000ms;
constexpr milliseconds write_timeout = 1000ms;
constexpr std::uint32_t h2_cancel = 8;
constexpr std::size_t max_zone_name_bytes = 256;

awaitable<void> read_reports(incoming_stream incoming, address<rollout_message> to) {
  header_list headers{{":status", "200"}};
  auto headers_sent = co_await incoming.stream->send_headers(std::move(headers), false);
  if (!headers_sent) co_return;
  for (;;) {
    auto zone = co_await incoming.stream->read_frame();
    if (!zone || zone->size() > max_zone_name_bytes) co_return;
    auto frame = co_await incoming.stream->read_frame();
    if (!frame) co_return;
    outcome<evidence_report> report = capture([&] { return decode<evidence_report>(*frame); });
    if (!report) {
      log_error("evidence_refused", report.failure(), {{"peer", incoming.peer_id}});
      co_return;
    }
    // Evidence that a full mailbox refuses is dropped, because new evidence follows within a second.
    to.post(evidence_received{incoming.peer_id, std::move(*zone), std::move(*report)});
  }
}

}  // namespace

struct evidence_link::task : std::enable_shared_from_this<evidence_link::task> {
  task(timer_service& t, executor_type e, address<mesh_message> m)
      : timers(t), executor(e), mesh(std::move(m)), inbox(e, max_queued_batches) {}

  awaitable<void> run() {
    const auto self = shared_from_this();
    for (;;) {
      auto batch = co_await inbox.receive();
      if (!batch) co_return;
      if (batch->leader_address != connected_to) stream.reset();
      std::string leader = batch->leader_address;
      if (!stream) co_await open(std::move(leader));
      if (!stream) continue;
      evidence_batch sent = std::move(*batch);
      co_await write(std::move(sent));
    }
  }

  awaitable<void> open(std::string leader) {
    auto make = [leader](reply<std::shared_ptr<h2_stream>> answer) {
      return open_stream{leader, stream_kind::evidence, {}, false, std::move(answer)};
    };
    auto opened = co_await ask<std::shared_ptr<h2_stream>>(timers, executor, mesh, open_timeout, make);
    if (!opened || !*opened) co_return;
    stream = std::move(*opened);
    connected_to = std::move(leader);
  }

  awaitable<void> write(evidence_batch batch) {
    const auto writing = stream;
    const subscription limit = timers.after(write_timeout, [writing] { writing->reset(h2_cancel); });
    for (auto& [zone, report] : batch.by_zone) {
      std::string bytes = encode(report);
      auto written = co_await writing->write_frame(std::move(zone));
      if (written) written = co_await writing->write_frame(std::move(bytes));
      if (written) continue;
      stream.reset();
      co_return;
    }
  }

  timer_service& timers;
  executor_type executor;
  address<mesh_message> mesh;
  mailbox<evidence_batch> inbox;
  std::shared_ptr<h2_stream> stream;
  std::string connected_to;
};

evidence_link::evidence_link(timer_service& timers, executor_type executor, address<mesh_message> mesh)
    : task_(std::make_shared<task>(timers, executor, std::move(mesh))) {
  boost::asio::co_spawn(
      executor, [t = task_]() -> awaitable<void> { co_await t->run(); }, boost::asio::detached);
}

evidence_link::~evidence_link() { task_->inbox.close(); }

bool evidence_link::post(evidence_batch batch) { return task_->inbox.address().post(std::move(batch)); }

void read_evidence(executor_type executor, incoming_stream incoming, address<rollout_message> to) {
  boost::asio::co_spawn(executor, read_reports(std::move(incoming), std::move(to)), boost::asio::detached);
}

}  // namespace heatherdeck
