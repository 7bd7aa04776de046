#ifndef GERANIUM_ENTRY_DISPATCHER_H_
#define GERANIUM_ENTRY_DISPATCHER_H_

#include <array>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "base/events.h"
#include "base/ids.h"
#include "base/quantile_window.h"
#include "base/random.h"
#include "contract/class_picker.h"
#include "data_centre/configuration.h"
#include "entry/actions.h"
#include "entry/fair_queue.h"
#include "entry/job.h"
#include "entry/policy.h"
#include "entry/retry_budget.h"
#include "entry/worker_table.h"

namespace geranium {

struct DispatcherOptions {
  Incarnation incarnation;
  std::string name;
  PolicyChoice policy;
  std::size_t queue_limit = 20'000;  ///< Tasks that may wait at the entry.
  Duration default_deadline{30'000};
  Duration worker_lost{3000};  ///< Silence after which grants are in doubt.
  bool hedge = true;
};

/// Counters for the metrics and the soak tests.
struct DispatcherCounters {
  std::uint64_t submissions = 0;
  std::uint64_t refused = 0;
  std::uint64_t answers_complete = 0;
  std::uint64_t answers_failed = 0;
  std::uint64_t offers = 0;
  std::uint64_t grants = 0;
  std::uint64_t results = 0;
  std::uint64_t late_results = 0;
  std::uint64_t run_ms = 0;  ///< Time that backend servers took for results.
  std::uint64_t not_started = 0;
  std::uint64_t withdrawn = 0;
  std::uint64_t hedges = 0;
  std::uint64_t retries = 0;
  std::uint64_t in_doubt = 0;
  std::uint64_t messages_sent = 0;
  std::uint64_t messages_received = 0;
  std::uint64_t wasted_messages = 0;
};

/// Single owner of the jobs that its entry admitted: decides, once for each
/// task, which worker may start it, and gives each job one answer. Uses no
/// sockets, threads or clock.
class Dispatcher {
 public:
  Dispatcher(DispatcherOptions options, const Configuration& configuration,
             Random& random, EventRing& events);

  // Submissions.

  /// Admits a submission; an error means that no task has run. Unless
  /// `claimed`, nothing is offered before `OnClaimDecided`.
  Result<JobId> Submit(Submission submission, bool claimed, TimePoint now);
  /// The job holds its key and may run, or `refusal` says why it must not.
  void OnClaimDecided(const JobId& job, const std::optional<Error>& refusal,
                      TimePoint now);
  /// Ends a job: drops its waiting tasks, sends cancels for the granted ones.
  void CancelJob(const JobId& job, const Error& reason, TimePoint now);

  // Workers.

  void OnWorkerUp(LinkId link, const Hello& hello, TimePoint now);
  void OnWorkerDown(LinkId link, TimePoint now);
  void OnHeartbeat(LinkId link, const Heartbeat& heartbeat, TimePoint now);
  void On(LinkId link, const OfferAck& ack, TimePoint now);
  void On(LinkId link, const Ready& ready, TimePoint now);
  void On(LinkId link, const NotStarted& not_started, TimePoint now);
  void On(LinkId link, const TaskResult& result, TimePoint now);
  void On(LinkId link, const Leaving& leaving, TimePoint now);

  // Configuration and time.

  /// Whether the configuration was confirmed recently enough to grant tasks.
  void SetConfigurationFresh(bool fresh) { configuration_fresh_ = fresh; }
  /// The configuration in force has changed.
  void OnConfiguration(TimePoint now);
  /// The number of entries that share the teams' quotas.
  void SetEntryCount(std::size_t entries) { entry_count_ = entries; }
  void OnTick(TimePoint now);

  std::vector<DispatchAction> TakeActions();

  const WorkerTable& workers() const { return workers_; }
  const DispatcherCounters& counters() const { return counters_; }
  const Job* FindJob(const JobId& id) const;
  std::size_t open_jobs() const { return jobs_.size(); }
  std::size_t waiting_tasks() const { return waiting_tasks_; }

 private:
  /// The waiting tasks of one class and service and their outstanding offers.
  struct Queue {
    FairQueue tasks;
    std::size_t waiting = 0;         ///< Tasks in it, without dropped ones.
    std::size_t offers = 0;          ///< Offers not granted yet.
    std::size_t offers_to_free = 0;  ///< Of these, offers to free slots.
  };

  enum class TimerKind {
    kDeadline,
    kUnacknowledged,
    kRequeue,
    kHedge,
    kOverdue
  };
  struct Timer {
    TimerKind kind = TimerKind::kDeadline;
    TaskRef task;
    AttemptId attempt;
  };

  // Admission (dispatcher_admission.cc).
  std::optional<Error> CheckAdmission(const Submission& submission,
                                      const ServiceSpec& service,
                                      TaskClass task_class, Duration deadline,
                                      TimePoint now) const;
  std::optional<Error> CheckQuota(const Submission& submission) const;
  std::optional<Error> CheckQueueLimit(const Submission& submission,
                                       TaskClass task_class, Duration deadline,
                                       TimePoint now) const;
  Duration ExpectedWait(const ServiceName& service, TaskClass task_class,
                        TimePoint now) const;
  Error MakeRefusal(ErrorCode code, std::string step,
                    std::string message) const;
  Job MakeJob(Submission submission, const ServiceSpec& service, bool claimed,
              TimePoint now);

  // Queues and offers (dispatcher_offers.cc).
  void Enqueue(Job& job, std::uint32_t index, bool at_front);
  void EnqueueAll(Job& job);
  void MarkDequeued(const Job& job, Task& task);
  void AdjustWaitingCount(const Job& job, int change);
  static QueueKey QueueKeyFor(const Job& job);
  std::optional<TaskRef> PeekWaiting(const QueueKey& key);
  TaskRef PopWaiting(const QueueKey& key);
  std::optional<QueueKey> NextQueue(const std::set<QueueKey>& blocked);
  void DispatchWaiting(TimePoint now);
  void DispatchWaitingTo(WorkerView& worker, TimePoint now);
  bool OfferNext(const QueueKey& key, WorkerView* only, TimePoint now);
  WorkerView* FindWorker(const WorkerQuery& query, const Job& job,
                         WorkerView* only, TimePoint now);
  WorkerQuery QueryFor(const Job& job, const Task& task) const;
  bool GrantsWithOffer(const Job& job, bool has_free_slot) const;
  AttemptId OpenAttempt(const Job& job, const Resources& size,
                        WorkerView& worker);
  void AdjustOfferCount(const Attempt& attempt, int change);
  void SendOffer(const Job& job, const Resources& size, WorkerView& worker,
                 TimePoint now);
  void SendGrantedOffer(const TaskRef& ref, WorkerView& worker, TimePoint now);
  void SendOfferMessage(const AttemptId& id, const Job& job, WorkerView& worker,
                        TimePoint now);
  Assignment AssignmentOf(const TaskRef& ref) const;

  // Attempts and answers (dispatcher_attempts.cc).
  bool MayGrantAt(const WorkerId& worker) const;
  void GrantReady(const AttemptId& id, TimePoint now);
  void SendGrant(const AttemptId& id, TimePoint now);
  void MarkGranted(Job& job, std::uint32_t index, const AttemptId& id,
                   TimePoint now);
  void RevokeAttempts(const Task& task);
  void RevokeAttempt(const AttemptId& id);
  std::optional<Attempt> CloseAttempt(const AttemptId& id);
  void RequeueTask(const TaskRef& ref, TimePoint now);
  void RequeueWithBackoff(const TaskRef& ref, TimePoint now);
  void ApplyResult(const Attempt& attempt, const TaskResult& result,
                   TimePoint now);
  void MarkInDoubt(const AttemptId& id, const std::string& why, TimePoint now);
  bool RetryTask(Job& job, std::uint32_t index, TimePoint now);
  void FinishTask(Job& job, Task& task, TaskOutcome outcome);
  void DropUnstarted(Job& job, const Error& reason);
  void DropTask(Job& job, Task& task, Error reason);
  void AnswerIfDone(Job& job, TimePoint now);
  void CheckAnswer(const Job& job, const JobAnswer& answer) const;
  void RevokeFromWorker(WorkerView& worker, bool include_granted,
                        const std::string& why, TimePoint now);
  void ResendGrants(WorkerView& worker, TimePoint now);
  void CheckSilentWorkers(TimePoint now);
  void OnTimer(const Timer& timer, TimePoint now);
  void OnRequeueTimer(const TaskRef& ref);
  void OnHedgeTimer(const Timer& timer, TimePoint now);
  void AddTimer(TimePoint at, TimerKind kind, TaskRef task,
                AttemptId attempt = {});
  WorkerView* OnWorkerMessage(LinkId link, const WorkerLoad& load,
                              TimePoint now);
  Job* FindMutableJob(const JobId& id);
  void Send(const WorkerView& worker, Message message);
  void RecordAttemptEvent(EventKind kind, TimePoint now, const AttemptId& id,
                          std::string detail);
  void RecordEvent(EventKind kind, TimePoint now, const TaskRef& task,
                   const AttemptId* attempt, const std::string& peer,
                   std::string detail);

  DispatcherOptions options_;
  const Configuration& configuration_;
  Random& random_;
  EventRing& events_;
  WorkerTable workers_;
  bool configuration_fresh_ = false;
  std::size_t entry_count_ = 1;
  std::uint64_t next_job_ = 1;
  std::uint64_t next_attempt_ = 1;
  std::unordered_map<JobId, Job> jobs_;
  std::unordered_map<AttemptId, Attempt> attempts_;
  std::map<QueueKey, Queue> queues_;
  std::array<ServiceName, kTaskClassCount> last_service_;
  ClassPicker class_picker_;
  std::array<std::size_t, kTaskClassCount> waiting_by_class_{};
  std::size_t waiting_tasks_ = 0;
  std::map<TeamName, std::size_t> tasks_by_team_;
  std::multimap<TimePoint, Timer> timers_;
  std::map<ServiceName, QuantileWindow> run_times_;
  std::map<ServiceName, double> mean_run_ms_;
  RetryBudget retry_budget_;
  TimePoint next_silence_check_;
  DispatcherCounters counters_;
  std::vector<DispatchAction> actions_;
};

}  // namespace geranium

#endif  // GERANIUM_ENTRY_DISPATCHER_H_
