#include "sized_worker.h"

#include <algorithm>
#include <utility>

namespace geranium::standins {
namespace {

constexpr std::int64_t kMaxLeaseMs = 1000;

}  // namespace

SizedWorker::SizedWorker(WorkerAnnouncement self, FindBehaviour find_behaviour)
    : self_(std::move(self)), find_behaviour_(std::move(find_behaviour)) {}

bool SizedWorker::IsLocal(const std::string& rack) const {
  return rack.empty() || std::find(self_.labels.begin(), self_.labels.end(),
                                   rack) != self_.labels.end();
}

OrderOutcome SizedWorker::Start(const StartRun& order, TimePoint now) {
  Advance(now);
  OrderOutcome outcome;
  outcome.clock_ms = ClockMs(now);
  if (order.worker != self_.id) {
    outcome.reply = OrderReply::kOtherIncarnation;
  } else if (order.fencing_token < fencing_token_) {
    outcome.reply = OrderReply::kFenced;
  } else if (std::max(order.lease_until_ms, lease_until_ms_) <= ClockMs(now)) {
    // A lease applies to all runs, so that of a newer poll covers a late start.
    outcome.reply = OrderReply::kExpired;
  } else if (const auto ended = highest_ended_run_.find(order.run.task);
             ended != highest_ended_run_.end() &&
             order.run.run <= ended->second) {
    outcome.reply = OrderReply::kSuperseded;
  } else {
    outcome.reply = OrderReply::kAccepted;
    running_.try_emplace(
        order.run, Running{find_behaviour_(order.run.task), 0, std::nullopt});
  }
  if (outcome.reply != OrderReply::kOtherIncarnation &&
      outcome.reply != OrderReply::kFenced) {
    fencing_token_ = std::max(fencing_token_, order.fencing_token);
    ExtendLease(order.lease_until_ms, now);
  }
  return outcome;
}

OrderOutcome SizedWorker::Stop(const StopRun& order, TimePoint now) {
  Advance(now);
  OrderOutcome outcome;
  outcome.clock_ms = ClockMs(now);
  if (order.worker != self_.id) {
    outcome.reply = OrderReply::kOtherIncarnation;
    return outcome;
  }
  if (order.fencing_token < fencing_token_) {
    outcome.reply = OrderReply::kFenced;
    return outcome;
  }
  fencing_token_ = order.fencing_token;
  outcome.reply = OrderReply::kAccepted;
  const auto running = running_.find(order.run);
  if (running != running_.end()) {
    if (faults_.stop_time == Duration(0)) {
      EndRun(order.run, RunEnd::kStopped);
    } else if (!running->second.stop_at) {
      running->second.stop_at = now + faults_.stop_time;
    }
  }
  std::uint64_t& highest = highest_ended_run_[order.run.task];
  highest = std::max(highest, order.run.run);
  return outcome;
}

void SizedWorker::Renew(const PollRuns& order, TimePoint now) {
  Advance(now);
  if (order.worker != self_.id || order.fencing_token < fencing_token_) return;
  fencing_token_ = order.fencing_token;
  if (order.lease_until_ms) ExtendLease(*order.lease_until_ms, now);
}

void SizedWorker::ExtendLease(std::int64_t until_ms, TimePoint now) {
  lease_until_ms_ =
      std::max(lease_until_ms_, std::min(until_ms, ClockMs(now) + kMaxLeaseMs));
}

PollOutcome SizedWorker::Poll(const PollRuns& order, TimePoint now) {
  Advance(now);
  PollOutcome outcome;
  outcome.clock_ms = ClockMs(now);
  outcome.started_ms = self_.started_ms;
  if (order.worker != self_.id) {
    outcome.reply = OrderReply::kOtherIncarnation;
    return outcome;
  }
  if (order.fencing_token < fencing_token_) {
    outcome.reply = OrderReply::kFenced;
    return outcome;
  }
  Renew(order, now);
  outcome.reply = OrderReply::kAccepted;
  std::erase_if(ended_, [&](const EndedRun& run) {
    return run.number <= order.acknowledged_end;
  });
  outcome.ended = ended_;
  for (const auto& [run, state] : running_) {
    const double total_ms = static_cast<double>(state.task.work.ms());
    const int percent =
        static_cast<int>(std::min(99.0, 100 * state.done_ms / total_ms));
    outcome.running.push_back({run, percent});
  }
  return outcome;
}

bool SizedWorker::HasUnacknowledgedEnd(std::uint64_t acknowledged) const {
  return !ended_.empty() && ended_.back().number > acknowledged;
}

void SizedWorker::EndRun(const TaskRun& run, RunEnd end) {
  running_.erase(run);
  std::uint64_t& highest = highest_ended_run_[run.task];
  highest = std::max(highest, run.run);
  ended_.push_back({next_end_number_++, run, end});
}

void SizedWorker::Advance(TimePoint now) {
  const auto elapsed_ms = static_cast<double>((now - last_advanced_).ms());
  last_advanced_ = now;
  std::vector<std::pair<TaskRun, RunEnd>> ends;
  for (auto& [run, state] : running_) {
    if (faults_.fails_all) {
      ends.emplace_back(run, RunEnd::kFailed);
      continue;
    }
    if (state.stop_at && now >= *state.stop_at) {
      ends.emplace_back(run, RunEnd::kStopped);
      continue;
    }
    if (faults_.hangs) continue;
    const double rack_factor = IsLocal(state.task.rack) ? 1 : kOtherRackFactor;
    state.done_ms += elapsed_ms / faults_.slowdown / rack_factor;
    if (state.done_ms < static_cast<double>(state.task.work.ms())) continue;
    ends.emplace_back(run, state.task.fails ? RunEnd::kFailed : RunEnd::kDone);
  }
  for (const auto& [run, end] : ends) EndRun(run, end);
  if (ClockMs(now) <= lease_until_ms_) return;
  for (const TaskRun& run : running()) EndRun(run, RunEnd::kStopped);
}

bool SizedWorker::HasCrashed() const {
  return std::any_of(running_.begin(), running_.end(), [](const auto& item) {
    const Running& run = item.second;
    return run.task.crashes_worker &&
           run.done_ms >= static_cast<double>(kCrashDelay.ms());
  });
}

void SizedWorker::Restart(TimePoint now, std::optional<Resources> capacity) {
  if (capacity) self_.capacity = *capacity;
  running_.clear();
  highest_ended_run_.clear();
  ended_.clear();
  next_end_number_ = 1;
  fencing_token_ = 0;
  lease_until_ms_ = 0;
  started_at_ = now;
  last_advanced_ = now;
  self_.sequence = 0;
  self_.started_ms += static_cast<std::uint64_t>(now.ms()) + 1;
}

WorkerAnnouncement SizedWorker::Announce(TimePoint now) {
  ++self_.sequence;
  self_.clock_ms = ClockMs(now);
  return self_;
}

std::vector<TaskRun> SizedWorker::running() const {
  std::vector<TaskRun> runs;
  for (const auto& [run, state] : running_) runs.push_back(run);
  return runs;
}

Resources SizedWorker::in_use() const {
  Resources sum;
  for (const auto& [run, state] : running_) sum += state.task.size;
  return sum;
}

}  // namespace geranium::standins
