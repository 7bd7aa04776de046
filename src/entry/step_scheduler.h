#ifndef GERANIUM_ENTRY_STEP_SCHEDULER_H_
#define GERANIUM_ENTRY_STEP_SCHEDULER_H_

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "contract/route_table.h"
#include "contract/step_job.h"
#include "entry/admission.h"
#include "entry/attempt_table.h"
#include "entry/job_queue.h"
#include "entry/late_job_policy.h"
#include "entry/open_step_job.h"
#include "entry/placement.h"
#include "entry/route_isolation.h"
#include "entry/step_actions.h"
#include "entry/urgent_reserve.h"
#include "entry/worker_ledger.h"
#include "link/messages.h"

namespace geranium {

struct StepSchedulerOptions {
  Incarnation incarnation;
  PlacementOptions placement;
  AdmissionOptions admission;
  /// Cores that a task takes at least: bounds the tasks that run at a worker.
  double min_task_cpu = 0.05;
  /// See UrgentReserve; 0 keeps nothing free.
  double urgent_reserve = 1;
  QueueOrder queue_order = QueueOrder::kPriority;
  /// See LateJobPolicy; otherwise late jobs wait until their start deadline.
  bool refuse_late = false;
};

/// Monotonic counters, exported as metrics.
struct StepCounters {
  std::uint64_t submitted = 0;
  std::uint64_t completed = 0;
  std::uint64_t failed = 0;
  std::uint64_t refused = 0;
  std::uint64_t refused_late = 0;  ///< Of these, by LateJobPolicy.
  std::uint64_t abandoned = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t orders = 0;
  std::uint64_t returned = 0;
  std::uint64_t stopped = 0;
  std::uint64_t lost = 0;
  std::uint64_t crashed = 0;  ///< Runs whose worker crashed.
};

/// Admits step jobs, orders their tasks at workers, answers each job once, and
/// never has two runs of a task at the same time. An order is a request to an
/// agent to start a task. Performs no I/O.
class StepScheduler {
 public:
  /// A worker not heard from for this long runs none of this entry's tasks any
  /// more: its agent stops them when the entry's heartbeats cease, or their
  /// lease runs out. At least the sum of both times.
  static constexpr Duration kWorkerLostTimeout{1500};

  explicit StepScheduler(StepSchedulerOptions options);
  // Its parts refer to each other.
  StepScheduler(const StepScheduler&) = delete;
  StepScheduler& operator=(const StepScheduler&) = delete;

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
  /// Starts no more tasks of the job until it is released: another entry may
  /// have runs of it.
  void Hold(const StepJobId& id);
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
  /// While workers are still being discovered, no job is refused for want of
  /// a suitable worker or for its expected wait.
  void SetDiscovering(bool discovering) { discovering_ = discovering; }
  void SetRouteTable(const RouteTable* table);
  void OnTick(TimePoint now);
  /// Dispatches waiting tasks that fit; to be called after a batch of messages.
  void PlaceWaitingTasks(TimePoint now);

  std::vector<StepAction> TakeActions();

  std::size_t open_jobs() const { return by_caller_.size(); }
  bool has_waiting_tasks() const { return !queue_.empty(); }
  std::size_t accepting_workers(TimePoint now) const {
    return workers_.CountAccepting(now);
  }
  const StepCounters& counters() const { return counters_; }
  const PlacementCounters& placement_counters() const {
    return placement_.counters();
  }
  bool has_uneven_workers() const { return placement_.is_uneven(); }

 private:
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

  /// One pass over the queue.
  struct PlacingPass {
    UnplacedSizes unplaced;
    int steps_left = 0;   ///< That it may still look at.
    int orders_left = 0;  ///< That it may still send.

    bool is_over() const { return steps_left <= 0 || orders_left <= 0; }
  };

  // Admission and answers.

  /// `capacity_share_`, but above 0 while there is no worker.
  double Cores() const;
  Backlog EstimateBacklog(const OpenStepJob& job) const {
    return queue_.EstimateBacklog(job, jobs_, Cores());
  }
  static StepAnswer RefusalOf(const OpenStepJob& job);
  static std::string UnsupportedReason(const StepJob& job, const Route& route);
  bool LacksIsolatedRoom(const OpenStepJob& job, TimePoint now) const;
  bool AnswerIfGivenUp(OpenStepJob& job, TimePoint now);
  void Answer(OpenStepJob& job, StepAnswer answer, Duration retry_after,
              const std::string& reason, TimePoint now);
  void RefuseWaiting(const std::vector<JobNumber>& refused,
                     const std::string& reason, TimePoint now);
  void ExpireJobs(TimePoint now);
  void RequeueLateJobs(TimePoint now);
  void RefuseLateJobs(TimePoint now);
  void RefuseIsolatedJobs(TimePoint now);
  void StopRuns(OpenStepJob& job);
  void EraseIfDone(JobNumber number);

  // Placing.

  /// Both return true if tasks were left without room at any worker.
  bool PlaceJob(OpenStepJob& job, PlacingPass& pass, TimePoint now);
  bool PlaceStep(OpenStepJob& job, std::size_t index, PlacingPass& pass,
                 PlacementSummary& placed, TimePoint now);
  void SetMoreWaiting(std::size_t first_action);
  Placement::Outcome PlaceTask(OpenStepJob& job, std::size_t step,
                               std::size_t task, PlacementSummary& placed,
                               TimePoint now);
  static Duration MaxQueueWait(Duration estimate);
  void SendOrder(OpenStepJob& job, std::size_t step, std::size_t task,
                 KnownWorker& worker, TimePoint now);

  // Ends of attempts.

  void EndAttempt(const AttemptId& id, AttemptEnd end,
                  const std::string& reason, TimePoint now);
  void OnTaskDone(OpenStepJob& job, std::size_t step, StepTask& task,
                  TimePoint now);
  void OnTaskFailed(OpenStepJob& job, std::size_t step, StepTask& task,
                    const KnownWorker* worker, TimePoint now);
  void OnTaskCrashed(OpenStepJob& job, std::size_t step, StepTask& task,
                     TimePoint now);

  // Workers.

  void ExpireSilentWorkers(TimePoint now);
  void MarkWorkerLost(KnownWorker& worker, const std::string& reason,
                      TimePoint now);
  void UpdateIsolation(TimePoint now);

  void LogAdmitted(const OpenStepJob& job, Duration expected_wait);
  void LogPlaced(const OpenStepJob& job, const PlacementSummary& placed,
                 TimePoint now);
  void LogReturned(const OpenStepJob& job, const OpenAttempt& attempt,
                   const KnownWorker* worker, AttemptEnd end,
                   const std::string& reason, TimePoint now);
  void Send(LinkId link, Message message);
  void Log(LogLevel level, const std::string& event, LogFields fields);

  StepSchedulerOptions options_;
  Admission admission_;
  const RouteTable* table_ = nullptr;
  JobNumber next_job_ = 1;
  std::map<JobNumber, OpenStepJob> jobs_;
  std::unordered_map<CallerHandle, JobNumber> by_caller_;
  std::unordered_map<StepJobId, JobNumber> by_id_;  ///< The newest submission.
  /// Relinquished submissions with open attempts, counted by job.
  std::unordered_map<StepJobId, std::size_t> being_relinquished_;
  JobQueue queue_;  ///< Jobs with waiting tasks.
  WorkerLedger workers_;
  RouteIsolation isolation_;
  Placement placement_;
  AttemptTable attempts_;
  LateJobPolicy late_jobs_;
  UrgentReserve urgent_reserve_;
  bool discovering_ = true;
  /// This entry's share of the workers' cores.
  double capacity_share_ = 0;
  bool lacks_room_ = false;  ///< The last pass left tasks without room.
  std::vector<StepJobId> relinquished_;
  std::vector<StepJobId> ended_;
  StepCounters counters_;
  std::vector<StepAction> actions_;
};

}  // namespace geranium

#endif  // GERANIUM_ENTRY_STEP_SCHEDULER_H_
