#include "sized_worker.h"

#include <algorithm>
#include <utility>

namespace geranium::standins {
namespace {

constexpr std::int64_t kLongestLeaseMs = 1000;

}  // namespace

SizedWorker::SizedWorker(WorkerAnnouncement self, FindTruth find_truth)
    : self_(std::move(self)), find_truth_(std::move(find_truth)) {}

bool SizedWorker::IsNear(const std::string& rack) const {
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
  } else if (order.lease_until_ms <= ClockMs(now)) {
    outcome.reply = OrderReply::kExpired;
  } else if (const auto ended = highest_ended_.find(order.run.task);
             ended != highest_ended_.end() && order.run.run <= ended->second) {
    outcome.reply = OrderReply::kSuperseded;
  } else {
    outcome.reply = OrderReply::kAccepted;
    running_.try_emplace(order.run, Running{find_truth_(order.run.task), 0});
  }
  if (outcome.reply != OrderReply::kOtherIncarnation &&
      outcome.reply != OrderReply::kFenced) {
    fencing_token_ = std::max(fencing_token_, order.fencing_token);
    lease_until_ms_ = std::max(
        lease_until_ms_,
        std::min(order.lease_until_ms, ClockMs(now) + kLongestLeaseMs));
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
  if (running_.contains(order.run)) End(order.run, RunEnd::kStopped);
  std::uint64_t& highest = highest_ended_[order.run.task];
  highest = std::max(highest, order.run.run);
  return outcome;
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
  fencing_token_ = order.fencing_token;
  outcome.reply = OrderReply::kAccepted;
  if (order.lease_until_ms) {
    lease_until_ms_ = std::max(
        lease_until_ms_,
        std::min(*order.lease_until_ms, ClockMs(now) + kLongestLeaseMs));
  }
  std::erase_if(ended_, [&](const EndedRun& run) {
    return run.number <= order.acknowledged_end;
  });
  outcome.ended = ended_;
  for (const auto& [run, state] : running_) {
    const double whole = static_cast<double>(state.truth.work.ms());
    const int percent =
        static_cast<int>(std::min(99.0, 100 * state.done_ms / whole));
    outcome.running.push_back({run, percent});
  }
  return outcome;
}

bool SizedWorker::HasEnd(std::uint64_t acknowledged) const {
  return !ended_.empty() && ended_.back().number > acknowledged;
}

void SizedWorker::End(const TaskRun& run, RunEnd how) {
  running_.erase(run);
  std::uint64_t& highest = highest_ended_[run.task];
  highest = std::max(highest, run.run);
  ended_.push_back({next_end_++, run, how});
}

void SizedWorker::Advance(TimePoint now) {
  const auto passed = static_cast<double>((now - advanced_).ms());
  advanced_ = now;
  std::vector<std::pair<TaskRun, RunEnd>> ends;
  for (auto& [run, state] : running_) {
    if (faults_.fails_all) {
      ends.emplace_back(run, RunEnd::kFailed);
      continue;
    }
    if (faults_.hangs) continue;
    const double rack = IsNear(state.truth.rack) ? 1 : kOtherRackFactor;
    state.done_ms += passed / faults_.slow / rack;
    if (state.done_ms < static_cast<double>(state.truth.work.ms())) continue;
    ends.emplace_back(run, state.truth.fails ? RunEnd::kFailed : RunEnd::kDone);
  }
  for (const auto& [run, how] : ends) End(run, how);
  if (ClockMs(now) <= lease_until_ms_) return;
  for (const TaskRun& run : running()) End(run, RunEnd::kStopped);
}

void SizedWorker::Restart(TimePoint now) {
  running_.clear();
  highest_ended_.clear();
  ended_.clear();
  next_end_ = 1;
  fencing_token_ = 0;
  lease_until_ms_ = 0;
  life_began_ = now;
  advanced_ = now;
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
  for (const auto& [run, state] : running_) sum += state.truth.size;
  return sum;
}

}  // namespace geranium::standins
