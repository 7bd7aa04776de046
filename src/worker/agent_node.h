#ifndef GERANIUM_WORKER_AGENT_NODE_H_
#define GERANIUM_WORKER_AGENT_NODE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/events.h"
#include "base/ids.h"
#include "link/messages.h"
#include "worker/actions.h"
#include "worker/attempt_history.h"
#include "worker/backend_monitor.h"
#include "worker/offer_queue.h"
#include "worker/start_gate.h"

namespace geranium {

/// Configuration of an agent.
struct AgentOptions {
  WorkerProfile profile;
  Incarnation incarnation;
  std::string http_address;
  Duration grant_ttl{200};
  Duration heartbeat{250};
  Duration freshness_limit = Freshness::kDefaultLimit;
  int queue_limit = 16;
  int urgent_reserve = 1;
};

/// Result of a call to the backend server, with the response if there was one.
struct CallReport {
  CallEnd end = CallEnd::kNoAnswer;
  int http_status = 0;
  std::string body;
  std::string message;
};

/// Counters exported as metrics.
struct AgentCounters {
  std::uint64_t offers = 0;
  std::uint64_t readies = 0;
  std::uint64_t starts = 0;
  std::uint64_t results = 0;
  std::uint64_t not_started = 0;
  std::uint64_t late_grants = 0;
  std::uint64_t duplicates = 0;
};

/// State machine of the agent beside a backend server: queues offers, reports
/// ready slots, starts granted attempts, and keeps each result until its entry
/// acknowledges it. Does no I/O and has no threads or clock of its own.
class AgentNode {
 public:
  explicit AgentNode(AgentOptions options);

  /// Adds entries that are already being dialled, by link address.
  void AddKnownEntries(const std::vector<std::string>& addresses) {
    known_entries_.insert(addresses.begin(), addresses.end());
  }

  void OnLinkUp(LinkId link, TimePoint now);
  void OnLinkDown(LinkId link, TimePoint now);
  void OnMessage(LinkId link, const Message& message, TimePoint now);
  void OnCallEnded(const AttemptId& attempt, const CallReport& report,
                   TimePoint now);
  void OnProbeEnded(bool answered, TimePoint now);
  void OnTick(TimePoint now);

  /// Starts draining: takes no new work; running attempts finish and their
  /// results are delivered.
  void Leave(TimePoint now);
  bool leaving() const { return leaving_since_.has_value(); }
  /// True when no attempt is pending and no result is unacknowledged.
  bool IsIdle() const { return attempts_.empty(); }
  /// Attempts that are pending or whose results are unacknowledged.
  std::size_t unfinished() const { return attempts_.size(); }

  std::vector<AgentAction> TakeActions();

  /// The load as reported to the peer at `link`.
  WorkerLoad Load(std::optional<LinkId> link, TimePoint now) const;
  const StartGate& gate() const { return gate_; }
  const AgentOptions& options() const { return options_; }
  const AgentCounters& counters() const { return counters_; }
  const EventRing& events() const { return events_; }
  /// True while a link is up to an entry that confirms the configuration.
  bool IsServing(TimePoint now) const;

 private:
  enum class State { kQueued, kReady, kRunning, kDone };

  struct Attempt {
    Offer offer;
    State state = State::kQueued;
    TimePoint deadline;
    TimePoint ready_at;
    TimePoint started_at;
    TimePoint result_sent_at;
    std::optional<TaskResult> result;
  };

  struct Peer {
    std::optional<Hello> hello;
    std::optional<TimePoint> last_heartbeat_sent_at;
    std::uint64_t offers_seen = 0;
  };

  void On(LinkId link, const Hello& hello, TimePoint now);
  void On(LinkId link, const Members& members, TimePoint now);
  void On(LinkId link, const Heartbeat& heartbeat, TimePoint now);
  void On(LinkId link, const ConfigurationPull& pull, TimePoint now);
  void On(LinkId link, const ConfigurationPush& push, TimePoint now);
  void On(LinkId link, const Offer& offer, TimePoint now);
  void On(LinkId link, const Grant& grant, TimePoint now);
  void On(LinkId link, const Withdraw& withdraw, TimePoint now);
  void On(LinkId link, const Cancel& cancel, TimePoint now);
  void On(LinkId link, const ResultAck& ack, TimePoint now);
  void On(LinkId link, const Drain& drain, TimePoint now);
  template <class Other>
  void On(LinkId /*link*/, const Other& /*other*/, TimePoint /*now*/) {}

  bool HandleDecided(const AttemptId& id, TimePoint now);
  std::optional<Error> RefusalReason(const Offer& offer, TimePoint now) const;
  void Acknowledge(const Attempt& attempt, TimePoint now);
  void DispatchQueued(TimePoint now);
  bool DispatchNext(TimePoint now);
  void ReserveSlot(Attempt& attempt, TimePoint now);
  void Start(Attempt& attempt, TimePoint now);
  void CheckStartInvariants(TimePoint now) const;
  void SendNotStarted(const AttemptId& id, Error reason, TimePoint now);
  void DropUnstarted(const AttemptId& id, Error reason, TimePoint now);
  void DropAllUnstarted(const Error& reason, TimePoint now);
  void ReleaseResources(const Attempt& attempt);
  void Finish(Attempt& attempt, const CallReport& report, TimePoint now);
  void SendResult(Attempt& attempt, TimePoint now);
  void SendHeartbeats(TimePoint now);
  void ExpireReservations(TimePoint now);
  void ExpireQueued(TimePoint now);
  void ResendResults(TimePoint now);
  void UpdateGate(TimePoint now);
  void CheckBackend(TimePoint now);
  void Send(LinkId link, Message message);
  /// Sends to the entry if it is linked, with the current load filled in.
  template <class Typed>
  void SendToEntry(Incarnation entry, Typed message, TimePoint now) {
    const auto found = entry_links_.find(entry);
    if (found == entry_links_.end()) return;
    message.load = Load(found->second, now);
    Send(found->second, std::move(message));
  }
  bool OnlyUrgentSlotsFree(TimePoint now) const;
  int UrgentReserve(TimePoint now) const;
  int FreeSlots() const;
  Duration ExpectedWait() const;
  Error MakeError(ErrorCode code, std::string step, std::string message) const;
  void RecordEvent(EventKind kind, TimePoint now, const Attempt* attempt,
                   std::string detail);

  AgentOptions options_;
  StartGate gate_;
  BackendMonitor monitor_;
  OfferQueue queue_;
  std::unordered_map<AttemptId, Attempt> attempts_;
  AttemptHistory history_;
  std::map<LinkId, Peer> peers_;
  std::map<Incarnation, LinkId> entry_links_;
  std::map<Incarnation, TimePoint> entry_lost_at_;
  std::set<std::string> known_entries_;
  Resources in_use_;
  int reserved_slots_ = 0;
  int running_ = 0;
  QuantileWindow run_times_;
  TimePoint last_urgent_at_ = TimePoint::Never();
  TimePoint next_heartbeat_;
  bool gate_open_ = false;
  std::optional<TimePoint> leaving_since_;
  AgentCounters counters_;
  EventRing events_;
  std::vector<AgentAction> actions_;
};

}  // namespace geranium

#endif  // GERANIUM_WORKER_AGENT_NODE_H_
