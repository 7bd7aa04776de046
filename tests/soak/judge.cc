#include "soak/judge.h"

#include <algorithm>
#include <utility>

namespace geranium::soak {

void Judge::Require(Invariant invariant, bool holds,
                    const std::string& detail) {
  InvariantMonitor::Global().Check(invariant, holds, detail);
}

Wish& Judge::AddWish(Wish wish) {
  wish.starts.assign(wish.tasks, 0);
  const std::uint64_t number = wish.number;
  return wishes_.emplace(number, std::move(wish)).first->second;
}

void Judge::OnSubmitted(std::uint64_t number) {
  Wish& wish = Find(number);
  ++wish.outstanding;
  wish.not_run = false;
}

void Judge::OnAbandoned(std::uint64_t number) { EndOne(Find(number)); }

void Judge::EndOne(Wish& wish) { --wish.outstanding; }

void Judge::OnAnswer(std::uint64_t number, const JobAnswer& answer) {
  Wish& wish = Find(number);
  EndOne(wish);
  ++(answer.complete ? complete_ : failed_);
  Require(Invariant::kAnswerCompleteOrFailed,
          answer.outcomes.size() == wish.tasks,
          "answer to " + wish.TaskId(0) + " lacks tasks");
  bool all = true;
  bool none_ran = true;
  for (std::size_t i = 0; i < answer.outcomes.size(); ++i) {
    const TaskOutcome& outcome = answer.outcomes[i];
    CheckOutcome(wish, i, outcome);
    all = all && outcome.status == TaskStatus::kSucceeded;
    none_ran = none_ran && outcome.error &&
               outcome.error->execution == Execution::kNotRun;
  }
  Require(Invariant::kAnswerCompleteOrFailed, answer.complete == all,
          "answer to " + wish.TaskId(0) + " is partial");
  if (none_ran && wish.outstanding == 0) wish.not_run = true;
}

void Judge::CheckOutcome(const Wish& wish, std::size_t task,
                         const TaskOutcome& outcome) {
  const std::string id = wish.TaskId(task);
  if (outcome.status == TaskStatus::kSucceeded) {
    Require(Invariant::kAnswerBelongsToRequest, outcome.body == id,
            "answer to " + id + " is that of " + outcome.body);
    Require(Invariant::kAnswerCompleteOrFailed, wish.starts[task] > 0,
            id + " is answered and was never started");
    return;
  }
  const bool not_run = outcome.error->execution == Execution::kNotRun;
  Require(Invariant::kNotRunIsTrue, !not_run || wish.starts[task] == 0,
          id + " is said not to have run: " + outcome.error->message);
}

void Judge::OnRefusal(std::uint64_t number, const Error& error) {
  Wish& wish = Find(number);
  EndOne(wish);
  ++refused_;
  if (error.execution != Execution::kNotRun) return;
  // A conflict says that this submission was not run; an earlier one with the
  // same key was.
  if (error.code == ErrorCode::kKeyConflict) return;
  const bool none =
      std::ranges::all_of(wish.starts, [](int starts) { return starts == 0; });
  Require(Invariant::kNotRunIsTrue, none,
          wish.TaskId(0) + " is refused as not run: " + error.message +
              (wish.key ? ", key " + wish.key->value() : ", no key"));
  if (wish.outstanding == 0) wish.not_run = true;
}

void Judge::OnStart(const std::string& task_id,
                    const DataCentreName& data_centre,
                    std::optional<TimePoint> leaving_since, TimePoint now) {
  ++starts_;
  const auto slash = task_id.find('/');
  Wish& wish = Find(std::stoull(task_id.substr(0, slash)));
  int& starts = wish.starts[std::stoull(task_id.substr(slash + 1))];
  ++starts;
  const bool once = wish.kind == SubmissionKind::kJob || !wish.idempotent;
  Require(wish.kind == SubmissionKind::kJob ? Invariant::kStartsAtMostOnce
                                            : Invariant::kNonIdempotentOnce,
          !once || starts <= 1, task_id + " was started again");
  Require(Invariant::kNotRunIsTrue, !wish.not_run,
          task_id + " was started after it was said not to run");
  const auto out = out_since_.find(data_centre);
  Require(Invariant::kNoStartInDataCentreOut,
          out == out_since_.end() || now - out->second <= kOutLimit,
          task_id + " was started in " + data_centre.value());
  Require(Invariant::kLeavingGetsNoWork,
          !leaving_since || now - *leaving_since <= kLeavingLimit,
          task_id + " was started by a leaving worker");
}

void Judge::OnDataCentre(const DataCentreName& name, bool in, TimePoint now) {
  if (in) {
    out_since_.erase(name);
  } else {
    out_since_.emplace(name, now);
  }
}

std::size_t Judge::outstanding() const {
  std::size_t total = 0;
  for (const auto& [number, wish] : wishes_) {
    total += static_cast<std::size_t>(std::max(0, wish.outstanding));
  }
  return total;
}

}  // namespace geranium::soak
