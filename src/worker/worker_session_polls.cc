#include <algorithm>
#include <utility>

#include "worker/worker_session.h"

namespace geranium {
namespace {

/// Long-poll wait while something runs, so that progress is seen in time.
constexpr Duration kRunningPollWait{80};
/// Long-poll wait after a lost answer: while answers get lost, a short wait
/// limits how long ended runs go unnoticed.
constexpr Duration kLossyPollWait{20};
/// How long after a lost answer further losses are expected.
constexpr Duration kLossyPeriod{3000};
/// Long-poll wait while idle. A run that starts meanwhile has its lease renewed
/// after it, with enough of the lease left to bear a silence of half a second.
constexpr Duration kIdlePollWait{120};
/// Long-poll wait while an order is in doubt.
constexpr Duration kInDoubtPollWait{20};
/// Delay after a failed poll, from its start if the worker answered lately.
constexpr Duration kPollRetryDelay{30};
/// A run is stalled if its progress has not increased for this long and for
/// `kStallEstimateTenths` tenths of its estimate. Even a run ten times slower
/// than estimated gains one per cent within a tenth of its estimate.
constexpr Duration kStallLimit{300};
constexpr std::int64_t kStallEstimateTenths = 4;
/// A run's speed is measured once it has done this many per cent ...
constexpr int kMeasurePercent = 50;
/// ... or has taken this many times its estimate.
constexpr std::int64_t kOverdueFactor = 2;
/// From this slowness on, runs are returned to be started elsewhere if what is
/// left of them takes longer than `kMoveRemainingPercent` per cent of their
/// estimate.
constexpr double kMoveSlownessThreshold = 2.5;
constexpr std::int64_t kMoveRemainingPercent = 150;
/// Clock drift allowance: a lease may last longer on the server's clock.
constexpr std::int64_t kClockDriftPercent = 2;
constexpr Duration kLeaseMargin{30};
/// Polls beside the long one that may be unanswered at once; their calls and
/// those of orders together are as many as a worker takes.
constexpr std::ptrdiff_t kMaxImmediatePolls = 3;
/// Well above the time until an unanswered poll is given up.
constexpr Duration kEndedRunRetention{1000};

}  // namespace

bool WorkerSession::HasStartedAttempts() const {
  return std::any_of(attempts_.begin(), attempts_.end(), [](const auto& item) {
    return item.second.state != State::kQueued;
  });
}

void WorkerSession::PollIfDue(TimePoint now) {
  if (!worker_ || long_poll_ != 0 || now < next_poll_) return;
  PollRuns poll;
  // The lease is the whole worker's. Runs of an earlier agent must end in time
  // though nobody stops them yet; without such runs here, ours go on.
  const bool may_renew = settled_ || HasStartedAttempts();
  if (may_renew && now - last_answer_at_ < kWorkerTimeout) {
    poll.lease_until_ms = LeaseUntil(now);
    lease_end_ = std::max(lease_end_, now + kLeaseDuration);
  }
  poll.wait = kIdlePollWait;
  for (const auto& [id, attempt] : attempts_) {
    const bool unresolved =
        attempt.state == State::kInDoubt || attempt.state == State::kStopping;
    if (unresolved) poll.wait = kInDoubtPollWait;
    if (attempt.state != State::kQueued) {
      poll.wait = std::min(poll.wait, kRunningPollWait);
    }
  }
  if (now - last_lost_answer_at_ < kLossyPeriod) {
    poll.wait = std::min(poll.wait, kLossyPollWait);
  }
  if (!settled_) poll.wait = Duration(0);
  long_poll_ = next_poll_number_;
  SendPoll(std::move(poll), now);
}

// Polls without waiting, beside the long poll, which may be answered only after
// its wait. While many orders are in doubt, its wait is short.
void WorkerSession::SendImmediatePoll(TimePoint now) {
  const auto open =
      std::count_if(open_polls_.begin(), open_polls_.end(),
                    [](const auto& item) { return item.second.is_immediate; });
  if (open >= kMaxImmediatePolls) return;
  SendPoll(PollRuns{}, now);
  open_polls_.rbegin()->second.is_immediate = true;
}

void WorkerSession::SendPoll(PollRuns poll, TimePoint now) {
  poll.number = next_poll_number_++;
  poll.worker = worker_->id;
  poll.fencing_token = fencing_token_;
  poll.acknowledged_end = acknowledged_end_;
  open_polls_[poll.number] = OpenPoll{now, fencing_token_, started_ms_, false};
  actions_.emplace_back(std::move(poll));
}

void WorkerSession::OnPollEnded(std::uint64_t number,
                                const PollOutcome& outcome, TimePoint now) {
  const auto found = open_polls_.find(number);
  if (found == open_polls_.end()) return;
  const OpenPoll poll = found->second;
  open_polls_.erase(found);
  if (!poll.is_immediate) long_poll_ = 0;
  if (outcome.reply != OrderReply::kAccepted) {
    const bool refused = outcome.reply == OrderReply::kConnectionRefused;
    const bool lost = refused || outcome.reply == OrderReply::kNoAnswer;
    if (lost) last_lost_answer_at_ = now;
    if (lost && !unanswered_since_) unanswered_since_ = now;
    if (refused) OnConnectionRefused(now);
    // A poll that timed out has waited already; one that failed at once, for
    // example at a worker that is down, must not be repeated at once.
    next_poll_ = lost && now - last_answer_at_ < kWorkerTimeout
                     ? std::max(now, poll.sent + kPollRetryDelay)
                     : now + kPollRetryDelay;
    if (outcome.reply == OrderReply::kFenced &&
        poll.fencing_token == fencing_token_) {
      RaiseFencingToken();
    }
    return;
  }
  const bool is_from_earlier_incarnation =
      poll.started_ms != started_ms_ && outcome.started_ms == poll.started_ms;
  if (is_from_earlier_incarnation) {
    if (!poll.is_immediate) next_poll_ = now;
    return;  // Read after the announcement of the newer one.
  }
  last_answer_at_ = now;
  unanswered_since_.reset();
  if (crashed_) ++state_version_;
  crashed_ = false;
  if (!poll.is_immediate) next_poll_ = now;
  if (outcome.clock_ms) clock_offset_ms_ = *outcome.clock_ms - now.ms();
  if (worker_silent_) {
    worker_silent_ = false;
    Log(LogLevel::kInfo, "worker_answers_again", {});
  }
  UpdateIncarnation(outcome.started_ms, now);
  if (poll.fencing_token != fencing_token_)
    return;  // Sent with an earlier token.
  HandleEndedRuns(outcome, now);
  ReconcileAttempts(outcome, number, now);
  StopUnknownRuns(outcome, now);
  ForgetEndedRuns(now);
  MeasureAndStopSlowRuns(now);
  StopStalled(now);
  StartQueued(now);
}

void WorkerSession::HandleEndedRuns(const PollOutcome& outcome, TimePoint now) {
  for (const EndedRun& ended : outcome.ended) {
    if (ended.number <= acknowledged_end_) continue;
    acknowledged_end_ = ended.number;
    unknown_runs_.erase(ended.run);
    ended_runs_[ended.run] = now;
    Attempt* attempt = FindByRun(ended.run);
    if (attempt == nullptr) continue;
    const AttemptId id = attempt->order.attempt;
    const bool stalled = attempt->stop_reason == "stalled";
    switch (ended.end) {
      case RunEnd::kDone:
        if (!attempt->speed_recorded) {
          run_statistics_.AddRun(now - attempt->started_at,
                                 attempt->order.estimate);
        }
        run_statistics_.AddOutcome(false);
        ++counters_.done;
        End(id, AttemptEnd::kDone, "", now);
        break;
      case RunEnd::kFailed:
        run_statistics_.AddOutcome(true);
        ++counters_.failed;
        End(id, AttemptEnd::kFailed, "the run failed", now);
        break;
      case RunEnd::kStopped:
        if (stalled) run_statistics_.AddOutcome(true);
        End(id, AttemptEnd::kStopped,
            attempt->stop_reason.empty() ? "lapsed" : attempt->stop_reason,
            now);
        break;
    }
  }
}

void WorkerSession::ReconcileAttempts(const PollOutcome& outcome,
                                      std::uint64_t poll, TimePoint now) {
  std::map<TaskRun, const ListedRun*> listed;
  for (const ListedRun& run : outcome.running) listed[run.run] = &run;
  std::vector<AttemptId> ids;
  for (const auto& [id, attempt] : attempts_) ids.push_back(id);
  for (const AttemptId& id : ids) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) continue;
    const auto entry = listed.find(found->second.order.run);
    if (entry != listed.end()) {
      ReconcileListed(found->second, *entry->second, now);
    } else if (outcome.lists_all_ends) {
      ReconcileUnlisted(found->second, poll, now);
    }
  }
}

void WorkerSession::ReconcileListed(Attempt& attempt, const ListedRun& listed,
                                    TimePoint now) {
  if (attempt.state == State::kQueued) return;
  attempt.has_run = true;
  if (listed.percent > attempt.percent) {
    attempt.percent = listed.percent;
    attempt.last_progress_at = now;
  }
  if (attempt.state == State::kStarting || attempt.state == State::kInDoubt) {
    attempt.state = State::kRunning;
    attempt.state_since = now;
    attempt.first_valid_poll = next_poll_number_;
  } else if (attempt.state == State::kStopping && now > attempt.next_stop) {
    SendStop(attempt, now);
  }
}

// That a run is not listed counts only if the poll was sent after the order was
// answered, since answers on different connections can be reordered. Polls are
// compared by number: a start may be answered in the millisecond in which a
// poll is sent, before or after it.
void WorkerSession::ReconcileUnlisted(Attempt& attempt, std::uint64_t poll,
                                      TimePoint now) {
  const bool later = poll >= attempt.first_valid_poll;
  if (attempt.state == State::kInDoubt && later) {
    Stop(attempt, "in doubt", now);
  } else if (attempt.state == State::kRunning && later) {
    End(attempt.order.attempt, AttemptEnd::kStopped,
        "the worker no longer lists the run", now);
  } else if (attempt.state == State::kStopping && attempt.stop_accepted &&
             later) {
    End(attempt.order.attempt,
        attempt.has_run ? AttemptEnd::kStopped : AttemptEnd::kNotStarted,
        attempt.stop_reason, now);
  }
}

// Stops runs started by an earlier agent, and orders carried out after they had
// been given up. Their size is unknown, so nothing starts while they run.
void WorkerSession::StopUnknownRuns(const PollOutcome& outcome, TimePoint now) {
  std::set<TaskRun> seen;
  for (const ListedRun& listed : outcome.running) {
    if (by_run_.contains(listed.run)) continue;
    // Listed before it ended: answers may overtake each other.
    if (ended_runs_.contains(listed.run)) continue;
    seen.insert(listed.run);
    const auto [found, is_new] =
        unknown_runs_.try_emplace(listed.run, TimePoint::Never());
    if (is_new) {
      Log(LogLevel::kWarning, "stopping_unknown_run",
          {{"task", listed.run.task.value()},
           {"run", std::to_string(listed.run.run)}});
    }
    if (now - found->second <= kStopRetryInterval) continue;
    if (!MayCallToStop()) continue;
    found->second = now;
    CallToStop(listed.run);
  }
  std::erase_if(unknown_runs_, [&](const auto& unknown) {
    return !seen.contains(unknown.first);
  });
  const bool settled = unknown_runs_.empty();
  if (settled != settled_) ++state_version_;
  settled_ = settled;
}

void WorkerSession::ForgetEndedRuns(TimePoint now) {
  std::erase_if(ended_runs_, [&](const auto& ended) {
    return now - ended.second > kEndedRunRetention;
  });
}

void WorkerSession::ExpireLease(TimePoint now) {
  if (!worker_ || lease_end_ == TimePoint::Never()) return;
  if (now - last_answer_at_ < kWorkerTimeout) return;
  if (!worker_silent_) {
    worker_silent_ = true;
    ++state_version_;
    Log(LogLevel::kWarning, "worker_silent",
        {{"worker", worker_->id.value()},
         {"silent_ms", std::to_string((now - last_answer_at_).ms())}});
    ReturnQueued("the worker does not respond", now);
  }
  const Duration slack =
      kLeaseDuration * kClockDriftPercent / 100 + kLeaseMargin;
  if (now < lease_end_ + slack) return;
  // All leases have expired. A run that is listed later all the same is stopped
  // as unknown before anything else starts, and a start that was not answered
  // is fenced off by the next poll.
  settled_ = false;
  std::vector<AttemptId> ids;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.state != State::kQueued) ids.push_back(id);
  }
  if (!ids.empty()) ++fencing_token_;
  for (const AttemptId& id : ids) {
    End(id, AttemptEnd::kStopped, "the worker does not respond", now);
  }
}

// Progress shows the worker's speed before long runs end. It lags at the start
// of a run, so only later values count.
void WorkerSession::MeasureAndStopSlowRuns(TimePoint now) {
  std::vector<AttemptId> too_slow;
  for (auto& [id, attempt] : attempts_) {
    if (attempt.state != State::kRunning) continue;
    const Duration ran = now - attempt.started_at;
    const Duration estimate = attempt.order.estimate;
    const Duration whole = ran * 100 / std::max(1, attempt.percent);
    const bool overdue = ran > estimate * kOverdueFactor;
    if (!attempt.speed_recorded &&
        (attempt.percent >= kMeasurePercent || overdue)) {
      attempt.speed_recorded = true;
      run_statistics_.AddRun(whole, estimate);
    }
    if (run_statistics_.slowness() > kMoveSlownessThreshold && ran > estimate &&
        whole - ran > estimate * kMoveRemainingPercent / 100) {
      too_slow.push_back(id);
    }
  }
  for (const AttemptId& id : too_slow) {
    ++counters_.moved;
    Stop(attempts_.at(id), "slow", now);
  }
}

void WorkerSession::StopStalled(TimePoint now) {
  std::vector<AttemptId> stalled;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.state != State::kRunning) continue;
    const Duration limit = std::max(
        kStallLimit, attempt.order.estimate * kStallEstimateTenths / 10);
    if (now - attempt.last_progress_at > limit) stalled.push_back(id);
  }
  for (const AttemptId& id : stalled) {
    ++counters_.stalled;
    Stop(attempts_.at(id), "stalled", now);
  }
}

}  // namespace geranium
