#ifndef GERANIUM_ENTRY_STEP_SCHEDULER_H_
#define GERANIUM_ENTRY_STEP_SCHEDULER_H_

#include <deque>
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
#include "link/messages.h"

namespace geranium {

struct StepSchedulerOptions {
  Incarnation incarnation;
  DataCentreName data_centre;      ///< The entry's own.
  double cross_rack_factor = 1.5;  ///< Run time away from the data's rack.
  /// Share (in per cent) of the time to spare within its objective that a job
  /// may wait before younger jobs go first, and it is refused on arrival.
  /// Estimates are rough, and a job that starts at the last moment is often
  /// late.
  std::int64_t wait_percent = 50;
  /// A job that cannot start in time for its objective is still taken in if all
  /// that waits ahead takes at most this share (in per cent) of the time until
  /// its answer is of no use; a late answer serves its caller, a refusal does
  /// not.
  std::int64_t late_percent = 50;
  /// This many urgent tasks may wait for room at a worker, ahead of all others.
  double urgent_ahead = 2;
  /// Share of a worker's processors that is left free for tasks whose data are
  /// in its rack when one from elsewhere is placed there.
  double local_reserve = 0.2;
};

/// Counts for metrics.
struct StepCounters {
  std::uint64_t submitted = 0;
  std::uint64_t completed = 0;
  std::uint64_t failed = 0;
  std::uint64_t refused = 0;
  std::uint64_t abandoned = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t orders = 0;
  std::uint64_t returned = 0;
  std::uint64_t stopped = 0;
  std::uint64_t lost = 0;
};

/// Places the tasks of step jobs on workers by room, rack and speed, answers
/// each job once, and never has two runs of a task at the same time. Holds no
/// socket, thread or clock.
class StepScheduler {
 public:
  /// A worker is given nothing new after this much silence.
  static constexpr Duration kWorkerStaleTimeout{300};
  /// After this much silence nothing that was ordered there runs any more: the
  /// agent stops it when our proofs of life cease, or its lease runs out.
  static constexpr Duration kWorkerLostTimeout{1350};

  explicit StepScheduler(StepSchedulerOptions options);

  // Callers.

  /// Admits the job, or answers it at once. While `held`, nothing is ordered.
  void Submit(CallerHandle caller, StepJob job, const Route& route,
              Duration caller_timeout, bool held, TimePoint now);
  /// Nobody waits for the job's answer any more.
  void OnCallerGone(CallerHandle caller, TimePoint now);
  /// Ends an open job at its caller's wish; false if it is not known.
  bool Cancel(const StepJobId& id, TimePoint now);
  std::size_t CountPending(const Route& route) const;
  /// Orders of a job that was held may be sent.
  void Release(const StepJobId& id, TimePoint now);
  /// Gives the job up; `GivenUp` lists it when nothing of it runs.
  void Relinquish(const StepJobId& id, TimePoint now);
  std::vector<StepJobId> TakeRelinquished();
  bool HasJob(const StepJobId& id) const { return by_id_.contains(id); }

  // Workers.

  void OnWorkerLinkUp(LinkId link, Incarnation agent, TimePoint now);
  void OnWorkerLinkDown(LinkId link, TimePoint now);
  /// Anything came over the worker's link.
  void OnLinkActivity(LinkId link, TimePoint now);
  void On(LinkId link, const WorkerCard& card, TimePoint now);
  void On(LinkId link, const WorkerReport& report, TimePoint now);
  void On(LinkId link, const AttemptList& list, TimePoint now);
  void On(LinkId link, const TaskEnd& end, TimePoint now);

  /// The longest chain of estimates in the job.
  static Duration CriticalPath(const StepJob& job);
  /// While workers are still being learnt of, a job that fits none waits.
  void SetDiscovering(bool discovering) { discovering_ = discovering; }
  void SetRouteTable(const RouteTable* table) { table_ = table; }
  void OnTick(TimePoint now);
  /// Places what waits; to be called after a batch of messages.
  void PlaceWaitingTasks(TimePoint now);

  std::vector<StepAction> TakeActions();

  std::size_t open_jobs() const { return by_caller_.size(); }
  std::size_t accepting_workers(TimePoint now) const;
  const StepCounters& counters() const { return counters_; }

 private:
  enum class TaskState { kBlocked, kWaiting, kDispatched, kDone };

  struct StepTask {
    TaskState state = TaskState::kBlocked;
    std::uint64_t run = 0;  ///< The newest run that was ordered.
    std::uint32_t failures = 0;
    std::optional<AttemptId> attempt;
    std::optional<WorkerId> avoid_worker;  ///< Where the last run went wrong.
  };

  struct Step {
    std::vector<StepTask> tasks;
    std::size_t waiting = 0;
    std::size_t done = 0;
  };

  using JobNumber = std::uint64_t;

  struct Job {
    CallerHandle caller;
    StepJob spec;
    Route route;
    TimePoint submitted;
    /// Started later than this it misses its latency objective.
    TimePoint latest_start;
    TimePoint start_deadline;   ///< Unstarted by then, it cannot be of use.
    TimePoint answer_deadline;  ///< Nobody waits for its answer any more.
    std::vector<Step> steps;
    std::size_t waiting = 0;
    std::size_t open_attempts =
        0;  ///< Orders that are not known to have ended.
    std::uint64_t orders = 0;
    bool held = false;
    bool late = false;  ///< Past its latest start with nothing started.
    bool answered = false;
    bool relinquished = false;
    bool may_have_run = false;
  };

  /// A place in the queue: jobs that can meet their objective come first, then
  /// the more urgent, then the older.
  struct QueueKey {
    bool late = false;
    int priority = 0;
    JobNumber number = 0;
    auto operator<=>(const QueueKey&) const = default;
  };

  struct Worker {
    Incarnation agent;
    std::optional<LinkId> link;
    std::optional<WorkerCard> card;
    WorkerReport report;
    TimePoint reported_at;
    TimePoint last_heard;
    double cpu_sent = 0;  ///< Over the present link.
    TimePoint next_probe = TimePoint::Never();
    std::set<AttemptId> attempts;
  };

  struct Attempt {
    JobNumber job = 0;
    std::size_t step = 0;
    std::size_t task = 0;
    Incarnation agent;
    TimePoint sent;
  };

  /// What is looked for in a worker.
  struct PlacementRequest {
    const StepSpec* step = nullptr;
    const Job* job = nullptr;
    const Step* step_state = nullptr;
    std::size_t step_index = 0;
    const std::optional<WorkerId>* avoid_worker = nullptr;
    bool has_local_worker =
        false;  ///< A worker in the data's rack takes orders.
  };

  static QueueKey QueueKeyOf(const Job& job, JobNumber number) {
    return {job.late, job.route.priority, number};
  }
  /// What waits ahead of a new job.
  struct Backlog {
    Duration in_time;  ///< Ahead of a job that can meet its objective.
    Duration total;    ///< Ahead of one that cannot.
  };

  Backlog EstimateBacklog(int priority) const;
  bool IsQueueTooLong(const Job& job, const Backlog& backlog,
                      TimePoint now) const;
  double CapacityShare(TimePoint now) const;
  void RequeueLateJobs(TimePoint now);
  std::string UnsupportedReason(const StepJob& job, const Route& route) const;
  void UnblockSteps(Job& job);
  /// Orders of one job that were sent in one go, for its log line.
  struct PlacementSummary {
    std::map<std::string, int> tasks;  ///< By worker.
    Duration oldest_report;
  };

  bool PlaceTask(JobNumber number, Job& job, std::size_t step, std::size_t task,
                 PlacementSummary& placed, TimePoint now);
  void LogPlaced(const Job& job, const PlacementSummary& placed, TimePoint now);
  bool HasLocalWorker(const PlacementRequest& request, TimePoint now) const;
  Worker* ChooseWorker(PlacementRequest request, TimePoint now);
  bool IsEligible(const Worker& worker, const PlacementRequest& request,
                  TimePoint now) const;
  static bool HasLabel(const WorkerCard& card, const std::string& label);
  static bool IsLocal(const WorkerCard& card, const StepSpec& step);
  bool MayPlaceRemote(const Worker& worker,
                      const PlacementRequest& request) const;
  static double FreeCpu(const Worker& worker, int priority);
  double Cost(const Worker& worker, const PlacementRequest& request) const;
  bool IsOnProbation(const Worker& worker) const;
  double MedianSlowness() const;
  bool FitsAnyWorker(const StepSpec& step, const ServiceName& service) const;
  std::uint32_t CountTasksOn(const PlacementRequest& request,
                             const Worker& worker) const;
  static Duration MaxQueueWait(Duration estimate);
  void SendOrder(JobNumber number, Job& job, std::size_t step, std::size_t task,
                 Worker& worker, TimePoint now);
  void LogAdmitted(const Job& job, Duration expected_wait);
  void LogReturned(const Job& job, const Attempt& attempt, const Worker* worker,
                   AttemptEnd end, const std::string& reason, TimePoint now);
  void EndAttempt(const AttemptId& id, AttemptEnd end,
                  const std::string& reason, TimePoint now);
  void OnTaskDone(Job& job, std::size_t step, StepTask& task, TimePoint now);
  void OnTaskFailed(Job& job, std::size_t step, StepTask& task,
                    const Worker* worker, TimePoint now);
  void RequeueTask(Job& job, std::size_t step, StepTask& task);
  void Answer(Job& job, StepAnswer answer, Duration retry_after,
              const std::string& reason, TimePoint now);
  void StopRuns(Job& job);
  void EraseIfDone(JobNumber number);
  void ExpireJobs(TimePoint now);
  void ExpireSilentWorkers(TimePoint now);
  void MarkWorkerLost(Worker& worker, const std::string& reason, TimePoint now);
  Worker* FindByLink(LinkId link);
  void Send(LinkId link, Message message);
  void Log(LogLevel level, const std::string& event, LogFields fields);

  StepSchedulerOptions options_;
  const RouteTable* table_ = nullptr;
  JobNumber next_job_ = 1;
  std::uint64_t next_attempt_ = 1;
  std::map<JobNumber, Job> jobs_;
  std::unordered_map<CallerHandle, JobNumber> by_caller_;
  std::unordered_map<StepJobId, JobNumber> by_id_;
  /// Jobs with waiting tasks.
  std::set<QueueKey> queue_;
  std::map<Incarnation, Worker> workers_;
  std::unordered_map<LinkId, Incarnation> by_link_;
  std::unordered_map<AttemptId, Attempt> attempts_;
  bool discovering_ = true;
  double median_slowness_ = 1;
  /// This entry's share of the workers' processors.
  double capacity_share_ = 0;
  std::vector<StepJobId> relinquished_;
  StepCounters counters_;
  std::vector<StepAction> actions_;
};

}  // namespace geranium

#endif  // GERANIUM_ENTRY_STEP_SCHEDULER_H_
