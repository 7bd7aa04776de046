#ifndef GERANIUM_STANDINS_STEP_SIMULATOR_H_
#define GERANIUM_STANDINS_STEP_SIMULATOR_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "entry/step_entry_node.h"
#include "sized_worker.h"
#include "worker/worker_session.h"

namespace geranium::standins {

/// One class of jobs that callers submit.
struct LoadClass {
  std::string name;
  int priority = 0;
  double jobs_per_second = 0;
  int mean_tasks = 1;
  Duration mean_work{100};  ///< Run time of one task.
  double cpu = 3.1;
  double cpu_sigma = 0;      ///< Log-normal, of jobs; at most 1.5 times `cpu`.
  double sigma = 0.4;        ///< Log-normal: tasks, work and estimate.
  double failing_tasks = 0;  ///< Share of runs that fail independently.
  double always_failing_share = 0;  ///< Share of jobs whose tasks always fail.
  /// Share of jobs of which one task crashes each worker that starts it.
  double crashing_share = 0;
  double rack_share = 0;   ///< Share of jobs with their data in a rack.
  bool same_rack = false;  ///< All of these use the first rack.
  Duration target_latency{60};
  double slack_factor = 1.6;
};

/// The load of the users' sites at `factor` times their usual rates.
std::vector<LoadClass> ReferenceLoad(double factor);
/// The same kinds of job with tasks so large that a worker runs four at a time,
/// for 30 workers of 32 cores at about 70 % of their capacity times `factor`.
std::vector<LoadClass> LargeTaskLoad(double factor);

struct StepSimulatorOptions {
  std::uint64_t seed = 1;
  int entries = 4;
  int workers = 11;
  int workers_per_rack = 3;
  Resources worker_capacity{36, 65536, 0};
  std::vector<LoadClass> load;
  StepSchedulerOptions scheduler;  ///< Identity fields are set per entry.
  std::size_t entry_links = 4;     ///< Per agent.
  Duration capacity_hold{0};       ///< Of the agents.
  Duration caller_delay{3};
  Duration link_delay{1};
  Duration resend_delay{1300};  ///< Until a caller sends a lost job again.
  /// Callers send a lost job to any entry, the same one included, instead of
  /// the next one.
  bool resend_anywhere = false;
  /// A call to a worker that is carried out late may reach its next
  /// incarnation, which has seen no token and no stop.
  bool late_calls_outlive_workers = true;
  Duration caller_timeout{5000};  ///< Sent with each submission.
  Duration worker_restart{3300};  ///< Until a worker that crashed is back.
};

/// Outcomes of the jobs of one class.
struct ClassReport {
  int submitted = 0;
  int within_objective = 0;
  int late = 0;      ///< Within three times the objective.
  int too_late = 0;  ///< Completed after that.
  int refused = 0;
  int crashing =
      0;  ///< Submitted jobs that crash workers; counted nowhere else.
  int failed = 0;
  int unanswered = 0;
  int refused_immediately = 0;  ///< Without having waited in a queue.
  double refused_wait_ms = 0;   ///< Sum over refused jobs.

  double ShareWithinObjective() const {
    return submitted == 0 ? 1 : 1.0 * within_objective / submitted;
  }
  /// Mean value of a job to the users, who count a late answer as 0.2.
  double Utility() const {
    return submitted == 0 ? 1 : (within_objective + 0.2 * late) / submitted;
  }
};

/// Which calls between an agent and a silent worker are lost.
enum class Silence {
  kBothWays,  ///< Some orders are carried out after the silence all the same.
  kAnswers,   ///< Calls are carried out in time.
};

/// Deterministic simulation of a site in one thread and simulated time: the
/// real entry and worker session logic with modelled workers, links, calls,
/// callers and faults. Checks while it runs that no task has two concurrent
/// runs, no worker exceeds its capacity and no task of a refused job starts.
class StepSimulator {
 public:
  explicit StepSimulator(StepSimulatorOptions options);
  ~StepSimulator();

  /// Advances to `until`; generates load if `with_load`.
  void Run(TimePoint until, bool with_load = true);
  TimePoint now() const { return now_; }
  /// Schedules `action`; a time in the past means now.
  void At(TimePoint when, std::function<void()> action);

  // Faults.
  WorkerFaults& faults(int worker);
  void KillAgent(int worker, Duration down);
  void FreezeAgent(int worker, Duration span);
  /// The new incarnation may have another capacity; its first announcement
  /// follows `unannounced` after its start.
  void RestartWorker(int worker, Duration down,
                     std::optional<Resources> capacity = {},
                     Duration unannounced = Duration(0));
  /// Loses calls between the worker and its agent; tasks keep running.
  void SilenceWorker(int worker, Duration span, Silence silence);
  /// Its process ends and is back after `worker_restart`; the agent goes on.
  void CrashWorker(int worker);
  void KillEntry(int entry, Duration down);
  void FreezeEntry(int entry, Duration span);
  /// Blocks traffic between an agent and all entries; its worker keeps running.
  void PartitionAgent(int worker, Duration span);
  /// Blocks traffic between two nodes. Agent i is node `entries` + i.
  void PartitionNodes(int one, int other, Duration span);
  /// Blocks traffic from one node to another.
  void BlockTraffic(int from, int to, Duration span);
  /// Cuts the given entries from all others; agents reach all of them.
  void SplitEntries(const std::set<int>& half, Duration span);
  /// Breaks the entry's links to other entries; they are then dialled again.
  void ResetEntryLinks(int entry);
  /// Breaks a share of the entry's links to agents.
  void ResetAgentLinks(int entry, double share);
  /// Breaks a share of the callers' connections to the entry. The callers
  /// notice at once, the entry after `notice`, if at all.
  void DropCallers(int entry, double share = 1,
                   std::optional<Duration> notice = {});
  /// Resets the connections of callers to the entry; both ends notice.
  void ResetCallers(int entry) { DropCallers(entry, 1, Duration(0)); }
  void SetOutOfService(const std::string& data_centre, bool out);
  /// Route tables that are published meanwhile reach the entry afterwards, if
  /// no other entry sends it one.
  void CutFromStore(int entry, Duration span);
  void LeaveAgent(int worker);
  /// From now on the entry admits only jobs that can finish within `grace`.
  void LeaveEntry(int entry, Duration grace);

  /// Submits one job to an entry; returns the job's number.
  int Submit(int entry, const LoadClass& kind, const std::string& rack = "");
  /// Sends the job to another entry while the first still holds it.
  void Resubmit(int job, int entry);
  /// Delivers a late copy of a job's request, unless it has been refused, or
  /// copied before. Nobody listens to the answer.
  void SendCopy(int job, int entry);
  /// From now on callers' requests arrive again, with this probability each,
  /// `least` to `most` later, at any entry.
  void CopyRequests(double share, Duration least, Duration most);
  bool IsCompleted(int job) const;
  std::optional<StepAnswer> AnswerOf(int job) const;

  const std::vector<std::string>& violations() const { return violations_; }
  std::map<std::string, ClassReport> Report() const;
  /// Descriptions of the jobs without an answer, for failed tests.
  std::vector<std::string> UnansweredJobs() const;
  /// Mean utility of all classes with equal weight.
  double Utility() const;
  SizedWorker& worker(int index);
  const WorkerSession& session(int worker) const;
  /// Crashes of workers caused by the tasks of one job, or of all.
  int CountCrashes(int job) const;
  int CountCrashes() const;
  /// Sets the share of a kind's jobs that crash workers, from now on.
  void SetCrashingShare(const std::string& kind, double share);
  const StepEntryNode& entry(int index) const;
  std::uint64_t starts() const { return starts_; }
  std::vector<std::string> recent_log;  ///< Newest log lines, for failed tests.
  /// What the processes have logged of the jobs with violations.
  std::vector<std::string> LogOfViolatedJobs() const;
  /// Number of messages logged so far with this event name.
  int CountLogMessages(const std::string& event) const;

 private:
  struct Agent;
  struct Entry;
  struct Job;
  struct LinkEnds;

  void AdvanceOneMs();
  void GenerateLoad();
  void StartAgent(int index);
  void StartEntry(int index);
  void Dial(int agent, int entry);
  void DialEntry(int from, int to);
  void ConnectAgent(int agent, const std::string& address);
  void DisconnectAgent(int agent, const std::string& address);
  bool IsBlocked(int from, int to) const;
  bool IsPartitioned(int one, int other) const {
    return IsBlocked(one, other) || IsBlocked(other, one);
  }
  std::vector<LinkId> FindLinks(
      const std::function<bool(const LinkEnds&)>& matches) const;
  /// Breaks a link at both ends.
  void BreakLink(LinkId link);
  /// Closes one end; the other end is told behind what was sent before.
  void CloseEnd(LinkId link, bool first);
  void SendOnLink(LinkId link, bool to_second, std::optional<Message> message);
  void Deliver(LinkId link, bool to_second);
  bool DeliverNext(LinkId link, bool to_second);
  void RunAgentActions(int index);
  void RunEntryActions(int index);
  template <class Order>
  void CallWorker(int index, const Order& order,
                  bool earlier_copy_lost = false);
  void AnswerPoll(int index, std::uint64_t incarnation,
                  std::uint64_t worker_life, const PollRuns& order,
                  TimePoint until);
  void OnAnswer(int entry, const AnswerStepJob& answer);
  void SendJob(int job, int entry);
  void DeliverJob(int job, int entry, std::uint64_t attempt);
  void PassToEntry(int job, int entry, std::uint64_t attempt);
  int NextEntry(int entry);
  void Announce(int index);
  /// True if a late call, sent in the worker's given life, is carried out.
  bool IsReachableLate(int index, std::uint64_t life) const;
  TimePoint LateTime();  ///< When an unanswered call is carried out.
  /// Calls `action` at the agent, once it is not frozen, unless it has ended.
  void AtAgent(int index, std::uint64_t incarnation, TimePoint when,
               std::function<void(WorkerSession&)> action);
  void CheckWorkers();
  void RecordStart(const TaskRun& run);
  void AddViolation(const std::string& description);
  void RecordLogMessage(const std::string& process, const LogMessage& msg);
  RouteTable MakeRouteTable() const;
  void PublishRouteTable(int entry);

  StepSimulatorOptions options_;
  Random random_;  ///< For the load: independent of scheduling decisions.
  Random call_random_;
  Random caller_random_;
  TimePoint now_{1000};
  std::multimap<TimePoint, std::function<void()>> events_;
  std::vector<std::unique_ptr<Agent>> agents_;
  std::vector<std::unique_ptr<Entry>> entries_;
  std::map<LinkId, LinkEnds> links_;
  std::uint64_t next_link_ = 1;
  std::uint64_t next_incarnation_ = 1;
  std::vector<std::unique_ptr<Job>> jobs_;
  std::map<std::string, TaskBehaviour> task_behaviours_;
  std::set<std::string> started_jobs_;  ///< Jobs that have started a task.
  std::vector<TimePoint> next_arrival_;
  std::set<std::string> data_centres_out_;
  /// By the sending and the receiving node.
  std::map<std::pair<int, int>, TimePoint> blocked_until_;
  std::uint64_t table_offset_ = 1;
  std::uint64_t starts_ = 0;
  std::map<std::string, int> crashes_;  ///< By the task that ran.
  std::map<std::string, int> log_message_counts_;
  bool with_load_ = true;
  double copied_share_ = 0;
  Duration least_copy_delay_;
  Duration most_copy_delay_;
  std::vector<std::string> violations_;
  std::map<std::string, std::vector<std::string>> job_logs_;
  std::set<std::string> violated_jobs_;
  std::set<std::string> violation_descriptions_;  ///< Each is recorded once.
};

}  // namespace geranium::standins

#endif  // GERANIUM_STANDINS_STEP_SIMULATOR_H_
