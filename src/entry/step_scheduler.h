#ifndef GERANIUM_ENTRY_STEP_SCHEDULER_H_
#define GERANIUM_ENTRY_STEP_SCHEDULER_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "contract/route_table.h"
#include "contract/step_job.h"
#include "entry/admission.h"
#include "entry/crash_history.h"
#include "entry/step_actions.h"
#include "entry/urgent_reserve.h"
#include "link/messages.h"

namespace geranium {

struct StepSchedulerOptions {
  Incarnation incarnation;
  DataCentreName data_centre;  ///< The entry's own.
  /// Run time outside the data's rack, relative to that within it.
  double cross_rack_factor = 1.5;
  AdmissionOptions admission;
  /// Tasks of the most urgent priority may queue at a full worker, ahead of all
  /// others, up to this fraction of its cores. Where a task takes more than
  /// that, only a few run at once and a place is too long in coming.
  double urgent_ahead = 0.17;
  /// See UrgentReserve; 0 keeps nothing free.
  double urgent_reserve = 1;
  /// Fraction of a worker's cores that must stay free, for tasks with data in
  /// its rack, when a task with data in another rack is placed there.
  double local_reserve = 0.2;
};

/// Monotonic counters, exported as metrics.
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
  std::uint64_t crashed = 0;  ///< Runs whose worker crashed.
};

/// Places the tasks of step jobs on workers by free capacity, rack and speed,
/// answers each job once, and never has two runs of a task at the same time.
/// An order is a request to an agent to start a task. Performs no I/O.
class StepScheduler {
 public:
  /// A worker not heard from for this long gets no new orders.
  static constexpr Duration kWorkerStaleTimeout{300};
  /// A worker not heard from for this long runs none of this entry's tasks any
  /// more: its agent stops them when the entry's heartbeats cease, or their
  /// lease runs out. At least the sum of both times.
  static constexpr Duration kWorkerLostTimeout{1500};

  explicit StepScheduler(StepSchedulerOptions options);

  // Callers.

  /// What is known of earlier submissions of a job.
  struct Precedent {
    bool may_have_run = false;
    bool hold = false;  ///< Dispatch only once the job is released.
  };

  /// Admits the job, or answers it at once.
  void Submit(CallerHandle caller, StepJob job, const Route& route,
              Duration caller_timeout, Precedent precedent, TimePoint now);
  /// Abandons the job of a caller that has disconnected.
  void OnCallerGone(CallerHandle caller, TimePoint now);
  /// Cancels an open job at its caller's request; false if it is unknown.
  bool Cancel(const StepJobId& id, TimePoint now);
  std::size_t CountPending(const Route& route) const;
  /// Starts no more tasks of the job until it is released.
  void Hold(const StepJobId& id) {
    const auto found = by_id_.find(id);
    if (found != by_id_.end()) jobs_.at(found->second).held = true;
  }
  /// Allows a held job to be dispatched; `is_first` if nothing of it can have
  /// run before, so that it may still be refused.
  void Release(const StepJobId& id, bool is_first, TimePoint now);
  /// Abandons all submissions of the job so that another one can run;
  /// `TakeRelinquished` returns it once no attempt of any of them is open.
  void Relinquish(const StepJobId& id, TimePoint now);
  std::vector<StepJobId> TakeRelinquished();
  /// Abandons all unanswered jobs; returns their number.
  std::size_t AbandonOpenJobs(const std::string& reason, TimePoint now);
  /// How long the job's tasks take if they have this entry's share of the
  /// workers' cores to themselves.
  Duration WorkTime(const StepJob& job) const;
  /// Jobs answered since the last call of which a task may have run.
  std::vector<StepJobId> TakeEnded();
  bool HasJob(const StepJobId& id) const { return by_id_.contains(id); }
  /// True also while only runs of relinquished submissions are open.
  bool MayHaveRuns(const StepJobId& id) const {
    return HasJob(id) || IsBeingRelinquished(id);
  }
  bool IsBeingRelinquished(const StepJobId& id) const {
    return being_relinquished_.contains(id);
  }
  bool HasUnansweredJob(const StepJobId& id) const {
    const auto found = by_id_.find(id);
    return found != by_id_.end() && !jobs_.at(found->second).answered;
  }
  /// Jobs submitted by `latest` that may have a run, including answered ones
  /// that are being stopped.
  std::vector<StepJobId> OpenJobs(TimePoint latest) const;

  // Workers.

  void OnWorkerLinkUp(LinkId link, Incarnation agent, TimePoint now);
  void OnWorkerLinkDown(LinkId link, TimePoint now);
  /// To be called for each message from the worker.
  void OnLinkActivity(LinkId link, TimePoint now);
  void On(LinkId link, const WorkerCard& card, TimePoint now);
  void On(LinkId link, const WorkerReport& report, TimePoint now);
  void On(LinkId link, const AttemptList& list, TimePoint now);
  void On(LinkId link, const TaskEnd& end, TimePoint now);
  void On(LinkId link, const WorkerCrashed& crash, TimePoint now);

  /// The sum of the estimates along the job's critical path.
  static Duration CriticalPath(const StepJob& job);
  /// The estimated processor time of all tasks.
  static double CoreMs(const StepJob& job);
  /// While workers are still being discovered, no job is refused for want of
  /// a suitable worker or for its expected wait.
  void SetDiscovering(bool discovering) { discovering_ = discovering; }
  void SetRouteTable(const RouteTable* table) { table_ = table; }
  void OnTick(TimePoint now);
  /// Dispatches waiting tasks that fit; to be called after a batch of messages.
  void PlaceWaitingTasks(TimePoint now);

  std::vector<StepAction> TakeActions();

  std::size_t open_jobs() const { return by_caller_.size(); }
  bool has_waiting_tasks() const { return !queue_.empty(); }
  std::size_t accepting_workers(TimePoint now) const;
  const StepCounters& counters() const { return counters_; }

 private:
  static constexpr int kMostUrgentPriority = 0;

  enum class TaskState { kBlocked, kWaiting, kDispatched, kDone };

  struct StepTask {
    TaskState state = TaskState::kBlocked;
    std::uint64_t run = 0;  ///< Number of the newest run.
    std::uint32_t failures = 0;
    std::uint32_t crashes = 0;  ///< Workers that crashed under it.
    std::optional<AttemptId> attempt;
    std::optional<WorkerId> avoid_worker;  ///< Its last run failed or was slow.
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
    JobDeadlines deadlines;
    std::vector<Step> steps;
    std::size_t waiting = 0;
    std::size_t open_attempts = 0;  ///< Not known to have ended.
    std::uint64_t orders = 0;
    bool held = false;
    bool late = false;  ///< Past its latest start with nothing started.
    bool answered = false;
    bool relinquished = false;
    bool may_have_run = false;  ///< Here, or at an earlier entry.
  };

  /// Queue order: jobs that are not late come first, then the more urgent, then
  /// the older.
  struct QueueKey {
    bool late = false;
    int priority = 0;
    JobNumber number = 0;
    auto operator<=>(const QueueKey&) const = default;
  };

  struct Worker {
    Incarnation agent;
    std::optional<LinkId> link;
    LinkId newest_link;  ///< Also when it is down.
    std::optional<WorkerCard> card;
    WorkerReport report;
    TimePoint reported_at;
    TimePoint last_heard;
    double cpu_sent = 0;  ///< Over the current link.
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

  /// The task for which a worker is sought.
  struct PlacementRequest {
    const StepSpec* step = nullptr;
    const Job* job = nullptr;
    const Step* step_state = nullptr;
    std::size_t step_index = 0;
    const std::optional<WorkerId>* avoid_worker = nullptr;
    bool is_crash_suspect = false;
    bool has_local_worker = false;  ///< One in the data's rack takes orders.
  };

  static QueueKey QueueKeyOf(const Job& job, JobNumber number) {
    return {job.late, job.route.priority, number};
  }
  Backlog EstimateBacklog(int priority) const;
  static StepAnswer RefusalOf(const Job& job);
  double CapacityShare(TimePoint now) const;
  void RequeueLateJobs(TimePoint now);
  std::string UnsupportedReason(const StepJob& job, const Route& route) const;
  void UnblockSteps(Job& job);
  /// Orders of one job sent in one pass, for its log line.
  struct PlacementSummary {
    std::map<std::string, int> tasks;  ///< By worker.
    Duration oldest_report;
  };

  /// The size for which no worker was found in this pass, by what else decides
  /// where a task may run.
  using UnplacedSizes =
      std::map<std::tuple<ServiceName, int, std::string, std::string, bool>,
               Resources>;

  void PlaceStep(JobNumber number, Job& job, std::size_t index,
                 UnplacedSizes& unplaced, PlacementSummary& placed,
                 TimePoint now);
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
  double ReservedCpu(const Worker& worker, int priority) const;
  double UrgentAheadCpu(const Worker& worker, double task_cpu,
                        int priority) const;
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
  void OnTaskCrashed(Job& job, std::size_t step, std::size_t index,
                     TimePoint now);
  int CrashesAtStart(const Job& job, std::size_t step, std::size_t task) const;
  bool IsGivenUp(const Job& job) const;
  bool AnswerIfGivenUp(Job& job, TimePoint now);
  void UpdateIsolation(TimePoint now);
  bool IsNoneProtected(const Route& route) const;
  bool MayRunIsolated(const Worker& worker,
                      const PlacementRequest& request) const;
  bool LacksIsolatedRoom(const Job& job, TimePoint now) const;
  void RefuseIsolatedJobs(TimePoint now);
  void Answer(Job& job, StepAnswer answer, Duration retry_after,
              const std::string& reason, TimePoint now);
  void StopRuns(Job& job);
  void EraseIfDone(JobNumber number);
  void ExpireJobs(TimePoint now);
  void ExpireSilentWorkers(TimePoint now);
  void MarkWorkerLost(Worker& worker, const std::string& reason, TimePoint now);
  Worker* FindByLink(LinkId link);
  static TaskName NameOf(const Job& job, std::size_t step, std::size_t task);
  void Send(LinkId link, Message message);
  void Log(LogLevel level, const std::string& event, LogFields fields);

  StepSchedulerOptions options_;
  Admission admission_;
  const RouteTable* table_ = nullptr;
  JobNumber next_job_ = 1;
  std::uint64_t next_attempt_ = 1;
  std::map<JobNumber, Job> jobs_;
  std::unordered_map<CallerHandle, JobNumber> by_caller_;
  std::unordered_map<StepJobId, JobNumber> by_id_;  ///< The newest submission.
  /// Relinquished submissions with open attempts, counted by job.
  std::unordered_map<StepJobId, std::size_t> being_relinquished_;
  /// Jobs with waiting tasks.
  std::set<QueueKey> queue_;
  std::map<Incarnation, Worker> workers_;
  std::unordered_map<LinkId, Incarnation> by_link_;
  std::unordered_map<AttemptId, Attempt> attempts_;
  bool discovering_ = true;
  double median_slowness_ = 1;
  UrgentReserve urgent_reserve_;
  double reserved_fraction_ = 0;  ///< Of each worker, for urgent tasks.
  CrashHistory crash_history_;
  /// Agents whose workers run the isolated routes and nothing else.
  std::set<Incarnation> isolated_agents_;
  /// This entry's share of the workers' cores.
  double capacity_share_ = 0;
  std::vector<StepJobId> relinquished_;
  std::vector<StepJobId> ended_;
  StepCounters counters_;
  std::vector<StepAction> actions_;
};

}  // namespace geranium

#endif  // GERANIUM_ENTRY_STEP_SCHEDULER_H_
