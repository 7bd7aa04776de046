#ifndef GERANIUM_ENTRY_STEP_ENTRY_NODE_H_
#define GERANIUM_ENTRY_STEP_ENTRY_NODE_H_

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
#include "entry/step_actions.h"
#include "entry/step_scheduler.h"
#include "link/messages.h"

namespace geranium {

struct StepEntryOptions {
  EntryId id;
  Incarnation incarnation;
  std::string link_address;
  StepSchedulerOptions scheduler;
};

/// A job as it came in, before its route is looked up.
struct StepSubmission {
  std::string host;
  std::string path;
  StepJob job;
  std::optional<Duration> caller_timeout;  ///< How long the caller waits.
};

/// The decisions of an entry for step jobs: follows the operator's route
/// table, knows agents and other entries, hands jobs that were sent again
/// from one entry to another, and schedules. Holds no socket, thread or clock.
class StepEntryNode {
 public:
  static constexpr Duration kHeartbeatInterval{100};
  /// A link on which nothing came for this long is cut.
  static constexpr Duration kLinkTimeout{800};
  /// Accepted jobs are announced to other entries at this interval, well
  /// within the time after which a caller sends a job again.
  static constexpr Duration kAnnounceInterval{100};
  /// How long another entry's accepted job is remembered.
  static constexpr Duration kRemoteJobRetention{10'000};

  explicit StepEntryNode(StepEntryOptions options);

  /// Entries of the settings; they are dialled.
  void AddConfiguredEntries(const std::vector<std::string>& addresses);
  /// Dials an entry unless it is known, and tells the others of it.
  void AddEntry(const std::string& address);

  void OnSubmission(CallerHandle caller, StepSubmission submission,
                    TimePoint now);
  void OnCallerGone(CallerHandle caller, TimePoint now);
  /// Cancels a job; false if this entry does not know it.
  bool CancelJob(const StepJobId& job, TimePoint now);
  /// Jobs of the route that are accepted here and of which nothing has begun.
  std::size_t CountPending(const Route& route) const {
    return scheduler_.CountPending(route);
  }
  /// What the operator's log says; older tables are ignored.
  void OnRouteTable(const RouteTable& table, const std::string& source,
                    TimePoint now);

  void OnLinkUp(LinkId link, TimePoint now);
  void OnLinkDown(LinkId link, TimePoint now);
  void OnMessage(LinkId link, const Message& message, TimePoint now);
  /// After all messages of a frame.
  void OnFrameEnd(TimePoint now);
  void OnTick(TimePoint now);

  /// Begins to leave by `end`: admits only what can be finished before.
  void Leave(TimePoint end);
  bool IsIdle() const { return scheduler_.open_jobs() == 0; }
  bool IsReady(TimePoint now) const;
  bool leaving() const { return leave_deadline_.has_value(); }

  std::vector<StepAction> TakeActions();

  const RouteTable& table() const { return table_; }
  const StepScheduler& scheduler() const { return scheduler_; }
  /// The route of a path; null if there is none.
  const Route* FindRoute(const std::string& host,
                         const std::string& path) const {
    return table_.Find(host, path);
  }
  bool has_table() const { return table_.version > 0; }

 private:
  struct Peer {
    std::optional<Hello> hello;
    std::optional<TimePoint> newest_sent_at;
    std::optional<TimePoint> last_echoed;
    TimePoint last_heard;
    bool pull_sent = false;
  };
  struct RemoteJob {
    Incarnation entry;
    TimePoint announced_at;
  };
  /// A job that another entry has been asked to give up.
  struct Handover {
    Incarnation from;
    TimePoint requested_at;
  };

  void On(LinkId link, const Hello& hello, TimePoint now);
  void On(LinkId link, const Members& members, TimePoint now);
  void On(LinkId link, const Heartbeat& heartbeat, TimePoint now);
  void On(LinkId link, const RouteTablePull& pull, TimePoint now);
  void On(LinkId link, const RouteTablePush& push, TimePoint now);
  void On(LinkId link, const JobsAccepted& accepted, TimePoint now);
  void On(LinkId link, const JobHandoverRequest& request, TimePoint now);
  void On(LinkId link, const JobHandedOver& handed, TimePoint now);
  void On(LinkId link, const WorkerCard& card, TimePoint now);
  void On(LinkId link, const WorkerReport& report, TimePoint now);
  void On(LinkId link, const AttemptList& list, TimePoint now);
  void On(LinkId link, const TaskEnd& end, TimePoint now);
  template <class Other>
  void On(LinkId /*link*/, const Other& /*other*/, TimePoint /*now*/) {}

  bool RequestHandover(const StepJobId& job, TimePoint now);
  void CheckHandovers(TimePoint now);
  void NotifyHandoverRequesters(TimePoint now);
  void AnnounceJobs(TimePoint now);
  void SendHeartbeats(TimePoint now);
  void SendMembers();
  void CloseSilentLinks(TimePoint now);
  std::optional<LinkId> LinkOf(Incarnation entry) const;
  Heartbeat MakeHeartbeat(Peer& peer, TimePoint now) const;
  void Send(LinkId link, Message message);
  void Log(LogLevel level, const std::string& event, LogFields fields);
  void CollectActions(TimePoint now);

  StepEntryOptions options_;
  RouteTable table_;
  StepScheduler scheduler_;
  std::map<LinkId, Peer> peers_;
  std::map<Incarnation, LinkId> entry_links_;
  std::map<Incarnation, TimePoint> entry_heard_;
  std::set<std::string> entry_addresses_;
  std::unordered_map<StepJobId, RemoteJob> remote_jobs_;
  std::multimap<TimePoint, StepJobId> remote_job_expiry_;
  std::unordered_map<StepJobId, Handover> handovers_;
  std::unordered_map<StepJobId, std::vector<LinkId>> handover_requesters_;
  std::vector<StepJobId> unannounced_;
  TimePoint next_announce_;
  TimePoint next_heartbeat_;
  std::optional<TimePoint> leave_deadline_;
  std::optional<TimePoint> first_tick_;
  std::vector<StepAction> actions_;
};

}  // namespace geranium

#endif  // GERANIUM_ENTRY_STEP_ENTRY_NODE_H_
