/// @file
/// A deployment of real processes in which changes go on through orders of faults, and every node is asked for every
/// acknowledged route. Used by propagation_soak_test.
///
///     propagation_soak soak(deployment, seed);
///     soak.start();
///     soak.play_order();
///     EXPECT_THAT(soak.findings(), IsEmpty());
#pragma once

#include <map>
#include <random>
#include <string>
#include <vector>

#include "kernel/kernel.h"
#include "testing/fault_orders.h"
#include "testing/soak_deployment.h"

namespace heatherdeck {

class propagation_soak {
 public:
  static constexpr unsigned tolerated_losses = 2;

  struct counters {
    unsigned changes = 0;   ///< acknowledged
    unsigned requests = 0;  ///< to nodes in touch, at least `propagation_bound` after the acknowledgement
    unsigned unanswered = 0;
    std::map<fault_kind, unsigned> faults;
  };

  propagation_soak(soak_deployment& deployment, std::uint64_t seed);

  /// Starts all processes and begins to change the configuration.
  void start();
  /// Plays a drawn order of faults, waits until the deployment counts as stable, and asks every node for every route.
  void play_order() { play_order(draw_faults(random_, hosts_, nodes_, tolerated_losses)); }
  void play_order(const std::vector<process_fault>& order);
  /// Ends the changes.
  void stop();

  /// @return what went wrong, with the log lines of the node; empty if nothing did.
  const std::vector<std::string>& findings() const { return findings_; }
  const counters& counts() const { return counts_; }
  /// @return the faults of all orders, one a line.
  const std::string& journal() const { return journal_; }

 private:
  struct process_state {
    time_point disturbed = time_point::min();  ///< when a fault last began or ended
    bool undisturbed = true;
    unsigned served_route = 0;  ///< newest route that this process of the node has served
  };
  struct acknowledgement {
    unsigned route = 0;
    time_point at;
  };

  awaitable<void> change_configuration();
  awaitable<void> ask_later(acknowledgement change);
  awaitable<void> ask_all_nodes(acknowledgement change);
  awaitable<void> ask(std::string node, acknowledgement change);
  awaitable<void> play(process_fault f, std::vector<process_fault> order);
  awaitable<void> sleep(duration length);
  awaitable<outcome<http_response>> call(std::string address, http_request request, duration limit);
  void begin_fault(const process_fault& f, const std::vector<process_fault>& order);
  void end_fault(const process_fault& f, const std::vector<process_fault>& order);
  void change_links(const process_fault& f, const std::vector<process_fault>& order,
                    void (soak_deployment::*change)(const std::string&, const std::string&));
  bool core_is_stable(time_point now) const;
  bool in_touch(const std::string& node, time_point now) const;
  void report(const std::string& node, const std::string& what);
  void run_until(const std::function<bool()>& done);

  soak_deployment& deployment_;
  std::mt19937_64 random_;
  kernel kernel_;
  std::vector<std::string> hosts_;
  std::vector<std::string> nodes_;
  std::map<std::string, process_state> states_;
  std::vector<acknowledgement> acknowledged_;
  time_point most_hosts_disturbed_ = time_point::min();
  time_point began_;
  std::size_t pending_ = 0;  ///< faults and requests under way
  bool stopped_ = false;
  bool changing_ = false;
  std::vector<std::string> findings_;
  std::string journal_;
  counters counts_;
};

}  // namespace heatherdeck
