#include <algorithm>
#include <tuple>
#include <utility>

#include "entry/step_scheduler.h"

namespace geranium {
namespace {

/// A worker on probation (failing or slow) gets one run per interval.
constexpr Duration kProbeInterval{1000};
/// An order that finds its worker full queues there for at most this percentage
/// of its estimate: less than half of the slack within a job's objective, and
/// by then another worker may have free capacity.
constexpr std::int64_t kQueueWaitPercent = 40;
/// About the time until the next task of a full worker ends.
constexpr Duration kMinQueueWait{20};
constexpr Duration kMaxQueueWait{250};
/// A long pass would delay heartbeats, and its orders would fill the links. The
/// next pass places what is left.
constexpr int kMaxStepsPerPass = 20'000;
constexpr int kMaxOrdersPerPass = 1000;
/// Later steps of a job gain nothing from an earlier start than the first ones:
/// the job needs all of them.
constexpr int kMaxStepsOfJobPerPass = 64;

}  // namespace

void StepScheduler::PlaceWaitingTasks(TimePoint now) {
  PlacingPass pass{{}, kMaxStepsPerPass, kMaxOrdersPerPass};
  const std::size_t first_action = actions_.size();
  bool any_lacks_room = false;
  bool in_time_lacks_room = false;
  placement_.BeginPass(lacks_room_);
  for (const JobNumber number : queue_.Jobs()) {
    OpenStepJob& job = jobs_.at(number);
    if (job.held) continue;
    if (pass.is_over()) break;
    const bool lacks_room = PlaceJob(job, pass, now);
    any_lacks_room = any_lacks_room || lacks_room;
    in_time_lacks_room = in_time_lacks_room || (lacks_room && !job.late);
    if (job.waiting == 0) queue_.Erase(job);
  }
  const bool lacked_room = std::exchange(lacks_room_, any_lacks_room);
  if (lacked_room || lacks_room_) SetMoreWaiting(first_action);
  late_jobs_.OnPlacingPass(in_time_lacks_room, now);
}

bool StepScheduler::PlaceJob(OpenStepJob& job, PlacingPass& pass,
                             TimePoint now) {
  PlacementSummary placed;
  bool lacks_room = false;
  int steps_left = kMaxStepsOfJobPerPass;
  auto next = job.waiting_steps.begin();
  while (next != job.waiting_steps.end() && steps_left-- > 0 &&
         !pass.is_over()) {
    const std::size_t step = *next++;  // Erased once all its tasks are placed.
    lacks_room = PlaceStep(job, step, pass, placed, now) || lacks_room;
  }
  if (!placed.tasks.empty()) LogPlaced(job, placed, now);
  return lacks_room;
}

// Only the end of a pass shows whether tasks are left without room. An entry
// that lacked room in the last pass soon does again: passes that place all
// tasks alternate with others while the workers are nearly full.
void StepScheduler::SetMoreWaiting(std::size_t first_action) {
  for (std::size_t i = first_action; i < actions_.size(); ++i) {
    auto* send = std::get_if<SendMessage>(&actions_[i]);
    if (send == nullptr) continue;
    auto* order = std::get_if<StartTask>(&send->message);
    if (order != nullptr) order->more_waiting = true;
  }
}

// Where a task found no worker, no larger one of its kind will in this pass:
// with a long queue, most tasks need no search. One that waits for a place near
// its data says nothing about others, which may have less time.
bool StepScheduler::PlaceStep(OpenStepJob& job, std::size_t index,
                              PlacingPass& pass, PlacementSummary& placed,
                              TimePoint now) {
  StepProgress& step = job.steps[index];
  const StepSpec& spec = job.spec.steps[index];
  --pass.steps_left;
  const std::tuple kind(job.route.service, job.route.priority,
                        spec.required_label, spec.data_rack,
                        isolation_.IsIsolated(job.route));
  const auto too_large = pass.unplaced.find(kind);
  if (too_large != pass.unplaced.end() && spec.size.CanFit(too_large->second)) {
    return true;
  }
  step.SkipToWaiting();
  for (std::size_t t = step.first_waiting;
       t < step.tasks.size() && step.waiting > 0 && pass.orders_left > 0; ++t) {
    if (step.tasks[t].state != StepTaskState::kWaiting) continue;
    switch (PlaceTask(job, index, t, placed, now)) {
      case Placement::Outcome::kPlaced:
        --pass.orders_left;
        continue;
      case Placement::Outcome::kWaitsForRack:
        return false;
      case Placement::Outcome::kNoRoom:
        break;
    }
    if (isolation_.CountCrashesAtStart(job, index, t) > 0) continue;
    if (spec.max_per_worker == 0) pass.unplaced[kind] = spec.size;
    return true;
  }
  return false;
}

Placement::Outcome StepScheduler::PlaceTask(OpenStepJob& job, std::size_t step,
                                            std::size_t task,
                                            PlacementSummary& placed,
                                            TimePoint now) {
  const bool is_suspect = isolation_.CountCrashesAtStart(job, step, task) > 0;
  const Placement::Choice choice =
      placement_.Choose(PlacementRequest{&job, step, task, is_suspect}, now);
  if (choice.outcome != Placement::Outcome::kPlaced) return choice.outcome;
  KnownWorker& worker = *choice.worker;
  ++placed.tasks[worker.card->id.value()];
  placed.oldest_report =
      std::max(placed.oldest_report, now - worker.reported_at);
  SendOrder(job, step, task, worker, now);
  return choice.outcome;
}

void StepScheduler::LogPlaced(const OpenStepJob& job,
                              const PlacementSummary& placed, TimePoint now) {
  std::string workers;
  for (const auto& [worker, tasks] : placed.tasks) {
    workers +=
        (workers.empty() ? "" : ",") + worker + ":" + std::to_string(tasks);
  }
  Log(LogLevel::kInfo, "job_placed",
      {{"job", job.spec.id.value()},
       {"workers", workers},
       {"waiting_tasks", std::to_string(job.waiting)},
       {"age_ms", std::to_string((now - job.submitted).ms())},
       {"oldest_report_ms", std::to_string(placed.oldest_report.ms())}});
}

Duration StepScheduler::MaxQueueWait(Duration estimate) {
  return std::clamp(estimate * kQueueWaitPercent / 100, kMinQueueWait,
                    kMaxQueueWait);
}

void StepScheduler::SendOrder(OpenStepJob& job, std::size_t step,
                              std::size_t task, KnownWorker& worker,
                              TimePoint now) {
  StepTask& target = job.steps[step].tasks[task];
  const StepSpec& spec = job.spec.steps[step];
  const AttemptId id =
      attempts_.Open(OpenAttempt{job.number, step, task, worker.agent, now});
  ++target.run;
  target.attempt = id;
  job.OnDispatched(step, target);
  if (spec.max_per_worker > 0) ++job.steps[step].open_at[worker.agent];
  ++job.open_attempts;
  ++job.orders;
  job.may_have_run = true;
  worker.attempts.insert(id);
  worker.cpu_sent += spec.size.cpu;
  if (workers_.IsOnProbation(worker)) worker.next_probe = now + kProbeInterval;
  ++counters_.orders;
  if (job.late) {
    late_jobs_.OnLateStart(
        spec.size.cpu * static_cast<double>(spec.estimate.ms()), now);
  }
  StartTask order;
  order.attempt = id;
  order.run.task = NameOf(job, step, task);
  order.run.run = target.run;
  order.route = job.route.name;
  order.payload = job.spec.payload;
  order.size = spec.size;
  order.priority = job.route.priority;
  order.estimate = placement_.EstimateAt(worker, spec);
  order.max_wait = MaxQueueWait(order.estimate);
  Send(*worker.link, std::move(order));
}

}  // namespace geranium
