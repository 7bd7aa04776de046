#ifndef GERANIUM_WORKER_WORKER_SESSION_H_
#define GERANIUM_WORKER_WORKER_SESSION_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/log_message.h"
#include "link/actions.h"
#include "link/messages.h"
#include "worker/capacity_hold.h"
#include "worker/entry_selection.h"
#include "worker/run_statistics.h"
#include "worker/worker_calls.h"

namespace geranium {

struct WorkerSessionOptions {
  std::string name;
  Incarnation incarnation;
  std::uint64_t first_fencing_token = 1;
  Duration longest_lease{1000};
  /// Links are kept to this many entries, so that the agent's load does not
  /// grow with the site (docs/CAPACITY.md).
  std::size_t entry_links = 4;
  /// Cores freed by a run of an entry with waiting tasks are reported to this
  /// entry only for so long (docs/design/capacity-hold.md); 0: to all at once.
  Duration capacity_hold{0};
  /// Calls to the worker to start or stop a run that may be unanswered at once.
  std::size_t max_order_calls = 60;
  /// Memory of all orders, by an upper estimate; orders beyond it are returned.
  std::size_t max_order_bytes = 32U << 20U;
};

/// Side effects that WorkerSession requests from its host process.
using SessionAction =
    std::variant<SendMessage, ConnectEntry, DisconnectEntry, CloseLink,
                 StartRun, StopRun, PollRuns, LogMessage>;

/// Counters exported as metrics.
struct SessionCounters {
  std::uint64_t orders = 0;
  std::uint64_t starts = 0;
  std::uint64_t stops = 0;
  std::uint64_t done = 0;
  std::uint64_t failed = 0;
  std::uint64_t returned = 0;  ///< Orders returned without a start.
  /// Of these, for want of memory.
  std::uint64_t returned_for_memory = 0;
  std::uint64_t in_doubt = 0;
  std::uint64_t stalled = 0;
  std::uint64_t moved = 0;    ///< Stopped in order to run on a faster worker.
  std::uint64_t crashes = 0;  ///< Of the backend server.
  std::uint64_t holds = 0;    ///< Ended runs whose cores were held.
  std::uint64_t holds_expired = 0;  ///< Without an order of their entry.
};

/// State machine of an agent whose backend server runs sized tasks under a
/// lease. As the server's only caller it knows everything that may run there:
/// it counts every order that may have been carried out against the capacity
/// and never exceeds it. Does no I/O and has no threads or clock of its own.
class WorkerSession {
 public:
  /// An entry that has not proved itself alive for this long loses its
  /// runs. A silence of half a second is borne: the proof is older than that
  /// by up to one and a half heartbeat intervals.
  static constexpr Duration kEntryTimeout{700};
  /// A link on which nothing was received for this long is redialled.
  static constexpr Duration kLinkTimeout{800};
  static constexpr Duration kHeartbeatInterval{100};
  /// Requested lease; it is renewed several times before it expires.
  static constexpr Duration kLeaseDuration{650};

  /// No lease lasts longer than this after the last proof of life of an entry
  /// with runs at the worker, unless the worker has accepted to stop them: from
  /// then on other entries may count these runs as ended. Shorter than
  /// `StepScheduler::kWorkerLostTimeout` by an interval of the heartbeats
  /// between entries and by the drift of the worker's clock.
  static constexpr Duration kLongestEntrySilence{1200};
  /// A run is started only this long after the last proof of life of its entry:
  /// the worker may have been given a whole lease just before.
  static constexpr Duration kLongestSilenceAtStart =
      kLongestEntrySilence - kLeaseDuration;
  /// An unanswered stop is resent after this long; an answer from the same
  /// machine takes a few milliseconds.
  static constexpr Duration kStopRetryInterval{60};
  /// A stop that the worker rejected is resent after this long. Until one is
  /// accepted, a start in doubt holds its capacity and its task.
  static constexpr Duration kRejectedStopRetryInterval{10};
  /// Without an answer for this long the lease is not renewed, so that the time
  /// by which all runs must have ended is known.
  static constexpr Duration kWorkerTimeout{400};

  explicit WorkerSession(WorkerSessionOptions options);

  /// Adds entries to select from, by link address.
  void AddEntries(const std::vector<std::string>& addresses, TimePoint now);

  void OnAnnouncement(const WorkerAnnouncement& announcement, TimePoint now);
  /// The backend server announced that it is shutting down.
  void OnWorkerLeft(const WorkerId& worker, TimePoint now);
  void OnStartEnded(const TaskRun& run, const OrderOutcome& outcome,
                    TimePoint now);
  void OnStopEnded(const TaskRun& run, const OrderOutcome& outcome,
                   TimePoint now);
  void OnPollEnded(std::uint64_t number, const PollOutcome& outcome,
                   TimePoint now);

  void OnLinkUp(LinkId link, TimePoint now);
  void OnLinkDown(LinkId link, TimePoint now);
  void OnMessage(LinkId link, const Message& message, TimePoint now);
  void OnTick(TimePoint now);
  /// When to call `OnTick` next; to be asked again after each event.
  Duration TimeToNextTick(TimePoint now) const;
  /// To be called after the events that are ready at once: sends the next poll
  /// and reports what has changed.
  void OnEventsHandled(TimePoint now);

  /// Starts draining: takes no more orders and lets running tasks finish.
  void Leave(TimePoint now);
  /// Stops all remaining runs.
  void StopAll(TimePoint now);
  bool IsIdle() const { return attempts_.empty(); }

  std::vector<SessionAction> TakeActions();

  bool IsAccepting(TimePoint now) const;
  /// Resources of all that runs, may run or is being stopped.
  const Resources& in_use() const { return in_use_; }
  const SessionCounters& counters() const { return counters_; }
  /// Linked entries, including those being released.
  std::size_t linked_entries() const { return peers_.size(); }

 private:
  enum class State {
    kQueued,
    kStarting,  ///< The order was sent but is not answered yet.
    kInDoubt,   ///< The order's answer was lost.
    kRunning,
    kStopping,
  };

  struct Attempt {
    StartTask order;
    Incarnation entry;
    State state = State::kQueued;
    TimePoint state_since;       ///< When `state` last changed.
    TimePoint last_progress_at;  ///< When `percent` last increased.
    TimePoint received_at;
    TimePoint started_at;
    int percent = 0;
    bool has_run = false;
    bool speed_recorded = false;  ///< Its speed has been recorded.
    /// Only polls from this number on were sent after the answer to its start,
    /// or to its stop once that is accepted. That an earlier one does not list
    /// the run says nothing.
    std::uint64_t first_valid_poll = 0;
    std::uint64_t worker_started_ms = 0;  ///< The incarnation ordered to start.
    bool stop_accepted = false;
    bool crashed = false;  ///< Its worker crashed while it ran.
    bool suspect = false;  ///< ... shortly after it had started.
    TimePoint next_stop = TimePoint::Never();  ///< When to resend the stop.
    std::string stop_reason;
    std::size_t memory = 0;  ///< Its part of `order_memory_`.
  };

  struct Peer {
    std::optional<Hello> hello;
    std::optional<TimePoint> last_heartbeat_sent_at;
    TimePoint last_received_at;
    LogOffset table_offset;  ///< Of the entry's route table.
    double cpu_received = 0;
    std::uint64_t reported_version = 0;  ///< Of the state; 0: none.
    std::optional<WorkerCard> sent_card;
    bool task_end_sent = false;  ///< Since the last report.
    bool cores_hidden = false;   ///< By the last report.
    /// When release of the link began; no new orders are accepted over it.
    std::optional<TimePoint> releasing_since;
  };

  /// State of an entry that outlives a single link.
  struct Entry {
    std::string name;
    std::string link_address;
    LinkId link;
    bool linked = false;
    TimePoint last_alive_at = TimePoint::Never();  ///< Known to be alive then.
    TimePoint last_heartbeat_at = TimePoint::Never();  ///< Received then.
    std::map<AttemptId, TaskEnd> unacknowledged;
  };

  static std::size_t EstimateMemory(const StartTask& order);
  bool HasMemoryFor(const StartTask& order) const {
    return order_memory_ + EstimateMemory(order) <= options_.max_order_bytes;
  }
  /// True from three quarters of the limit on, since orders are under way.
  bool IsMemoryFull() const {
    return order_memory_ >= options_.max_order_bytes / 4 * 3;
  }
  /// A quarter of the calls is reserved for stops, which free capacity.
  bool MayCallToStart() const {
    return open_calls_ <
           options_.max_order_calls - options_.max_order_calls / 4;
  }
  bool MayCallToStop() const { return open_calls_ < options_.max_order_calls; }
  void CallToStop(const TaskRun& run);
  void OnCallEnded(TimePoint now);

  void On(LinkId link, const Hello& hello, TimePoint now);
  void On(LinkId link, const Members& members, TimePoint now);
  void On(LinkId link, const Heartbeat& heartbeat, TimePoint now);
  void On(LinkId link, const StartTask& order, TimePoint now);
  void On(LinkId link, const StopTask& order, TimePoint now);
  void On(LinkId link, const TaskEndAck& ack, TimePoint now);
  void On(LinkId link, const DataCentreUpdate& update, TimePoint now);
  template <class Other>
  void On(LinkId /*link*/, const Other& /*other*/, TimePoint /*now*/) {}

  std::string RefusalReason(const Peer& peer, const Entry& entry,
                            const StartTask& order, TimePoint now) const;
  bool IsExpired(const Attempt& queued, TimePoint now) const;
  void StartQueued(TimePoint now);
  void Start(Attempt& attempt, TimePoint now);
  void OnStartInDoubt(Attempt& attempt, const OrderOutcome& outcome,
                      TimePoint now);
  void Stop(Attempt& attempt, const std::string& reason, TimePoint now);
  void SendStop(Attempt& attempt, TimePoint now);
  void End(AttemptId id, AttemptEnd end, std::string reason, TimePoint now);
  void SendTaskEnd(Incarnation entry, const TaskEnd& end);
  void HandleEndedRuns(const PollOutcome& outcome, TimePoint now);
  void ReconcileAttempts(const PollOutcome& outcome, std::uint64_t poll,
                         TimePoint now);
  void ReconcileListed(Attempt& attempt, const ListedRun& listed,
                       TimePoint now);
  void ReconcileUnlisted(Attempt& attempt, std::uint64_t poll, TimePoint now);
  void StopUnknownRuns(const PollOutcome& outcome, TimePoint now);
  void ForgetEndedRuns(TimePoint now);
  void UpdateIncarnation(std::uint64_t started_ms, TimePoint now);
  void BeginIncarnation(TimePoint now);
  void RaiseFencingToken();
  bool HasStartedAttempts() const;
  void OnConnectionRefused(TimePoint now);
  void DropOldCrashes(TimePoint now);
  void SendRecentCrashes(LinkId link, TimePoint now);
  void PollIfDue(TimePoint now);
  void SendImmediatePoll(TimePoint now);
  void SendPoll(PollRuns poll, TimePoint now);
  void ExpireLease(TimePoint now);
  void ExpireQueued(TimePoint now);
  void ReturnQueued(const std::string& reason, TimePoint now);
  void ReturnOrders(const std::vector<AttemptId>& orders,
                    const std::string& reason, TimePoint now);
  void StopRunsOfSilentEntries(TimePoint now);
  void MeasureAndStopSlowRuns(TimePoint now);
  void StopStalled(TimePoint now);
  void CloseSilentLinks(TimePoint now);
  void SelectEntries(TimePoint now);
  void ReleaseUnselected(TimePoint now);
  bool HasOpenWork(Incarnation entry) const;
  /// Name of the entry that ordered the run, for the log.
  std::string EntryNameOf(const Attempt& attempt) const;
  void SendHeartbeats(TimePoint now);
  EntriesHeard ListHeardEntries(TimePoint now) const;
  void SendReports(TimePoint now);
  void SendReport(LinkId link, Peer& peer, TimePoint now);
  void ExpireHolds(TimePoint now);
  void DropHolds(Incarnation entry);
  void RepeatReportsThatHidCores();
  /// Free cores that are held for other entries.
  double HiddenCpu(const Peer& peer, TimePoint now) const;
  bool IsReportDue(const Peer& peer) const {
    return peer.hello && peer.reported_version != state_version_;
  }
  WorkerCard Card() const;
  WorkerReport Report(const Peer& peer, TimePoint now) const;
  std::uint32_t CountEntries() const;
  Duration ExpectedNextEnd(const Resources& free, TimePoint now) const;
  Duration ExpectedRemaining(const Attempt& attempt, TimePoint now) const;
  bool HasCapacity(const Resources& size) const;
  /// False after a poll has shown a restart, until the worker's announcement.
  bool IsAnnouncementCurrent() const;
  /// The end of a lease that is requested now, on the worker's clock.
  std::int64_t LeaseUntil(TimePoint now) const;
  std::optional<TimePoint> LatestLeaseEnd() const;
  bool IsAlive(const Entry& entry, TimePoint now) const;
  /// True if the data centre is out of service, but was not yet when the
  /// entry's route table was published.
  bool IsOutdated(const Peer& peer) const;
  Attempt* FindByRun(const TaskRun& run);
  void Send(LinkId link, Message message);
  void Log(LogLevel level, const std::string& event, LogFields fields);

  WorkerSessionOptions options_;
  std::optional<WorkerAnnouncement> worker_;
  /// The newest one of the worker's data centre.
  std::optional<DataCentreUpdate> data_centre_update_;
  std::uint64_t started_ms_ = 0;
  std::int64_t clock_offset_ms_ = 0;  ///< Lower bound: worker's - ours.
  std::uint64_t fencing_token_;
  std::uint64_t fencing_token_increment_;
  std::uint64_t acknowledged_end_ = 0;
  bool settled_ = false;
  bool worker_left_ = false;
  bool leaving_ = false;
  struct OpenPoll {
    TimePoint sent;
    std::uint64_t fencing_token = 0;
    std::uint64_t started_ms = 0;  ///< Of the incarnation known then.
    bool is_immediate = false;     ///< Sent besides the long poll.
  };

  std::map<std::uint64_t, OpenPoll> open_polls_;
  std::uint64_t next_poll_number_ = 1;
  std::uint64_t long_poll_ = 0;  ///< Renews the lease; 0: none.
  TimePoint next_poll_;
  TimePoint last_answer_at_ = TimePoint::Never();
  TimePoint last_lost_answer_at_ = TimePoint::Never();
  TimePoint lease_end_ = TimePoint::Never();
  bool worker_silent_ = false;
  bool crashed_ = false;  ///< Nothing listens at the worker's address.
  std::vector<std::pair<TimePoint, WorkerCrashed>> recent_crashes_;
  /// When the first answer since the last one received was lost.
  std::optional<TimePoint> unanswered_since_;
  std::map<AttemptId, Attempt> attempts_;
  std::map<TaskRun, AttemptId> by_run_;
  std::map<TaskName, std::size_t> by_task_;
  std::map<TaskRun, TimePoint> unknown_runs_;  ///< When a stop was last sent.
  std::map<TaskRun, TimePoint> ended_runs_;    ///< Those that ended lately.
  std::map<LinkId, Peer> peers_;
  std::map<Incarnation, Entry> entries_;
  EntrySelection selection_;
  std::set<std::string> dialled_entries_;  ///< Dialled and not released.
  TimePoint next_selection_;
  Resources in_use_;
  std::size_t order_memory_ = 0;
  std::size_t open_calls_ = 0;   ///< Starts and stops that are unanswered.
  bool starts_delayed_ = false;  ///< Until a call ends.
  RunStatistics run_statistics_;
  CapacityHold hold_;
  TimePoint next_heartbeat_;
  TimePoint next_report_;
  std::uint64_t state_version_ = 1;  ///< Increases with what reports say.
  SessionCounters counters_;
  std::vector<SessionAction> actions_;
};

}  // namespace geranium

#endif  // GERANIUM_WORKER_WORKER_SESSION_H_
