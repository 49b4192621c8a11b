/// @file
/// Decides which offers a node accepts and from which control host it takes them. Pure: no I/O, no codec.
///
///     BOOST_LEAF_AUTO(core, subscriber_core::make(settings, seed));
///     subscriber_core::attempt next = core.next_source();       // connect after next.delay, send core.request()
///     subscriber_core::reaction r = core.on_message(message, now);
///     if (r.document) traffic.post(use_document{r.document});
///
/// Rules: a version that is not greater than the held one is ignored; a document is accepted whole or not at all; the
/// first document must be at or above a version that a quorum has confirmed after this process started, because the
/// process does not remember what it acted on before.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "kernel/timer_service.h"
#include "model/compiled_document.h"
#include "model/directory_messages.h"
#include "model/distribution_messages.h"
#include "model/document_compiler.h"
#include "model/settings.h"

namespace heatherdeck {

class subscriber_core {
 public:
  /// A control host to try, and how long to wait before.
  struct attempt {
    std::string host_id;
    std::string mesh_address;
    milliseconds delay{0};
  };

  /// What the service has to do after a message.
  struct reaction {
    compiled_document_ptr document;      ///< act on this document from now on
    std::optional<node_message> answer;  ///< send this to the source
    std::string leave_reason;            ///< not empty: leave this source
    std::optional<milliseconds> retry_after;
  };

  struct counters {
    std::uint64_t applied = 0;
    std::uint64_t refused = 0;
    std::uint64_t ignored_old = 0;
    std::uint64_t ignored_unconfirmed = 0;
    std::uint64_t sources_left = 0;
  };

  /// @param seed of the jitter and of the order of hosts of the same distance; 0 takes one from the system.
  static subscriber_core make(const settings& s);

  /// Takes the control hosts that the directory knows in place of those of the settings; a view without any is ignored.
  void use_members(const std::vector<member_record>& members);

  /// @return the next host in order of distance; the delay grows with failed attempts and has full jitter.
  attempt next_source();

  /// Called when a stream to the source is open.
  void on_connected(time_point now);

  /// @return the first message on a new stream.
  subscribe_request request() const;

  reaction on_message(const control_message& message, time_point now);

  /// Called when the stream has ended or could not be opened.
  void on_disconnected();

  /// @return why the source is to be left: it is silent, or a nearer one is to be tried again; empty to stay.
  std::string check_source(time_point now);

  const version& held() const { return state_.current; }
  bool has_document() const { return compiled_ != nullptr; }
  const counters& counts() const { return counts_; }
  const std::string& source() const { return source_; }

 private:
  struct candidate {
    std::string host_id;
    std::string mesh_address;
    std::uint32_t distance = 0;  ///< 0 own availability zone, 1 own region, 2 elsewhere
  };

  subscriber_core(const settings& s, std::uint64_t seed)
      : node_id_(s.id), zone_(s.availability_zone), region_(s.region), keepalive_(s.keepalive), random_(seed) {}

  std::uint32_t distance_of(const std::string& zone, const std::string& region) const;
  void sort_sources();

  reaction on_offer(const keepalive& message);
  reaction on_offer(const snapshot_offer& offer);
  reaction on_offer(const delta_offer& offer);
  reaction on_offer(const busy_notice& notice);
  bool wanted(const version& offered);
  bool unconfirmed(const version& offered) const;
  void confirm(const version& confirmed);
  void mark_useful();
  reaction accept(document_state next, const digest& claimed);
  reaction refuse(const version& offered, error reason);
  milliseconds jitter(milliseconds most);

  std::string node_id_;
  std::string zone_;
  std::string region_;
  milliseconds keepalive_;
  std::mt19937_64 random_;
  std::vector<candidate> sources_;
  std::string tried_;           ///< id of the host of the last attempt
  std::size_t next_ = 0;        ///< index into sources_ of the next attempt
  std::uint32_t failures_ = 0;  ///< attempts since the last source that proved useful
  bool first_message_ = true;   ///< nothing has arrived on the present stream
  bool useful_ = false;         ///< the present source has shown that it has a quorum
  std::string source_;
  time_point last_heard_;
  std::optional<time_point> without_quorum_since_;  ///< the source tells that it has no quorum since then
  time_point return_at_;
  bool at_nearest_ = false;
  document_state state_;
  digest digest_;
  compiled_document_ptr compiled_;
  document_compiler compiler_;    ///< keeps the parsed sections, so that a change costs one section
  std::optional<version> floor_;  ///< highest version confirmed by a quorum since the process started
  counters counts_;
};

}  // namespace heatherdeck
