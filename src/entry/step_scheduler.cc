#include "entry/step_scheduler.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace geranium {
namespace {

/// Answers later than this many times the response-time goal are worth nothing
/// to a caller.
constexpr std::int64_t kWorthlessAfterGoals = 3;
/// When a refused caller may try again: about as long as a full queue takes to
/// empty.
constexpr Duration kRetryAfter{1000};
/// A worker that fails what it starts, or is slow, is given one run at this
/// interval.
constexpr Duration kProbeInterval{1000};
/// A worker this many times slower than the median is slow. Estimates that are
/// off by 40 % leave the average of a few runs well below it.
constexpr double kSlowFactor = 2.0;
/// Added to a run number that a worker refused as too low.
constexpr std::uint64_t kRunSkip = 8;
/// Weight of a worker's load against the run time there: among workers of the
/// same speed the emptier one is chosen.
constexpr double kLoadWeight = 0.3;
/// Cost of a worker in another data centre, whose bytes are dearer.
constexpr double kCrossDataCentreCost = 0.05;
constexpr int kMostUrgent = 0;
constexpr double kEpsilon = 1e-6;

}  // namespace

StepScheduler::StepScheduler(StepSchedulerOptions options)
    : options_(std::move(options)) {}

std::vector<StepAction> StepScheduler::TakeActions() {
  return std::exchange(actions_, {});
}

std::vector<StepJobId> StepScheduler::TakeGivenUp() {
  return std::exchange(given_up_, {});
}

// ---- admission

std::string StepScheduler::Unsupported(const StepJob& job,
                                       const Route& route) const {
  if (job.stored) return "stored jobs are not supported";
  if (job.repetitions > 0) return "scheduled jobs are not supported";
  if (route.needs_advice) return "queues with advice are not supported";
  for (const StepSpec& step : job.steps) {
    for (const StepFeature feature : step.features) {
      switch (feature) {
        case StepFeature::kGang:
          return "gangs are not supported";
        case StepFeature::kLongRunning:
          return "long-running steps are not supported";
        case StepFeature::kFill:
          return "steps that fill unused capacity are not supported";
        case StepFeature::kLatencyTarget:
          return "steps with a latency target are not supported";
      }
    }
  }
  return "";
}

Duration StepScheduler::ChainEstimate(const StepJob& job) {
  std::vector<Duration> ends;
  Duration longest;
  for (const StepSpec& step : job.steps) {
    Duration begin;
    for (const std::size_t earlier : step.dependencies) {
      begin = std::max(begin, ends.at(earlier));
    }
    ends.push_back(begin + step.estimate);
    longest = std::max(longest, ends.back());
  }
  return longest;
}

bool StepScheduler::FitsAny(const StepSpec& step,
                            const ServiceName& service) const {
  return std::any_of(workers_.begin(), workers_.end(), [&](const auto& item) {
    const Worker& worker = item.second;
    if (!worker.card || worker.card->service != service) return false;
    const auto& labels = worker.card->labels;
    const bool labelled = step.required_label.empty() ||
                          std::find(labels.begin(), labels.end(),
                                    step.required_label) != labels.end();
    return labelled && worker.card->capacity.Holds(step.size);
  });
}

void StepScheduler::Submit(CallerHandle caller, StepJob spec,
                           const Route& route, Duration patience, bool held,
                           TimePoint now) {
  ++counters_.submitted;
  const JobNumber number = next_job_++;
  Job job;
  job.caller = caller;
  job.route = route;
  job.submitted = now;
  job.held = held;
  // Another entry may have started it, so "not run" would not be true.
  job.may_have_run = held;
  const Duration goal =
      Duration(static_cast<std::int64_t>(
          static_cast<double>(ChainEstimate(spec).ms()) * route.slack)) +
      route.target_latency;
  const Duration chain = ChainEstimate(spec);
  job.limit = now + patience;
  job.latest_start = now + (goal - chain) * options_.wait_percent / 100;
  job.hopeless = now + std::min(patience, goal * kWorthlessAfterGoals) - chain;
  const std::string unsupported = Unsupported(spec, route);
  bool fits = true;
  for (const StepSpec& step : spec.steps) {
    job.steps.emplace_back().tasks.resize(step.count);
    fits = fits && FitsAny(step, route.service);
  }
  job.spec = std::move(spec);
  const auto [placed, is_new] = jobs_.emplace(number, std::move(job));
  Job& kept = placed->second;
  by_caller_[caller] = number;
  by_id_[kept.spec.id] = number;
  if (!unsupported.empty()) {
    Answer(kept, StepAnswer::kUnsupported, kRetryAfter, unsupported, now);
  } else if (!fits && !learning_) {
    Answer(kept, StepAnswer::kRefused, kRetryAfter,
           "no known worker can hold it", now);
  } else if (now + ExpectedWait(route.priority) > kept.latest_start) {
    Answer(kept, StepAnswer::kRefused, kRetryAfter, "the queue is too long",
           now);
  } else {
    Unblock(kept);
    if (kept.waiting > 0) waiting_.insert(PlaceOf(kept, number));
  }
  ForgetIfDone(number);
}

double StepScheduler::Capacity(TimePoint now) const {
  double cpu = 0;
  for (const auto& [agent, worker] : workers_) {
    const bool counts = worker.link && worker.card && worker.report.accepting &&
                        !IsOnProbation(worker) && now - worker.heard <= kSilent;
    if (counts) cpu += worker.card->capacity.cpu;
  }
  return cpu;
}

// The work that waits ahead, done by this entry's share of the workers.
Duration StepScheduler::ExpectedWait(int priority) const {
  double core_ms = 0;
  for (const Place& place : waiting_) {
    if (place.late || place.priority > priority) continue;
    const Job& job = jobs_.at(place.number);
    for (std::size_t s = 0; s < job.steps.size(); ++s) {
      const StepSpec& step = job.spec.steps[s];
      core_ms += static_cast<double>(job.steps[s].waiting) * step.size.cpu *
                 static_cast<double>(step.estimate.ms());
    }
  }
  const double share = capacity_ / static_cast<double>(entry_count_);
  if (core_ms <= 0 || (learning_ && share <= 0)) return Duration(0);
  return Duration(static_cast<std::int64_t>(core_ms / std::max(share, 0.1)));
}

void StepScheduler::MoveLateJobs(TimePoint now) {
  std::vector<JobNumber> late;
  for (const Place& place : waiting_) {
    const Job& job = jobs_.at(place.number);
    const bool is_late =
        !job.late && !job.may_have_run && now > job.latest_start;
    if (is_late) late.push_back(place.number);
  }
  for (const JobNumber number : late) {
    Job& job = jobs_.at(number);
    waiting_.erase(PlaceOf(job, number));
    job.late = true;
    waiting_.insert(PlaceOf(job, number));
  }
}

void StepScheduler::Unblock(Job& job) {
  for (std::size_t index = 0; index < job.steps.size(); ++index) {
    Step& step = job.steps[index];
    if (step.tasks.empty() || step.tasks[0].state != TaskState::kBlocked) {
      continue;
    }
    const auto& dependencies = job.spec.steps[index].dependencies;
    const bool ready = std::all_of(dependencies.begin(), dependencies.end(),
                                   [&](std::size_t earlier) {
                                     const Step& other = job.steps.at(earlier);
                                     return other.done == other.tasks.size();
                                   });
    if (!ready) continue;
    for (StepTask& task : step.tasks) task.state = TaskState::kWaiting;
    step.waiting += step.tasks.size();
    job.waiting += step.tasks.size();
  }
}

void StepScheduler::CallerGone(CallerHandle caller, TimePoint now) {
  const auto found = by_caller_.find(caller);
  if (found == by_caller_.end()) return;
  const JobNumber number = found->second;
  ++counters_.cancelled;
  Answer(jobs_.at(number), StepAnswer::kAbandoned, Duration(0),
         "the caller has gone", now);
  ForgetIfDone(number);
}

bool StepScheduler::Cancel(const StepJobId& id, TimePoint now) {
  const auto found = by_id_.find(id);
  if (found == by_id_.end()) return false;
  const JobNumber number = found->second;
  ++counters_.cancelled;
  Answer(jobs_.at(number), StepAnswer::kFailed, Duration(0), "cancelled", now);
  ForgetIfDone(number);
  return true;
}

std::size_t StepScheduler::CountPending(const Route& route) const {
  return static_cast<std::size_t>(
      std::count_if(jobs_.begin(), jobs_.end(), [&](const auto& item) {
        const Job& job = item.second;
        return !job.answered && !job.may_have_run &&
               job.route.name == route.name;
      }));
}

void StepScheduler::Release(const StepJobId& id, TimePoint now) {
  const auto found = by_id_.find(id);
  if (found == by_id_.end()) return;
  jobs_.at(found->second).held = false;
  Pump(now);
}

void StepScheduler::GiveUp(const StepJobId& id, TimePoint now) {
  const auto found = by_id_.find(id);
  if (found == by_id_.end()) {
    given_up_.push_back(id);
    return;
  }
  const JobNumber number = found->second;
  Job& job = jobs_.at(number);
  job.given_up = true;
  if (!job.answered) {
    Answer(job, StepAnswer::kAbandoned, Duration(0),
           "another entry takes the job", now);
  }
  ForgetIfDone(number);
}

// ---- placing

void StepScheduler::Pump(TimePoint now) {
  // Once nothing of a shape could be placed, later ones of it cannot either.
  std::set<std::tuple<double, std::string, std::string>> full;
  std::vector<Place> emptied;
  for (const Place& key : waiting_) {
    Job& job = jobs_.at(key.number);
    if (job.held) continue;
    for (std::size_t s = 0; s < job.steps.size(); ++s) {
      Step& step = job.steps[s];
      const StepSpec& spec = job.spec.steps[s];
      const std::tuple shape(spec.size.cpu, spec.required_label,
                             spec.data_rack);
      for (std::size_t t = 0; t < step.tasks.size() && step.waiting > 0; ++t) {
        if (step.tasks[t].state != TaskState::kWaiting) continue;
        if (full.contains(shape)) break;
        if (!PlaceTask(key.number, job, s, t, now)) full.insert(shape);
      }
    }
    if (job.waiting == 0) emptied.push_back(key);
  }
  for (const Place& key : emptied) waiting_.erase(key);
}

bool StepScheduler::PlaceTask(JobNumber number, Job& job, std::size_t step,
                              std::size_t task, TimePoint now) {
  Need need;
  need.job = &job;
  need.step = &job.spec.steps[step];
  need.state = &job.steps[step];
  need.step_index = step;
  need.avoid = &job.steps[step].tasks[task].avoid;
  Worker* worker = ChooseWorker(need, now);
  if (worker == nullptr) return false;
  Order(number, job, step, task, *worker, now);
  return true;
}

// What an order of the priority would find free or be the next to get: work
// that is queued there for less urgent orders does not count.
double StepScheduler::FreeCpu(const Worker& worker, int priority) {
  double queued = 0;
  const auto& queue = worker.report.queued_cpu;
  for (std::size_t rank = 0; rank < queue.size(); ++rank) {
    if (static_cast<int>(rank) <= priority) queued += queue[rank];
  }
  const double unreported = worker.cpu_sent - worker.report.cpu_received;
  return worker.report.free.cpu - queued - unreported;
}

std::uint32_t StepScheduler::CountOn(const Need& need,
                                     const Worker& worker) const {
  std::uint32_t count = 0;
  for (const StepTask& task : need.state->tasks) {
    if (task.attempt && worker.attempts.contains(*task.attempt)) ++count;
  }
  return count;
}

bool StepScheduler::Suits(const Worker& worker, const Need& need,
                          TimePoint now) const {
  if (!worker.link || !worker.card || !worker.report.accepting) return false;
  const WorkerCard& card = *worker.card;
  if (card.service != need.job->route.service || !card.settled) return false;
  if (now - worker.heard > kSilent) return false;
  if (table_ != nullptr && table_->IsOut(card.data_centre)) return false;
  const StepSpec& step = *need.step;
  if (!step.required_label.empty() && !HasLabel(card, step.required_label)) {
    return false;
  }
  if (!IsNear(card, step) && need.has_home && !MayTakeStranger(worker, need)) {
    return false;
  }
  const int priority = need.job->route.priority;
  const double ahead =
      priority == kMostUrgent ? options_.urgent_ahead * step.size.cpu : 0;
  if (FreeCpu(worker, priority) + ahead + kEpsilon < step.size.cpu ||
      worker.report.free.memory_mb < step.size.memory_mb ||
      worker.report.free.accelerators < step.size.accelerators) {
    return false;
  }
  if (IsOnProbation(worker) && now < worker.next_probe) return false;
  return step.most_per_worker == 0 ||
         CountOn(need, worker) < step.most_per_worker;
}

bool StepScheduler::HasLabel(const WorkerCard& card, const std::string& label) {
  return std::find(card.labels.begin(), card.labels.end(), label) !=
         card.labels.end();
}

bool StepScheduler::IsNear(const WorkerCard& card, const StepSpec& step) {
  return step.data_rack.empty() || HasLabel(card, step.data_rack);
}

// Away from its data a task takes longer, so it would take room from tasks that
// are at home there and from whose delay it gains nothing.
bool StepScheduler::MayTakeStranger(const Worker& worker,
                                    const Need& need) const {
  const double left =
      FreeCpu(worker, need.job->route.priority) - need.step->size.cpu;
  return left >= options_.home_reserve * worker.card->capacity.cpu;
}

// A slow worker delays every job of which it gets a task.
bool StepScheduler::IsOnProbation(const Worker& worker) const {
  return worker.report.failing ||
         worker.report.slowness > kSlowFactor * std::max(median_slowness_, 0.5);
}

double StepScheduler::MedianSlowness() const {
  std::vector<double> values;
  for (const auto& [agent, worker] : workers_) {
    if (worker.report.accepting) values.push_back(worker.report.slowness);
  }
  if (values.empty()) return 1;
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

double StepScheduler::Cost(const Worker& worker, const Need& need) const {
  const WorkerCard& card = *worker.card;
  const std::string& rack = need.step->data_rack;
  const bool near =
      rack.empty() || std::find(card.labels.begin(), card.labels.end(), rack) !=
                          card.labels.end();
  const double time = near ? 1 : options_.cross_rack_factor;
  const double used = 1 - FreeCpu(worker, need.job->route.priority) /
                              std::max(card.capacity.cpu, 1.0);
  double cost = time * (1 + kLoadWeight * used);
  if (card.data_centre != options_.data_centre) cost += kCrossDataCentreCost;
  if (*need.avoid && **need.avoid == card.id) cost += 1;
  return cost;
}

// True if a worker in the data's rack takes orders, if perhaps not now.
bool StepScheduler::HasHome(const Need& need, TimePoint now) const {
  return std::any_of(workers_.begin(), workers_.end(), [&](const auto& item) {
    const Worker& worker = item.second;
    return worker.link && worker.card && worker.report.accepting &&
           now - worker.heard <= kSilent && !IsOnProbation(worker) &&
           worker.card->service == need.job->route.service &&
           IsNear(*worker.card, *need.step) &&
           (table_ == nullptr || !table_->IsOut(worker.card->data_centre));
  });
}

StepScheduler::Worker* StepScheduler::ChooseWorker(Need need, TimePoint now) {
  need.has_home = !need.step->data_rack.empty() && HasHome(need, now);
  Worker* best = nullptr;
  double best_cost = 0;
  for (auto& [agent, worker] : workers_) {
    if (!Suits(worker, need, now)) continue;
    const double cost = Cost(worker, need);
    if (best == nullptr || cost < best_cost) {
      best = &worker;
      best_cost = cost;
    }
  }
  return best;
}

void StepScheduler::Order(JobNumber number, Job& job, std::size_t step,
                          std::size_t task, Worker& worker, TimePoint now) {
  StepTask& target = job.steps[step].tasks[task];
  const StepSpec& spec = job.spec.steps[step];
  const AttemptId id{options_.incarnation, next_attempt_++};
  ++target.run;
  target.state = TaskState::kOrdered;
  target.attempt = id;
  --job.steps[step].waiting;
  --job.waiting;
  ++job.attempts;
  job.may_have_run = true;
  attempts_[id] = Attempt{number, step, task, worker.agent, now};
  worker.attempts.insert(id);
  worker.cpu_sent += spec.size.cpu;
  if (IsOnProbation(worker)) worker.next_probe = now + kProbeInterval;
  ++counters_.orders;
  const bool near = IsNear(*worker.card, spec);
  StartTask order;
  order.attempt = id;
  order.run.task = TaskName(job.spec.id.value() + ".0." + std::to_string(step) +
                            "." + std::to_string(task));
  order.run.run = target.run;
  order.payload = job.spec.payload;
  order.size = spec.size;
  order.priority = job.route.priority;
  order.estimate = near ? spec.estimate
                        : Duration(static_cast<std::int64_t>(
                              static_cast<double>(spec.estimate.ms()) *
                              options_.cross_rack_factor));
  Send(*worker.link, std::move(order));
}

// ---- ends

void StepScheduler::On(LinkId link, const TaskEnd& end, TimePoint now) {
  Send(link, TaskEndAck{end.attempt});
  Resolve(end.attempt, end.end, end.reason, now);
}

void StepScheduler::Resolve(const AttemptId& id, AttemptEnd end,
                            const std::string& reason, TimePoint now) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  const Attempt attempt = found->second;
  attempts_.erase(found);
  const auto worker = workers_.find(attempt.agent);
  if (worker != workers_.end()) worker->second.attempts.erase(id);
  Job& job = jobs_.at(attempt.job);
  StepTask& task = job.steps[attempt.step].tasks[attempt.task];
  task.attempt.reset();
  --job.attempts;
  if (!job.answered) {
    const Worker* where = worker == workers_.end() ? nullptr : &worker->second;
    switch (end) {
      case AttemptEnd::kDone:
        TakeDone(job, attempt.step, task, now);
        break;
      case AttemptEnd::kFailed:
        TakeFailed(job, attempt.step, task, where, now);
        break;
      case AttemptEnd::kSuperseded:
        task.run += kRunSkip;
        ++counters_.bounced;
        ReturnTask(job, attempt.step, task);
        break;
      case AttemptEnd::kNotStarted:
        ++counters_.bounced;
        ReturnTask(job, attempt.step, task);
        break;
      case AttemptEnd::kStopped:
        ++counters_.stopped;
        if (where != nullptr && where->card &&
            (reason == "stalled" || reason == "slow")) {
          task.avoid = where->card->id;
        }
        ReturnTask(job, attempt.step, task);
        break;
    }
    if (!job.answered && job.waiting > 0) {
      waiting_.insert(PlaceOf(job, attempt.job));
    }
  }
  ForgetIfDone(attempt.job);
}

void StepScheduler::TakeDone(Job& job, std::size_t step, StepTask& task,
                             TimePoint now) {
  task.state = TaskState::kDone;
  Step& state = job.steps[step];
  if (++state.done < state.tasks.size()) return;
  Unblock(job);
  const bool all = std::all_of(
      job.steps.begin(), job.steps.end(),
      [](const Step& each) { return each.done == each.tasks.size(); });
  if (all) Answer(job, StepAnswer::kCompleted, Duration(0), "", now);
}

// A failure at a worker that fails most of what it starts says nothing of the
// task.
void StepScheduler::TakeFailed(Job& job, std::size_t step, StepTask& task,
                               const Worker* worker, TimePoint now) {
  const bool worker_at_fault = worker != nullptr && worker->report.failing;
  if (worker != nullptr && worker->card) task.avoid = worker->card->id;
  if (!worker_at_fault) ++task.failures;
  if (task.failures >= job.route.max_attempts) {
    Answer(job, StepAnswer::kFailed, Duration(0),
           "a task failed in all its attempts", now);
    return;
  }
  ReturnTask(job, step, task);
}

void StepScheduler::ReturnTask(Job& job, std::size_t step, StepTask& task) {
  task.state = TaskState::kWaiting;
  ++job.steps[step].waiting;
  ++job.waiting;
}

void StepScheduler::Answer(Job& job, StepAnswer answer, Duration retry_after,
                           const std::string& reason, TimePoint now) {
  if (job.answered) return;
  job.answered = true;
  by_caller_.erase(job.caller);
  switch (answer) {
    case StepAnswer::kCompleted:
      ++counters_.completed;
      break;
    case StepAnswer::kFailed:
      ++counters_.failed;
      break;
    case StepAnswer::kAbandoned:
      ++counters_.abandoned;
      break;
    default:
      ++counters_.refused;
  }
  if (answer != StepAnswer::kCompleted) {
    Log(LogLevel::kInfo, "job_not_completed",
        {{"job", job.spec.id.value()},
         {"route", job.route.name},
         {"answer", std::to_string(static_cast<int>(answer))},
         {"reason", reason},
         {"age_ms", std::to_string((now - job.submitted).ms())},
         {"waiting_tasks", std::to_string(job.waiting)},
         {"open_attempts", std::to_string(job.attempts)}});
  }
  actions_.emplace_back(AnswerStepJob{job.caller, answer, retry_after, reason});
  StopRuns(job);
}

void StepScheduler::StopRuns(Job& job) {
  for (const Step& step : job.steps) {
    for (const StepTask& task : step.tasks) {
      if (!task.attempt) continue;
      const Worker& worker = workers_.at(attempts_.at(*task.attempt).agent);
      if (worker.link) Send(*worker.link, StopTask{*task.attempt});
    }
  }
}

void StepScheduler::ForgetIfDone(JobNumber number) {
  const auto found = jobs_.find(number);
  Job& job = found->second;
  if (!job.answered) return;
  waiting_.erase(PlaceOf(job, number));
  if (job.attempts > 0) return;
  if (job.given_up) given_up_.push_back(job.spec.id);
  const auto by_id = by_id_.find(job.spec.id);
  if (by_id != by_id_.end() && by_id->second == number) by_id_.erase(by_id);
  jobs_.erase(found);
}

// ---- workers

StepScheduler::Worker* StepScheduler::FindByLink(LinkId link) {
  const auto found = by_link_.find(link);
  return found == by_link_.end() ? nullptr : &workers_.at(found->second);
}

void StepScheduler::OnWorkerUp(LinkId link, Incarnation agent, TimePoint now) {
  Worker& worker = workers_[agent];
  if (worker.link) by_link_.erase(*worker.link);
  worker.agent = agent;
  worker.link = link;
  worker.heard = now;
  worker.cpu_sent = 0;
  worker.report = WorkerReport{};
  by_link_[link] = agent;
}

void StepScheduler::OnWorkerDown(LinkId link, TimePoint now) {
  Worker* worker = FindByLink(link);
  if (worker == nullptr) return;
  worker->link.reset();
  by_link_.erase(link);
  Log(LogLevel::kWarning, "worker_link_down",
      {{"worker", worker->card ? worker->card->id.value() : ""},
       {"open_attempts", std::to_string(worker->attempts.size())},
       {"heard_ms_ago", std::to_string((now - worker->heard).ms())}});
}

void StepScheduler::OnHeard(LinkId link, TimePoint now) {
  Worker* worker = FindByLink(link);
  if (worker != nullptr) worker->heard = now;
}

// A settled agent has stopped all that its predecessor had started.
void StepScheduler::On(LinkId link, const WorkerCard& card, TimePoint now) {
  Worker* worker = FindByLink(link);
  if (worker == nullptr) return;
  worker->card = card;
  if (!card.settled) return;
  for (auto& [agent, other] : workers_) {
    const bool replaced = agent != worker->agent && other.card &&
                          other.card->id == card.id && !other.attempts.empty();
    if (replaced) LoseWorker(other, "its agent was replaced", now);
  }
}

void StepScheduler::On(LinkId link, const WorkerReport& report,
                       TimePoint /*now*/) {
  Worker* worker = FindByLink(link);
  if (worker != nullptr) worker->report = report;
}

void StepScheduler::On(LinkId link, const AttemptList& list, TimePoint now) {
  Worker* worker = FindByLink(link);
  if (worker == nullptr) return;
  const std::set<AttemptId> held(list.attempts.begin(), list.attempts.end());
  const std::set<AttemptId> ours = worker->attempts;
  for (const AttemptId& id : ours) {
    if (held.contains(id)) {
      const Job& job = jobs_.at(attempts_.at(id).job);
      if (job.answered) Send(link, StopTask{id});
      continue;
    }
    Resolve(id, AttemptEnd::kNotStarted, "lost with the link", now);
  }
}

void StepScheduler::LoseWorker(Worker& worker, const std::string& why,
                               TimePoint now) {
  const std::set<AttemptId> attempts = worker.attempts;
  if (!attempts.empty()) {
    Log(LogLevel::kWarning, "worker_lost",
        {{"worker", worker.card ? worker.card->id.value() : ""},
         {"why", why},
         {"attempts", std::to_string(attempts.size())},
         {"heard_ms_ago", std::to_string((now - worker.heard).ms())}});
  }
  for (const AttemptId& id : attempts) {
    ++counters_.lost;
    Resolve(id, AttemptEnd::kStopped, why, now);
  }
}

void StepScheduler::LoseSilentWorkers(TimePoint now) {
  std::vector<Incarnation> gone;
  for (auto& [agent, worker] : workers_) {
    if (now - worker.heard <= kLost) continue;
    LoseWorker(worker, "it is silent", now);
    if (!worker.link) gone.push_back(agent);
  }
  for (const Incarnation agent : gone) workers_.erase(agent);
}

std::size_t StepScheduler::accepting_workers(TimePoint now) const {
  return static_cast<std::size_t>(
      std::count_if(workers_.begin(), workers_.end(), [&](const auto& item) {
        const Worker& worker = item.second;
        return worker.link && worker.report.accepting &&
               now - worker.heard <= kSilent;
      }));
}

// ---- time

void StepScheduler::OnTick(TimePoint now) {
  median_slowness_ = MedianSlowness();
  capacity_ = Capacity(now);
  LoseSilentWorkers(now);
  ExpireJobs(now);
  MoveLateJobs(now);
  Pump(now);
}

void StepScheduler::ExpireJobs(TimePoint now) {
  std::vector<JobNumber> expired;
  for (const auto& [number, job] : jobs_) {
    if (job.answered) continue;
    const TimePoint end = job.may_have_run ? job.limit : job.hopeless;
    if (now >= end) expired.push_back(number);
  }
  for (const JobNumber number : expired) {
    Job& job = jobs_.at(number);
    if (job.may_have_run) {
      Answer(job, StepAnswer::kAbandoned, Duration(0),
             "its caller's time is over", now);
    } else {
      Answer(job, StepAnswer::kRefused, kRetryAfter, "no room in time", now);
    }
    ForgetIfDone(number);
  }
}

void StepScheduler::Send(LinkId link, Message message) {
  actions_.emplace_back(SendMessage{link, std::move(message)});
}

void StepScheduler::Log(LogLevel level, const std::string& event,
                        LogFields fields) {
  actions_.emplace_back(LogNote{level, event, std::move(fields)});
}

}  // namespace geranium
