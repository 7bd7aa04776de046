#ifndef GERANIUM_ENTRY_STEP_ENTRY_NODE_H_
#define GERANIUM_ENTRY_STEP_ENTRY_NODE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "contract/route_table.h"
#include "contract/step_job.h"
#include "entry/expiring_table.h"
#include "entry/step_actions.h"
#include "entry/step_scheduler.h"
#include "link/messages.h"

namespace geranium {

struct StepEntryOptions {
  EntryId id;
  Incarnation incarnation;
  std::string link_address;
  StepSchedulerOptions scheduler;
  /// Limit on the jobs remembered that this and other entries have or had, and
  /// on those that were cancelled.
  std::size_t max_known_jobs = 80'000;
};

/// A job as received from its caller, before its route is looked up.
struct StepSubmission {
  std::string host;
  std::string path;
  StepJob job;
  std::optional<Duration> caller_timeout;  ///< Unset if the caller gave none.
};

/// The decision logic of an entry for step jobs: applies route tables, tracks
/// links to agents and other entries, hands resubmitted jobs over between
/// entries, and schedules. Performs no I/O and owns no thread or clock.
class StepEntryNode {
 public:
  /// Interval of heartbeats to agents. An agent stops the runs of an entry that
  /// misses a few of them.
  static constexpr Duration kHeartbeatInterval{100};
  /// Interval at which the other entries get a heartbeat and the jobs accepted
  /// since the last announcement: well below the time after which a caller
  /// resubmits a job. Each entry is linked to every other, so at large sites
  /// these are most of the frames of a quiet entry.
  static constexpr Duration kPeerHeartbeatInterval{250};
  /// Least time between two announcements, times the number of entries linked:
  /// it bounds the frames sent in a second at sites of any size.
  static constexpr Duration kAnnouncementSpacing{5};
  /// A link on which nothing was received for this long is closed.
  static constexpr Duration kLinkTimeout{800};
  /// An unanswered handover request or query is sent again after this long.
  static constexpr Duration kHandoverRetryInterval{300};
  /// A job is announced again each time it has been open for this long.
  static constexpr Duration kReannounceInterval{2500};
  /// How long a job is remembered after its last announcement, or its answer
  /// here, unless there are too many. Several announcements fit in, so that
  /// only the end of all its runs makes an entry forget a job that another one
  /// has open.
  static constexpr Duration kKnownJobRetention = kReannounceInterval * 4;
  /// How long a cancelled job is remembered: longer than a copy of its request
  /// can be on its way.
  static constexpr Duration kCancelledJobRetention{120'000};
  /// After a standstill of this long others may not have heard from this entry
  /// for `kWorkerLostTimeout`, and have taken its jobs over.
  static constexpr Duration kMaxStandstill =
      StepScheduler::kWorkerLostTimeout - kPeerHeartbeatInterval * 2;
  /// The same after this long without a heartbeat to the others, whatever was
  /// received meanwhile.
  static constexpr Duration kMaxPeerSilence =
      kMaxStandstill + kPeerHeartbeatInterval;
  /// An entry that nobody is known to have heard for this long gives its jobs
  /// up: others may take them over `kWorkerLostTimeout` after that.
  static constexpr Duration kMaxUnheard = kMaxPeerSilence;
  /// Other entries are asked about one that was not heard from for this long,
  /// with each heartbeat to them ...
  static constexpr Duration kSilenceBeforeQuery = kPeerHeartbeatInterval * 2;
  /// ... and more often, at `kHeartbeatInterval`, from this long on.
  static constexpr Duration kSilenceBeforeUrgentQuery = kMaxStandstill;
  // What an entry orders just before it gives its jobs up is known to others in
  // time: an agent tells that it has heard the entry with its next heartbeat,
  // and an entry tells it with the answer to the next query.
  static_assert(kMaxUnheard + kHeartbeatInterval * 2 <
                StepScheduler::kWorkerLostTimeout);

  explicit StepEntryNode(StepEntryOptions options);
  StepEntryNode(const StepEntryNode&) = delete;
  StepEntryNode& operator=(const StepEntryNode&) = delete;

  /// Connects to the entries listed in the settings at start.
  void AddConfiguredEntries(const std::vector<std::string>& addresses);
  /// Connects to an entry unless it is known, and announces it to all peers.
  void AddEntry(const std::string& address);

  void OnSubmission(CallerHandle caller, StepSubmission submission,
                    TimePoint now);
  void OnCallerGone(CallerHandle caller, TimePoint now);
  /// Cancels a job, here and at the other entries; false if none is known to
  /// have it.
  bool CancelJob(const StepJobId& job, TimePoint now);
  /// Unanswered jobs of the route of which no task can have run yet.
  std::size_t CountPending(const Route& route) const {
    return scheduler_.CountPending(route);
  }
  /// Applies a table from the operator's log or a peer; ignores older ones.
  void OnRouteTable(const RouteTable& table, const std::string& source,
                    TimePoint now);

  void OnLinkUp(LinkId link, TimePoint now);
  void OnLinkDown(LinkId link, TimePoint now);
  void OnMessage(LinkId link, const Message& message, TimePoint now);
  /// To be called after all messages of a frame.
  void OnFrameEnd(TimePoint now);
  void OnTick(TimePoint now);
  /// When to call `OnTick` next; to be asked again after each event.
  Duration TimeToNextTick(TimePoint now) const;

  /// Starts leaving: admits only jobs that can be finished before `end`.
  void Leave(TimePoint end);
  /// Answers the jobs that are still open when a leaving entry has to end.
  void AbandonOpenJobs(TimePoint now);
  bool IsIdle() const { return scheduler_.open_jobs() == 0; }
  bool IsReady(TimePoint now) const;
  bool leaving() const { return leave_deadline_.has_value(); }

  std::vector<StepAction> TakeActions();

  /// Jobs forgotten before the end of their retention, as there were too many.
  std::uint64_t known_jobs_forgotten() const {
    return known_jobs_.forgotten_early() + cancelled_jobs_.forgotten_early();
  }
  std::size_t known_jobs() const {
    return known_jobs_.size() + cancelled_jobs_.size();
  }

  const RouteTable& table() const { return table_; }
  const StepScheduler& scheduler() const { return scheduler_; }
  /// The route that a path matches; null if none.
  const Route* FindRoute(const std::string& host,
                         const std::string& path) const {
    return table_.Find(host, path);
  }
  bool has_table() const { return table_.version > 0; }
  /// Of itself and the entries linked to it.
  bool HasLowestIncarnation() const {
    return entry_links_.empty() ||
           options_.incarnation < entry_links_.begin()->first;
  }

 private:
  struct Peer {
    std::optional<Hello> hello;
    /// Send time of the peer's newest heartbeat.
    std::optional<TimePoint> newest_sent_at;
    /// The newest of these that was echoed back to the peer.
    std::optional<TimePoint> last_echoed;
    TimePoint last_heard;
    TimePoint heartbeat_sent_at = TimePoint::Never();
    /// Sent with the next message or heartbeat.
    std::vector<TaskEndAck> acknowledgements;
    bool pull_sent = false;
    std::optional<DataCentreName> data_centre;  ///< Of an agent's worker.
  };
  /// A job that this or another entry has or had.
  struct KnownJob {
    /// Other entries that announced it and have not said that no run of it is
    /// left there; the newest announcement last.
    std::vector<Incarnation> holders;
    /// To which this entry has handed the job over.
    std::optional<Incarnation> successor;
    /// Has been told that this entry has the job, and will ask for it.
    std::optional<Incarnation> querier;
  };
  struct CancelledJob {};
  /// Who asked for a job and gets it once no run of it is left here.
  struct HandoverRequester {
    Incarnation entry;
    LinkId link;
  };
  /// A job held here until no other entry has a run of it left.
  struct Handover {
    /// Asked to give the job up; unset while it is queried who has the job.
    std::optional<Incarnation> from;
    TimePoint requested_at;
    /// Others that may have runs of it, to be asked after `from`.
    std::vector<Incarnation> others;
    /// Entries not caught up with are queried once `others` have been asked.
    bool is_query_due = false;
    /// Those that have not answered the query yet.
    std::set<Incarnation> queried = {};
    /// One that knows what all entries have open has answered it.
    bool is_vouched_for = false;
    /// By whom each of `others` was named: that one knows when it is lost, even
    /// if this entry was never linked to it.
    std::map<Incarnation, Incarnation> named_by = {};
    bool is_first = false;  ///< Nothing was known of the job before.
    /// Have handed the job over and wait for it no longer.
    std::set<Incarnation> released = {};
  };

  void On(LinkId link, const Hello& hello, TimePoint now);
  void On(LinkId link, const Members& members, TimePoint now);
  void On(LinkId link, const Heartbeat& heartbeat, TimePoint now);
  void On(LinkId link, const RouteTablePull& pull, TimePoint now);
  void On(LinkId link, const RouteTablePush& push, TimePoint now);
  void On(LinkId link, const JobsAccepted& accepted, TimePoint now);
  void On(LinkId link, const JobHandoverRequest& request, TimePoint now);
  void On(LinkId link, const JobHandedOver& handed, TimePoint now);
  void On(LinkId link, const JobMoved& moved, TimePoint now);
  void On(LinkId link, const JobHoldersQuery& query, TimePoint now);
  void On(LinkId link, const JobHolders& holders, TimePoint now);
  void On(LinkId link, const JobsCancelled& cancelled, TimePoint now);
  void On(LinkId link, const EntriesHeard& heard, TimePoint now);
  void On(LinkId link, const EntriesSilent& silent, TimePoint now);
  void On(LinkId link, const WorkerCard& card, TimePoint now);
  void On(LinkId link, const WorkerReport& report, TimePoint now);
  void On(LinkId link, const AttemptList& list, TimePoint now);
  void On(LinkId link, const TaskEnd& end, TimePoint now);
  void On(LinkId link, const WorkerCrashed& crash, TimePoint now);
  template <class Other>
  void On(LinkId /*link*/, const Other& /*other*/, TimePoint /*now*/) {}

  /// Gives up jobs that other entries may have taken over. To be called first
  /// in each event after which tasks may be ordered.
  void AbandonLostJobs(TimePoint now);
  void AbandonJobsAfterStandstill(TimePoint now);
  void AbandonJobsIfUnheard(TimePoint now);
  /// Another process has received what this one sent at `sent_at`.
  void OnHeardByOthers(TimePoint sent_at, TimePoint now);
  /// To be called when messages from others may have been missed.
  void CatchUp(TimePoint now);
  /// Returns false if no other entry can have runs of the job.
  bool BeginHandover(const StepJobId& job, TimePoint now);
  void BeginQuery(const StepJobId& job, Handover handover, TimePoint now);
  std::set<Incarnation> ChooseVouchers(const StepJobId& job) const;
  std::vector<Incarnation> HoldersOf(const StepJobId& job, TimePoint now) const;
  std::set<Incarnation> UnreadEntries(TimePoint now) const;
  bool KnowsAllHolders(TimePoint now) const;
  /// For a while after a start, jobs that others have may be unknown here, and
  /// runs of this entry's earlier process may go on.
  bool IsStarting(TimePoint now) const;
  bool IsLinkedToAllEntries() const;
  bool HasMissedAnnouncements(TimePoint now) const;
  void BeginStart(TimePoint now);
  void ReadFromStart(Incarnation entry, TimePoint now);
  void EndQueryIfDone(const StepJobId& job, TimePoint now);
  /// Goes on with the next entry that may have runs of the job, if any.
  void ContinueHandover(const StepJobId& job, TimePoint now);
  /// True if the entry can have no runs left.
  bool IsLost(Incarnation entry, TimePoint now) const;
  /// True if all links to other entries are down, while agents hear some.
  bool IsCutFromEntries(TimePoint now) const;
  /// True if an entry that may have runs is not linked.
  bool IsAnyCutOff(TimePoint now) const;
  void SendSilentEntries(TimePoint now);
  void UpdateDataCentres(const RouteTable& previous, TimePoint now);
  void TellDataCentre(const DataCentreUpdate& update, TimePoint now);
  Handover* FindHandover(const StepJobId& job, LinkId sender);
  bool AskNextHolder(const StepJobId& job, Handover handover, TimePoint now);
  void SendHandoverRequest(const StepJobId& job, const Handover& handover);
  /// Remembers another entry that may have runs of a job held here.
  void AddHolder(const StepJobId& job, Handover& handover, Incarnation entry,
                 TimePoint now);
  void OnOtherHolder(const StepJobId& job, Incarnation entry, TimePoint now);
  void CheckHandovers(TimePoint now);
  void CheckQueries(TimePoint now);
  void RestartQueries(TimePoint now);
  void ResendHandoverRequests(Incarnation entry, TimePoint now);
  void EndHandover(const StepJobId& job, bool is_first, TimePoint now);
  void SendQuery(const StepJobId& job, Incarnation entry, TimePoint now);
  void OnRelinquished(TimePoint now);
  void SendHandedOver(const StepJobId& job, TimePoint now);
  std::optional<Incarnation> SuccessorOf(const StepJobId& job) const;
  bool IsHeldElsewhere(const StepJobId& job, TimePoint now) const;
  bool IsCancelled(const StepJobId& job) const {
    return cancelled_jobs_.Contains(job);
  }
  void SendCancelledJobs(LinkId link);
  void AnnounceJobs(TimePoint now);
  void ReannounceJobs(TimePoint now);
  void SendOpenJobs(LinkId link, TimePoint now);
  void SendHeartbeats(TimePoint now);
  void SendHeartbeat(LinkId link, Peer& peer, TimePoint now);
  void SendToAgent(SendMessage action, TimePoint now);
  void SendNewMembers(TimePoint now);
  void CloseSilentLinks(TimePoint now);
  std::optional<LinkId> LinkOf(Incarnation entry) const;
  void Send(LinkId link, Message message);
  /// Sends messages of type `Jobs` that list the jobs.
  template <class Jobs>
  void SendJobs(LinkId link, const std::vector<StepJobId>& jobs);
  void Log(LogLevel level, const std::string& event, LogFields fields);
  void CollectActions(TimePoint now);

  StepEntryOptions options_;
  RouteTable table_;
  StepScheduler scheduler_;
  std::map<LinkId, Peer> peers_;
  std::map<Incarnation, LinkId> entry_links_;
  /// When any process that can be reached has last heard from these.
  std::map<Incarnation, TimePoint> entry_heard_;
  /// When this entry, or an agent linked to it, has.
  std::map<Incarnation, TimePoint> entry_heard_here_;
  /// Other processes have heard this entry until then, or it has given its jobs
  /// up since.
  TimePoint heard_by_others_at_ = TimePoint::Never();
  bool is_cut_off_ = false;  ///< Not heard by others for `kMaxUnheard`.
  /// Of what these sent before the start, or the end of the last standstill,
  /// some may not have been read yet: they may have jobs that this entry does
  /// not know of.
  std::set<Incarnation> unread_entries_;
  TimePoint standstill_end_ = TimePoint::Never();  ///< Or the start.
  std::set<std::string> entry_addresses_;
  ExpiringTable<StepJobId, KnownJob> known_jobs_;
  ExpiringTable<StepJobId, CancelledJob> cancelled_jobs_;
  std::unordered_map<StepJobId, Handover> handovers_;
  std::unordered_map<StepJobId, HandoverRequester> handover_requesters_;
  std::vector<StepJobId> unannounced_;
  /// Addresses of entries that linked peers may not know yet.
  std::vector<std::string> new_members_;
  TimePoint next_members_;
  TimePoint next_heartbeat_;
  TimePoint next_peer_heartbeat_;
  TimePoint last_peer_heartbeat_ = TimePoint::Never();
  TimePoint next_silence_query_;
  TimePoint next_announcement_;
  TimePoint next_reannouncement_;
  /// Of data centres that were out of service since this process started.
  std::map<DataCentreName, DataCentreUpdate> data_centre_updates_;
  std::optional<TimePoint> leave_deadline_;
  TimePoint started_at_ = TimePoint::Never();
  TimePoint last_active_ = TimePoint::Never();  ///< Last tick or message.
  std::vector<StepAction> actions_;
};

}  // namespace geranium

#endif  // GERANIUM_ENTRY_STEP_ENTRY_NODE_H_
