/// @file
/// Stand-ins of the review: clients, targets and the operator, speaking HTTP/1.1 over blocking sockets, and the
/// processes of a small deployment on loopback addresses.
///
///     record log(folder + "/record.txt");
///     deployment mesh(log, {.control_hosts = 3, .nodes = {{"front"}, {"desk"}}});
///     mesh.start_all();
///     target t(log, {.id = "i-1", .service = "desk", .address = mesh.target_address(1)});
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace review {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// @return milliseconds since this program started.
std::int64_t now_ms();
void sleep_ms(std::int64_t ms);
void sleep_until_ms(std::int64_t at);

/// What was sent, answered and run, one line each, with the time in milliseconds.
class record {
 public:
  explicit record(const std::string& path) : out_(path) {}
  void line(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

struct header_field {
  std::string name;
  std::string value;
};

struct http_message {
  std::string method;  ///< of a request
  std::string target;  ///< of a request
  int status = 0;      ///< of a response; 0: there is none
  std::vector<header_field> headers;
  std::string body;

  /// @return the value of the field, or an empty text.
  std::string header(std::string_view name) const;
};

/// A TCP connection that reads and writes HTTP/1.1 messages. Not shared between threads.
class connection {
 public:
  explicit connection(int descriptor = -1) : descriptor_(descriptor) {}
  ~connection() { close(); }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  bool open(const std::string& address, milliseconds timeout);
  bool is_open() const { return descriptor_ >= 0; }
  int descriptor() const { return descriptor_; }
  bool write(std::string_view bytes);
  /// Reads one message. @return false if the connection ended, failed or was silent for `timeout`.
  bool read_response(http_message& into, milliseconds timeout) {
    return read_head(into, false, timeout) && read_body(into, timeout);
  }
  /// Reads the head of a request; its body is read by `read_body`.
  bool read_request_head(http_message& into, milliseconds timeout) { return read_head(into, true, timeout); }
  bool read_body(http_message& into, milliseconds timeout);
  /// @return whether the remote end has closed the connection.
  bool ended();
  void close();

 private:
  bool read_head(http_message& into, bool is_request, milliseconds timeout);
  bool fill(steady::time_point until);
  bool read_line(std::string& line, steady::time_point until);
  bool read_bytes(std::size_t count, std::string& into, steady::time_point until);

  int descriptor_ = -1;
  std::string buffer_;
};

/// @return a listening socket, or -1.
int listen_on(const std::string& address);

/// Sends one request on a new connection. @return the response; status 0 if there is none.
http_message call(const std::string& address, const std::string& method, const std::string& path,
                  const std::vector<header_field>& headers, const std::string& body, milliseconds timeout);

/// A request that a target has begun to work on.
struct run {
  std::string request_id;
  std::int64_t at = 0;
  std::size_t body_bytes = 0;
  bool body_changed = false;  ///< the body isn't the one that `upload_body` gives for this id
};

/// @return the body that a client uploads with this id.
std::string upload_body(const std::string& request_id, std::size_t size);

struct target_options {
  std::string id;
  std::string service;
  std::string address;
  std::string control;  ///< of the node on this host, to which the target announces itself
  std::string zone;
  int slots = 17;
  int work_ms = 20;
  std::string extra_bytes;  ///< sent by a faulty target, see `target::send_extra_after`
};

/// A sound target: echoes the request's id, seals its answers, answers 421 for another instance, and announces itself.
class target {
 public:
  target(record& log, target_options options);
  ~target();
  target(const target&) = delete;
  target& operator=(const target&) = delete;

  void start_announcing(milliseconds period);
  void stop_announcing();
  /// Takes the number of the next announcement without sending it.
  std::uint64_t take_sequence() { return ++sequence_; }
  /// @return the status of the answer, 0 if there is none.
  int announce(const std::string& state, std::uint64_t sequence);
  int deregister();
  /// Ends the process that the target stands for: its connections are closed, also those of requests in progress.
  void exit();
  /// Rejects this many of 100 requests from now on, as a target that is full: before their bodies are read.
  void reject(int percent) { reject_percent_ = percent; }
  /// From now on sends further bytes after each of this many answers, late, where the next answer on that connection is
  /// expected. 0: none.
  void send_extra_after(int answers) { extra_after_answers_ = answers; }
  std::vector<run> runs();

 private:
  void accept_loop();
  void serve(int descriptor);

  record& log_;
  target_options options_;
  std::uint64_t born_ms_ = 0;
  std::atomic<std::uint64_t> sequence_{0};
  std::atomic<bool> stopping_{false};
  std::atomic<bool> announcing_{false};
  std::atomic<int> connections_{0};
  std::atomic<int> running_{0};
  std::atomic<int> answers_{0};
  std::atomic<int> arrivals_{0};
  std::atomic<int> reject_percent_{0};
  std::atomic<int> extra_after_answers_{0};
  int listener_ = -1;
  std::mutex mutex_;
  std::vector<run> runs_;
  std::thread acceptor_;
  std::thread announcer_;
};

/// The answer to a client's request.
struct answer {
  std::string request_id;
  std::int64_t sent_at = 0;
  std::int64_t ended_at = 0;
  int status = 0;  ///< 0: the connection ended without an answer
};

struct client_options {
  std::string name;
  std::string address;  ///< outbound address of the node
  std::string method;
  std::string path;
  int count = 1;
  milliseconds period{100};  ///< between the requests of one client
  /// Size of each request's body, which is sent in chunks of 4 KiB, one each millisecond. 0: no body.
  std::size_t upload_bytes = 0;
  int deadline_ms = 1000;
};

/// Clients of one node, each with a kept connection, that send a request in each period.
class clients {
 public:
  clients(record& log, client_options options);
  ~clients() { stop(); }
  void stop();
  std::vector<answer> answers();

 private:
  void work(int number);

  bool send(connection& to, const std::string& request_id) const;

  record& log_;
  client_options options_;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::vector<answer> answers_;
  std::vector<std::thread> threads_;
};

struct node_options {
  std::string service;
  std::string zone = "dar-kivukoni";
};

struct deployment_options {
  int control_hosts = 3;
  int tolerated_losses = 1;
  std::vector<node_options> nodes;
};

/// The project's processes. Control hosts are numbered from 0, nodes too. All are killed on destruction.
class deployment {
 public:
  deployment(record& log, deployment_options options);
  ~deployment();
  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;

  void start_control(int number, bool first_start);
  void start_node(int number);
  void signal_control(int number, int signal) { send_signal("control", controls_.at(number), signal); }
  void signal_node(int number, int signal) { send_signal("node", nodes_.at(number), signal); }
  /// Kills the process and waits for its end.
  void kill_control(int number) { end("control", controls_.at(number)); }
  void kill_node(int number) { end("node", nodes_.at(number)); }
  void wipe_control(int number) const;
  void start_all();

  /// Sends an order of the operator to the control hosts in turn, following a 307 twice.
  /// @param first control host that is asked first.
  http_message order(const std::string& method, const std::string& path, const std::vector<header_field>& headers,
                     const std::string& body, int first = 0);
  /// Puts a configuration, repeating it until it has a clear answer. @return the status, 0 after `limit`.
  int put_configuration(const std::string& base, const std::string& body, milliseconds limit);
  bool wait_ready(int node, milliseconds limit) const;

  std::string control_address(int number) const { return control_ip(number) + ":" + std::to_string(port_ + 4); }
  std::string node_address(int number, int offset) const {
    return node_ip(number) + ":" + std::to_string(port_ + offset);
  }
  std::string outbound(int node) const { return node_address(node, 2); }
  std::string announce_address(int node) const { return node_address(node, 4); }
  std::string target_address(int node) const { return node_address(node, 5); }
  const std::string& folder() const { return folder_; }

 private:
  std::string control_ip(int number) const {
    return "127." + std::to_string(net_) + ".1." + std::to_string(number + 1);
  }
  std::string node_ip(int number) const { return "127." + std::to_string(net_) + ".2." + std::to_string(number + 1); }
  std::string founders() const;
  pid_t spawn(const std::string& name, const std::string& settings);
  void send_signal(const char* kind, pid_t pid, int signal);
  void end(const char* kind, pid_t& pid);

  record& log_;
  deployment_options options_;
  std::string folder_;
  int net_ = 1;
  int port_ = 0;
  std::vector<pid_t> controls_;
  std::vector<pid_t> nodes_;
};

/// @return the text of a configuration in which each (prefix, kind, service) is a route of the host "desk.example".
struct route_options {
  std::string prefix;
  std::string kind = "safe";
  std::string service;
  int timeout_ms = 800;
  int objective_ms = 300;
  int attempts = 2;
};
std::string configuration_text(const std::string& version, const std::vector<route_options>& routes,
                               const std::vector<std::string>& services);

}  // namespace review
