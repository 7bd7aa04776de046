#include "soak/invariant_checker.h"

#include <algorithm>
#include <utility>

namespace geranium::soak {

void InvariantChecker::Require(Invariant invariant, bool holds,
                               const std::string& detail) {
  InvariantMonitor::Global().Check(invariant, holds, detail);
}

Operation& InvariantChecker::AddOperation(Operation operation) {
  operation.starts.assign(operation.tasks, 0);
  const std::uint64_t number = operation.number;
  return operations_.emplace(number, std::move(operation)).first->second;
}

void InvariantChecker::OnSubmitted(std::uint64_t number) {
  Operation& operation = Find(number);
  ++operation.outstanding;
  operation.not_run = false;
}

void InvariantChecker::OnAbandoned(std::uint64_t number) {
  CloseSubmission(Find(number));
}

void InvariantChecker::CloseSubmission(Operation& operation) {
  --operation.outstanding;
}

void InvariantChecker::OnAnswer(std::uint64_t number, const JobAnswer& answer) {
  Operation& operation = Find(number);
  CloseSubmission(operation);
  ++(answer.complete ? complete_ : failed_);
  Require(
      Invariant::kAnswerCompleteOrFailed,
      answer.outcomes.size() == operation.tasks,
      "answer to " + operation.TaskId(0) + " lacks the outcomes of some tasks");
  bool all = true;
  bool none_ran = true;
  for (std::size_t i = 0; i < answer.outcomes.size(); ++i) {
    const TaskOutcome& outcome = answer.outcomes[i];
    CheckOutcome(operation, i, outcome);
    all = all && outcome.status == TaskStatus::kSucceeded;
    none_ran = none_ran && outcome.error &&
               outcome.error->execution == Execution::kNotRun;
  }
  Require(Invariant::kAnswerCompleteOrFailed, answer.complete == all,
          "answer to " + operation.TaskId(0) +
              " has a status that contradicts its task outcomes");
  if (none_ran && operation.outstanding == 0) operation.not_run = true;
}

void InvariantChecker::CheckOutcome(const Operation& operation,
                                    std::size_t task,
                                    const TaskOutcome& outcome) {
  const std::string id = operation.TaskId(task);
  if (outcome.status == TaskStatus::kSucceeded) {
    Require(Invariant::kAnswerBelongsToRequest, outcome.body == id,
            "answer to " + id + " has the body of " + outcome.body);
    Require(Invariant::kAnswerCompleteOrFailed, operation.starts[task] > 0,
            id + " succeeded but was never started");
    return;
  }
  const bool not_run = outcome.error->execution == Execution::kNotRun;
  Require(Invariant::kNotRunIsTrue, !not_run || operation.starts[task] == 0,
          id + " is reported as not run but was started: " +
              outcome.error->message);
}

void InvariantChecker::OnRefusal(std::uint64_t number, const Error& error) {
  Operation& operation = Find(number);
  CloseSubmission(operation);
  ++refused_;
  if (error.execution != Execution::kNotRun) return;
  // A conflict means that this submission was not run, but an earlier one with
  // the same key was.
  if (error.code == ErrorCode::kKeyConflict) return;
  const bool none = std::ranges::all_of(operation.starts,
                                        [](int starts) { return starts == 0; });
  Require(Invariant::kNotRunIsTrue, none,
          operation.TaskId(0) +
              " was refused as not run but was started: " + error.message +
              (operation.key ? ", key " + operation.key->value() : ", no key"));
  if (operation.outstanding == 0) operation.not_run = true;
}

void InvariantChecker::OnStart(const std::string& task_id,
                               const DataCentreName& data_centre,
                               std::optional<TimePoint> leaving_since,
                               TimePoint now) {
  ++starts_;
  const auto slash = task_id.find('/');
  Operation& operation = Find(std::stoull(task_id.substr(0, slash)));
  int& starts = operation.starts[std::stoull(task_id.substr(slash + 1))];
  ++starts;
  const bool once =
      operation.kind == SubmissionKind::kJob || !operation.idempotent;
  Require(operation.kind == SubmissionKind::kJob
              ? Invariant::kStartsAtMostOnce
              : Invariant::kNonIdempotentOnce,
          !once || starts <= 1, task_id + " was started more than once");
  Require(Invariant::kNotRunIsTrue, !operation.not_run,
          task_id + " was started after it was reported as not run");
  const auto out = out_since_.find(data_centre);
  Require(
      Invariant::kNoStartInDataCentreOut,
      out == out_since_.end() || now - out->second <= kOutOfServiceGracePeriod,
      task_id + " was started in out-of-service data centre " +
          data_centre.value());
  Require(Invariant::kLeavingGetsNoWork,
          !leaving_since || now - *leaving_since <= kLeavingGracePeriod,
          task_id + " was started on a leaving worker after its grace period");
}

void InvariantChecker::OnDataCentreChanged(const DataCentreName& name, bool in,
                                           TimePoint now) {
  if (in) {
    out_since_.erase(name);
  } else {
    out_since_.emplace(name, now);
  }
}

std::size_t InvariantChecker::outstanding() const {
  std::size_t total = 0;
  for (const auto& [number, operation] : operations_) {
    total += static_cast<std::size_t>(std::max(0, operation.outstanding));
  }
  return total;
}

}  // namespace geranium::soak
