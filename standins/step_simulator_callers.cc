#include <utility>

#include "step_simulator.h"
#include "step_simulator_parts.h"

namespace geranium::standins {

void StepSimulator::SendJob(int number, int index) {
  Job& job = *jobs_[static_cast<std::size_t>(number)];
  const std::uint64_t attempt = ++job.attempt;
  job.entry = index;
  At(now_ + options_.caller_delay,
     [this, number, index, attempt] { DeliverJob(number, index, attempt); });
  if (copied_share_ <= 0 || !caller_random_.Chance(copied_share_)) return;
  const auto range =
      static_cast<std::size_t>((most_copy_delay_ - least_copy_delay_).ms() + 1);
  const Duration delay =
      least_copy_delay_ +
      Duration(static_cast<std::int64_t>(caller_random_.Below(range)));
  const auto target = static_cast<int>(
      caller_random_.Below(static_cast<std::size_t>(options_.entries)));
  At(now_ + delay, [this, number, target] { SendCopy(number, target); });
}

void StepSimulator::DeliverJob(int number, int index, std::uint64_t attempt) {
  Job& job = *jobs_[static_cast<std::size_t>(number)];
  if (job.attempt != attempt || job.caller_left) return;
  Entry& entry = *entries_[static_cast<std::size_t>(index)];
  if (!entry.alive) {
    At(now_ + options_.resend_delay,
       [this, number, index] { SendJob(number, NextEntry(index)); });
    return;
  }
  if (now_ < entry.frozen_until) {
    At(entry.frozen_until,
       [this, number, index, attempt] { DeliverJob(number, index, attempt); });
    return;
  }
  PassToEntry(number, index, attempt);
}

void StepSimulator::PassToEntry(int number, int index, std::uint64_t attempt) {
  const Job& job = *jobs_[static_cast<std::size_t>(number)];
  Entry& entry = *entries_[static_cast<std::size_t>(index)];
  const CallerHandle caller(
      static_cast<std::uint64_t>(number) * kMaxSubmissions + attempt);
  entry.callers[caller] = number;
  StepSubmission submission;
  submission.host = kHost;
  submission.path = "/" + job.kind.name + "/" + job.spec.id.value();
  submission.job = job.spec;
  submission.caller_timeout = options_.caller_timeout;
  entry.node->OnSubmission(caller, std::move(submission), now_);
  RunEntryActions(index);
}

void StepSimulator::SendCopy(int number, int index) {
  const Entry& entry = *entries_[static_cast<std::size_t>(index)];
  if (!entry.alive) return;
  if (now_ < entry.frozen_until) {
    return At(entry.frozen_until,
              [this, number, index] { SendCopy(number, index); });
  }
  Job& job = *jobs_[static_cast<std::size_t>(number)];
  // A refused request is not sent again, and a job is copied once.
  if (job.refused || job.copies > 0) return;
  PassToEntry(number, index, kFirstCopy + job.copies++);
}

void StepSimulator::CopyRequests(double share, Duration least, Duration most) {
  copied_share_ = share;
  least_copy_delay_ = least;
  most_copy_delay_ = most;
}

int StepSimulator::NextEntry(int entry) {
  if (!options_.resend_anywhere) return (entry + 1) % options_.entries;
  return static_cast<int>(
      caller_random_.Below(static_cast<std::size_t>(options_.entries)));
}

void StepSimulator::Resubmit(int job, int entry) {
  jobs_[static_cast<std::size_t>(job)]->connection_lost = true;
  SendJob(job, entry);
}

void StepSimulator::OnAnswer(int index, const AnswerStepJob& answer) {
  Entry& entry = *entries_[static_cast<std::size_t>(index)];
  const auto found = entry.callers.find(answer.caller);
  if (found == entry.callers.end()) {
    AddViolation("an entry answered a caller without an open submission");
    return;
  }
  const int number = found->second;
  entry.callers.erase(found);
  Job& job = *jobs_[static_cast<std::size_t>(number)];
  // Answers a submission that the caller has abandoned.
  if (!job.IsCurrent(answer.caller) || job.answer || job.caller_left) return;
  if (answer.answer == StepAnswer::kAbandoned) {
    job.connection_lost = true;
    At(now_ + options_.resend_delay,
       [this, number, index] { SendJob(number, NextEntry(index)); });
    return;
  }
  job.answer = answer.answer;
  job.answered_at = now_ + options_.caller_delay;
  if (answer.answer == StepAnswer::kCompleted) job.done_at = job.answered_at;
  job.refused = answer.answer == StepAnswer::kRefused;
  const bool may_fail =
      job.always_fails || job.crashes_workers || job.bystander_crashes > 1;
  if (answer.answer == StepAnswer::kFailed && !may_fail) {
    AddViolation("job " + job.spec.id.value() +
                 " was answered as failed though its tasks can succeed: " +
                 answer.reason);
  }
  // Refusing a resubmission says nothing about a submission that was lost.
  if (job.refused && !job.connection_lost &&
      started_jobs_.contains(job.spec.id.value())) {
    AddViolation("job " + job.spec.id.value() +
                 " was refused although a task of it has started");
  }
}

bool StepSimulator::IsCompleted(int job) const {
  return jobs_[static_cast<std::size_t>(job)]->done_at.has_value();
}

std::optional<StepAnswer> StepSimulator::AnswerOf(int job) const {
  return jobs_[static_cast<std::size_t>(job)]->answer;
}

}  // namespace geranium::standins
