// The borrower has one task that writes and, for each stream, one that reads. The lender has the same for each incoming
// stream. Invariant: at most `max_queued` messages wait to be written, so a slow peer costs a bounded amount of memory.
// Cost: one stream in each direction between two control hosts that lend to each other.
#include "control/loan_link.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "kernel/log.h"
#include "wire/codec.h"

namespace heatherdeck {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t max_queued = 4;
constexpr milliseconds open_timeout = 1000ms;
constexpr milliseconds write_timeout = 1000ms;
constexpr std::uint32_t h2_cancel = 8;

using frame = std::shared_ptr<const std::string>;

awaitable<void> read_answers(std::shared_ptr<h2_stream> stream, std::string peer_id, address<permits_message> inbox) {
  for (;;) {
    auto bytes = co_await stream->read_frame();
    if (!bytes) co_return;
    outcome<loan_message> answer = capture([&] { return decode<loan_message>(*bytes); });
    if (!answer) {
      log_error("bad_frame", answer.failure(), {{"peer", peer_id}});
      stream->reset(h2_cancel);
      co_return;
    }
    // An answer that a full mailbox refuses is a lost loan.
    inbox.post(loan_answered{peer_id, std::move(*answer)});
  }
}

struct lender_stream {
  lender_stream(kernel& k, incoming_stream from) : incoming(std::move(from)), outgoing(k.executor(), max_queued) {}
  incoming_stream incoming;
  mailbox<frame> outgoing;
};

awaitable<void> write_answers(std::shared_ptr<lender_stream> s) {
  for (;;) {
    outcome<frame> next = co_await s->outgoing.receive();
    if (!next) break;
    std::string bytes = **next;
    const outcome<void> written = co_await s->incoming.stream->write_frame(std::move(bytes));
    if (!written) break;
  }
}

awaitable<void> read_requests(kernel& k, std::shared_ptr<lender_stream> s, address<permits_message> inbox) {
  header_list headers{{":status", "200"}};
  (void)co_await s->incoming.stream->send_headers(std::move(headers), false);
  boost::asio::co_spawn(k.executor(), write_answers(s), boost::asio::detached);
  for (;;) {
    auto bytes = co_await s->incoming.stream->read_frame();
    if (!bytes) break;
    outcome<loan_message> request = capture([&] { return decode<loan_message>(*bytes); });
    if (!request) {
      log_error("bad_frame", request.failure(), {{"peer", s->incoming.peer_id}});
      break;
    }
    inbox.post(loan_requested{s->incoming.peer_id, std::move(*request), s->outgoing.address()});
  }
  s->outgoing.close();
}

}  // namespace

struct loan_link::task : std::enable_shared_from_this<loan_link::task> {
  task(kernel& k, address<mesh_message> m, std::string id, std::string where, address<permits_message> to)
      : timers(k.timers()),
        executor(k.executor()),
        mesh(std::move(m)),
        peer_id(std::move(id)),
        mesh_address(std::move(where)),
        answers(std::move(to)),
        inbox(k.executor(), max_queued) {}

  awaitable<void> run() {
    const auto self = shared_from_this();
    for (;;) {
      auto request = co_await inbox.receive();
      if (!request) break;
      if (!stream || stream->closed()) co_await open();
      if (!stream) continue;
      const auto writing = stream;
      const subscription limit = timers.after(write_timeout, [writing] { writing->reset(h2_cancel); });
      std::string bytes = encode(*request);
      const auto written = co_await writing->write_frame(std::move(bytes));
      if (!written) stream.reset();
    }
    if (stream) stream->reset(h2_cancel);
  }

  awaitable<void> open() {
    stream.reset();
    auto make = [this](reply<std::shared_ptr<h2_stream>> answer) {
      return open_stream{mesh_address, stream_kind::loan, {}, false, std::move(answer)};
    };
    auto opened = co_await ask<std::shared_ptr<h2_stream>>(timers, executor, mesh, open_timeout, make);
    if (!opened || !*opened) co_return;
    stream = std::move(*opened);
    boost::asio::co_spawn(executor, read_answers(stream, peer_id, answers), boost::asio::detached);
  }

  timer_service& timers;
  executor_type executor;
  address<mesh_message> mesh;
  std::string peer_id;
  std::string mesh_address;
  address<permits_message> answers;
  mailbox<loan_message> inbox;
  std::shared_ptr<h2_stream> stream;
};

loan_link::loan_link(kernel& k, address<mesh_message> mesh, std::string peer_id, std::string mesh_address,
                     address<permits_message> inbox)
    : task_(std::make_shared<task>(k, std::move(mesh), std::move(peer_id), std::move(mesh_address), std::move(inbox))) {
  boost::asio::co_spawn(
      k.executor(), [t = task_]() -> awaitable<void> { co_await t->run(); }, boost::asio::detached);
}

loan_link::~loan_link() { task_->inbox.close(); }

bool loan_link::post(loan_message request) { return task_->inbox.address().post(std::move(request)); }

const std::string& loan_link::mesh_address() const { return task_->mesh_address; }

void serve_loans(kernel& k, incoming_stream incoming, address<permits_message> inbox) {
  auto s = std::make_shared<lender_stream>(k, std::move(incoming));
  boost::asio::co_spawn(k.executor(), read_requests(k, std::move(s), std::move(inbox)), boost::asio::detached);
}

}  // namespace heatherdeck
