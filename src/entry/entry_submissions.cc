#include <algorithm>
#include <charconv>
#include <utility>

#include "base/invariant.h"
#include "entry/entry_node.h"

namespace geranium {
namespace {

constexpr std::string_view kMintedPrefix = "minted-";
constexpr std::size_t kIncarnationDigits = 16;

bool NothingRan(const JobAnswer& answer) {
  return std::ranges::all_of(answer.outcomes, [](const TaskOutcome& outcome) {
    return outcome.error && outcome.error->execution == Execution::kNotRun;
  });
}

}  // namespace

std::optional<Incarnation> MinterOf(const IdempotencyKey& key) {
  const std::string& text = key.value();
  if (!text.starts_with(kMintedPrefix)) return std::nullopt;
  const std::size_t begin = kMintedPrefix.size();
  if (text.size() < begin + kIncarnationDigits + 1) return std::nullopt;
  std::uint64_t value = 0;
  const char* end = text.data() + begin + kIncarnationDigits;
  const auto [stop, status] =
      std::from_chars(text.data() + begin, end, value, 16);
  if (status != std::errc() || stop != end) return std::nullopt;
  return Incarnation(value);
}

IdempotencyKey EntryNode::MintKey() {
  return IdempotencyKey(std::string(kMintedPrefix) +
                        ToString(options_.incarnation) + "-" +
                        ToString(Incarnation(random_.Bits())));
}

Error EntryNode::MakeError(ErrorCode code, std::string step, std::string peer,
                           std::string message, Execution execution) const {
  return Error{code, std::move(step), std::move(peer), std::move(message),
               execution};
}

void EntryNode::Refuse(const std::vector<CallerHandle>& callers,
                       const Error& error) {
  for (const CallerHandle& caller : callers) {
    RecordEvent(EventKind::kRefused, input_time_, error.peer, error.message);
    actions_.push_back(ReplyCaller{caller, error});
  }
}

// ---- submissions

void EntryNode::OnSubmission(CallerHandle caller, Submission submission,
                             TimePoint now) {
  BeginInput(now);
  if (leaving_) {
    const Error leaving =
        MakeError(ErrorCode::kUnavailable, "admit", options_.id.value(),
                  "the entry is shutting down and admits no more jobs",
                  Execution::kNotRun);
    if (submission.key) {
      RefuseKeyed(caller, *submission.key, submission.fingerprint, leaving,
                  now);
    } else {
      Refuse({caller}, leaving);
    }
  } else if (!submission.key) {
    SubmitWithoutKey(caller, std::move(submission), now);
  } else if (const auto minter = MinterOf(*submission.key)) {
    SubmitWithMintedKey(caller, std::move(submission), *minter, now);
  } else {
    SubmitWithCallerKey(caller, std::move(submission), now);
  }
  EndInput(now);
}

// "Not run" would have to hold for every submission with the key, now and
// later, and an earlier one at another entry may be about to claim it. So a
// refusal with a key always says "may have run"; the caller retries with the
// same key.
void EntryNode::RefuseKeyed(CallerHandle caller, const IdempotencyKey& key,
                            std::uint64_t fingerprint, Error error,
                            TimePoint now) {
  if (const JobId* local = FindLocalJob(key)) {
    AttachToHolder({caller}, fingerprint, KeyClaim{key, *local, fingerprint},
                   now);
    return;
  }
  error.execution = Execution::kMayHaveRun;
  error.message += "; an earlier request with the key may have run";
  Refuse({caller}, error);
}

void EntryNode::SubmitWithoutKey(CallerHandle caller, Submission submission,
                                 TimePoint now) {
  auto job = dispatcher_.Submit(std::move(submission), true, now);
  if (!job) {
    Refuse({caller}, job.error());
    return;
  }
  AttachToLocalJob({caller}, job.value());
}

void EntryNode::AttachToLocalJob(const std::vector<CallerHandle>& callers,
                                 const JobId& job) {
  if (const JobAnswer* answer = answers_.Find(job)) {
    for (const CallerHandle& caller : callers) {
      actions_.push_back(ReplyCaller{caller, *answer});
    }
    return;
  }
  for (const CallerHandle& caller : callers) {
    callers_by_job_[job].push_back(caller);
    job_by_caller_[caller] = job;
  }
}

const JobId* EntryNode::FindLocalJob(const IdempotencyKey& key) const {
  const auto found = job_by_key_.find(key);
  return found == job_by_key_.end() ? nullptr : &found->second;
}

void EntryNode::StartKeyed(CallerHandle caller, Submission submission,
                           bool claimed, TimePoint now) {
  const IdempotencyKey key = *submission.key;
  const std::uint64_t fingerprint = submission.fingerprint;
  auto job = dispatcher_.Submit(std::move(submission), claimed, now);
  if (!job) {
    RefuseKeyed(caller, key, fingerprint, job.error(), now);
    return;
  }
  job_by_key_[key] = job.value();
  key_expiry_.emplace(now + options_.key_window, key);
  key_by_job_[job.value()] = key;
  AttachToLocalJob({caller}, job.value());
  if (!claimed) keys_.Claim(KeyClaim{key, job.value(), fingerprint}, now);
}

void EntryNode::SubmitWithCallerKey(CallerHandle caller, Submission submission,
                                    TimePoint now) {
  const IdempotencyKey key = *submission.key;
  const std::uint64_t fingerprint = submission.fingerprint;
  if (const JobId* local = FindLocalJob(key)) {
    AttachToHolder({caller}, fingerprint, KeyClaim{key, *local, fingerprint},
                   now);
    return;
  }
  if (const KeyClaim* holder = keys_.Find(key)) {
    AttachToHolder({caller}, fingerprint, *holder, now);
    return;
  }
  if (keys_.IsLogUnavailable(now)) {
    RefuseKeyed(
        caller, key, fingerprint,
        MakeError(
            ErrorCode::kLogOutage, "claim", "log",
            "idempotency keys cannot be claimed while the log is unavailable",
            Execution::kNotRun),
        now);
    return;
  }
  StartKeyed(caller, std::move(submission), false, now);
}

// The callers get the answer of the job that holds the key.
void EntryNode::AttachToHolder(std::vector<CallerHandle> callers,
                               std::uint64_t fingerprint,
                               const KeyClaim& holder, TimePoint now) {
  std::uint64_t held_fingerprint = holder.fingerprint;
  const bool is_local = holder.job.entry == options_.incarnation;
  if (const Job* job = dispatcher_.FindJob(holder.job)) {
    held_fingerprint = job->fingerprint;
  } else if (const JobAnswer* answer = answers_.Find(holder.job)) {
    held_fingerprint = answer->fingerprint;
  } else if (is_local) {
    Refuse(
        callers,
        MakeError(ErrorCode::kKeyInDoubt, "claim", options_.id.value(),
                  "the answer of the job that holds the key is no longer kept",
                  Execution::kMayHaveRun));
    return;
  }
  if (held_fingerprint != fingerprint) {
    Refuse(
        callers,
        MakeError(ErrorCode::kKeyConflict, "claim", options_.id.value(),
                  "the key was used for another request", Execution::kNotRun));
    return;
  }
  if (is_local || answers_.Find(holder.job) != nullptr) {
    AttachToLocalJob(callers, holder.job);
    return;
  }
  const auto link = FindLinkTo(holder.job.entry);
  if (link) {
    QueryHolder(std::move(callers), holder, *link, now);
    return;
  }
  Refuse(callers,
         MakeError(ErrorCode::kKeyInDoubt, "claim", ToString(holder.job.entry),
                   "the entry that holds the key is not connected to this one",
                   Execution::kMayHaveRun));
}

// ---- answers

void EntryNode::DeliverAnswer(const JobAnswer& answer, TimePoint now) {
  const auto keyed = key_by_job_.find(answer.job);
  const bool has_key = keyed != key_by_job_.end();
  if (has_key && NothingRan(answer)) {
    // No task ran, so a minted key can be claimed again. A key claimed on the
    // log stays bound to this answer, since its window cannot be extended.
    job_by_key_.erase(keyed->second);
  }
  const Duration kept = has_key ? options_.key_window : kKeylessAnswerRetention;
  answers_.Put(answer, now + kept);
  key_by_job_.erase(answer.job);
  const auto callers = callers_by_job_.find(answer.job);
  if (callers != callers_by_job_.end()) {
    for (const CallerHandle& caller : callers->second) {
      CheckInvariant(Invariant::kAnswerBelongsToRequest,
                     job_by_caller_.at(caller) == answer.job,
                     "answer of " + ToString(answer.job));
      job_by_caller_.erase(caller);
      actions_.push_back(ReplyCaller{caller, answer});
    }
    callers_by_job_.erase(callers);
  }
  const auto waiters = remote_waiters_.find(answer.job);
  if (waiters == remote_waiters_.end()) return;
  for (const RemoteWaiter& waiter : waiters->second) {
    KeyReply reply;
    reply.query = waiter.query;
    reply.state = KeyState::kAnswered;
    reply.holder = answer.job;
    reply.answer = answer;
    Send(waiter.link, reply);
  }
  remote_waiters_.erase(waiters);
}

void EntryNode::OnCallerGone(CallerHandle caller, TimePoint now) {
  const auto found = job_by_caller_.find(caller);
  if (found == job_by_caller_.end()) return;
  const JobId job = found->second;
  job_by_caller_.erase(found);
  std::vector<CallerHandle>& callers = callers_by_job_[job];
  std::erase(callers, caller);
  if (!callers.empty()) return;
  callers_by_job_.erase(job);
  if (!key_by_job_.contains(job)) CancelJob(job, now);
}

void EntryNode::CancelJob(const JobId& job, TimePoint now) {
  BeginInput(now);
  dispatcher_.CancelJob(
      job,
      MakeError(ErrorCode::kCancelled, "cancel", options_.id.value(),
                "cancelled by the caller", Execution::kNotRun),
      now);
  EndInput(now);
}

JobReport EntryNode::Report(const JobId& job) const {
  JobReport report;
  if (const JobAnswer* answer = answers_.Find(job)) {
    report.state = JobReport::State::kAnswered;
    report.answer = *answer;
  } else if (dispatcher_.FindJob(job) != nullptr) {
    report.state = JobReport::State::kRunning;
  }
  return report;
}

}  // namespace geranium
