/// @file
/// The stand-in upstream: an HTTP/1.1 server whose behaviour is set from the command line, and which announces itself
/// to the node on its host.
///
/// It counts every run of a request by the header `hd-test-id`, so that a test can tell whether a request ran twice:
///     GET /stand-in/runs      {"ids": number of ids, "runs": runs, "repeated": ids that ran more than once, ...}
/// A request whose `hd-deadline-ms` it cannot meet, or that it sheds, is answered before it runs, with `hd-outcome:
/// not-run`. Closing the connection cancels the request's work.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <variant>

#include "kernel/kernel.h"
#include "testing/upstream_model.h"
#include "wire/http_message.h"

namespace heatherdeck {

/// What the upstream tells the node on its host.
struct upstream_identity {
  std::string listen;       ///< "ip:port" for requests
  std::string announce_to;  ///< upstream_listen of the node; empty: announces nothing
  std::string service;
  std::string upstream_version;
  std::string target;
  std::uint32_t connections = 130;
  std::uint32_t body_bytes = 200;  ///< size of each answer
};

/// Asked by a connection's task for each request.
struct begin_request {
  std::string path;
  std::string test_id;
  std::optional<milliseconds> deadline;
  reply<upstream_model::verdict> answer;
};

/// Told by a connection's task when the answer was sent or the caller has gone.
struct end_request {
  std::uint64_t ticket = 0;
  bool cancelled = false;
};

struct get_runs {
  reply<boost::json::value> answer;
};

struct announce_now {};

using upstream_message = std::variant<announce_now, begin_request, end_request, get_runs>;

class upstream_service : public service {
 public:
  upstream_service(upstream_identity identity, const upstream_behaviour& behaviour)
      : identity_(std::move(identity)), behaviour_(behaviour), model_(behaviour, timer_service::now()) {}

  std::string_view name() const override { return "upstream"; }
  void publish(kernel& k) override;
  result<void> start(kernel& k) override;
  awaitable<void> drain() override;
  void stop() override;
  boost::json::value dump() const override;

 private:
  awaitable<void> run();
  awaitable<void> announce();
  void handle(announce_now&& m);
  void handle(begin_request&& m);
  void handle(end_request&& m);
  void handle(get_runs&& m);

  upstream_identity identity_;
  upstream_behaviour behaviour_;
  upstream_model model_;
  kernel* kernel_ = nullptr;
  std::unique_ptr<mailbox<upstream_message>> inbox_;
  std::map<std::string, std::uint32_t> runs_;
  std::uint64_t begun_ = 0;
  std::uint64_t cancelled_ = 0;
  std::uint64_t shed_ = 0;
  using finished_channel = boost::asio::experimental::channel<void(boost::system::error_code)>;
  std::unique_ptr<finished_channel> finished_;  ///< signalled when a request ends; `drain` waits for it
  bool draining_ = false;
  bool announcing_ = false;
  subscription tick_;
  struct listener;
  std::shared_ptr<listener> listener_;
};

}  // namespace heatherdeck
