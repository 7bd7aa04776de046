#include "worker/worker_session.h"

#include <algorithm>
#include <utility>

namespace geranium {
namespace {

/// First increment of a rejected fencing token, in milliseconds of the clock it
/// was derived from; doubled with each rejection.
constexpr std::uint64_t kInitialTokenIncrement = 16'000;
/// Unacknowledged task ends are kept this long for a disconnected entry.
constexpr Duration kEndRetention{10'000};

}  // namespace

WorkerSession::WorkerSession(WorkerSessionOptions options)
    : options_(std::move(options)),
      fencing_token_(options_.first_fencing_token),
      fencing_token_increment_(kInitialTokenIncrement),
      selection_(options_.name, options_.entry_links),
      hold_(options_.capacity_hold) {}

std::vector<SessionAction> WorkerSession::TakeActions() {
  return std::exchange(actions_, {});
}

// ---- the backend server

void WorkerSession::OnAnnouncement(const WorkerAnnouncement& announcement,
                                   TimePoint now) {
  if (worker_ && worker_->id == announcement.id &&
      worker_->started_ms == announcement.started_ms &&
      announcement.sequence < worker_->sequence) {
    return;  // Reordered: a newer one was processed.
  }
  const bool is_new =
      !worker_ || worker_->id != announcement.id ||
      (announcement.started_ms != 0 && announcement.started_ms != started_ms_);
  // Ignore a delayed announcement of an earlier incarnation.
  if (worker_ && is_new && announcement.started_ms < started_ms_) return;
  const bool draining_began =
      announcement.draining && (!worker_ || !worker_->draining);
  worker_ = announcement;
  if (is_new) {
    started_ms_ = announcement.started_ms;
    clock_offset_ms_ = announcement.clock_ms - now.ms();
    Log(LogLevel::kInfo, "worker_registered",
        {{"worker", announcement.id.value()},
         {"service", announcement.service.value()},
         {"cpu", std::to_string(announcement.capacity.cpu)},
         {"memory_mb", std::to_string(announcement.capacity.memory_mb)},
         {"started", std::to_string(announcement.started_ms)}});
    BeginIncarnation(now);
  }
  if (draining_began) {
    Log(LogLevel::kInfo, "worker_draining",
        {{"worker", announcement.id.value()}});
    ReturnQueued("the worker is draining", now);
  }
  ++state_version_;
}

void WorkerSession::OnWorkerLeft(const WorkerId& worker, TimePoint now) {
  if (!worker_ || worker_->id != worker) return;
  worker_left_ = true;
  ++state_version_;
  Log(LogLevel::kInfo, "worker_left", {{"worker", worker.value()}});
  ReturnQueued("the worker has shut down", now);
}

// Runs of the earlier incarnation have ended with it. An order sent to it may
// still reach the new one, which has seen no token yet. Raising the token
// fences off such an order once a poll with the new token is answered.
void WorkerSession::BeginIncarnation(TimePoint now) {
  settled_ = false;
  ++state_version_;
  worker_left_ = false;
  acknowledged_end_ = 0;
  unknown_runs_.clear();
  ended_runs_.clear();
  run_statistics_ = RunStatistics();
  worker_silent_ = false;
  last_answer_at_ = now;
  if (next_poll_number_ > 1) {
    // Calls computed with the earlier clock may have been given any lease.
    lease_end_ = std::max(lease_end_, now + options_.longest_lease);
  }
  ++fencing_token_;
  for (auto& [id, attempt] : attempts_) {
    if (attempt.state == State::kRunning || attempt.state == State::kStarting) {
      attempt.state_since = now;
      attempt.first_valid_poll = next_poll_number_;
    }
  }
  next_poll_ = now;
}

void WorkerSession::UpdateIncarnation(std::uint64_t started_ms, TimePoint now) {
  if (started_ms == 0 || started_ms == started_ms_) return;
  const bool first = started_ms_ == 0;
  started_ms_ = started_ms;
  if (first) return;
  Log(LogLevel::kWarning, "worker_restarted",
      {{"worker", worker_ ? worker_->id.value() : ""},
       {"started", std::to_string(started_ms)}});
  BeginIncarnation(now);
}

void WorkerSession::RaiseFencingToken() {
  fencing_token_ += fencing_token_increment_;
  fencing_token_increment_ *= 2;
  Log(LogLevel::kWarning, "fencing_token_raised",
      {{"token", std::to_string(fencing_token_)}});
}

// The lease is the whole worker's, so that a run which cannot be stopped ends
// with the others there. None if no run limits it.
std::optional<TimePoint> WorkerSession::LatestLeaseEnd() const {
  std::optional<TimePoint> latest;
  for (const auto& [id, attempt] : attempts_) {
    const bool ends =
        attempt.state == State::kStopping && attempt.stop_accepted;
    if (attempt.state == State::kQueued || ends) continue;
    const auto entry = entries_.find(attempt.entry);
    if (entry == entries_.end()) continue;
    const TimePoint end = entry->second.last_alive_at + kLongestEntrySilence;
    latest = std::min(latest.value_or(end), end);
  }
  return latest;
}

std::int64_t WorkerSession::LeaseUntil(TimePoint now) const {
  const TimePoint end = now + std::min(kLeaseDuration, options_.longest_lease);
  return std::min(end, LatestLeaseEnd().value_or(end)).ms() + clock_offset_ms_;
}

// ---- time

void WorkerSession::OnTick(TimePoint now) {
  ExpireLease(now);
  StopRunsOfSilentEntries(now);
  ExpireQueued(now);
  for (auto& [id, attempt] : attempts_) {
    if (attempt.state == State::kStopping && !attempt.stop_accepted &&
        now > attempt.next_stop) {
      SendStop(attempt, now);
    }
  }
  StartQueued(now);
  PollIfDue(now);
  CloseSilentLinks(now);
  SelectEntries(now);
  SendHeartbeats(now);
  SendReports(now);
}

Duration WorkerSession::TimeToNextTick(TimePoint now) const {
  TimePoint next = std::min(next_heartbeat_, next_selection_);
  const bool report_due =
      std::any_of(peers_.begin(), peers_.end(),
                  [&](const auto& item) { return IsReportDue(item.second); });
  if (report_due) next = std::min(next, next_report_);
  const bool cores_hidden =
      std::any_of(peers_.begin(), peers_.end(),
                  [](const auto& item) { return item.second.cores_hidden; });
  if (cores_hidden && hold_.next_expiry()) {
    next = std::min(next, std::max(*hold_.next_expiry(), next_report_));
  }
  if (worker_ && long_poll_ == 0) next = std::min(next, next_poll_);
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.state == State::kQueued) {
      next = std::min(next, attempt.state_since + attempt.order.max_wait);
    } else if (attempt.state == State::kStopping) {
      if (attempt.stop_accepted) continue;  // A poll shows its end.
      next = std::min(next, attempt.next_stop);
      continue;
    }
    const auto entry = entries_.find(attempt.entry);
    if (entry == entries_.end()) continue;
    next = std::min(next, entry->second.last_alive_at + kEntryTimeout);
  }
  // Each limit is checked for having been exceeded.
  return std::max(next + Duration(1) - now, Duration(1));
}

void WorkerSession::OnEventsHandled(TimePoint now) {
  PollIfDue(now);
  SendReports(now);
}

void WorkerSession::ExpireQueued(TimePoint now) {
  std::vector<AttemptId> expired;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.state == State::kQueued &&
        now - attempt.state_since > attempt.order.max_wait) {
      expired.push_back(id);
    }
  }
  ReturnOrders(expired, "no capacity within the queue time limit", now);
}

void WorkerSession::ReturnQueued(const std::string& reason, TimePoint now) {
  std::vector<AttemptId> queued;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.state == State::kQueued) queued.push_back(id);
  }
  ReturnOrders(queued, reason, now);
}

void WorkerSession::ReturnOrders(const std::vector<AttemptId>& orders,
                                 const std::string& reason, TimePoint now) {
  for (const AttemptId& id : orders) {
    ++counters_.returned;
    End(id, AttemptEnd::kNotStarted, reason, now);
  }
}

void WorkerSession::StopRunsOfSilentEntries(TimePoint now) {
  std::vector<AttemptId> orphans;
  for (const auto& [id, attempt] : attempts_) {
    const Entry& entry = entries_[attempt.entry];
    if (attempt.state != State::kStopping &&
        now - entry.last_alive_at > kEntryTimeout) {
      orphans.push_back(id);
    }
  }
  for (const AttemptId& id : orphans) {
    Stop(attempts_.at(id), "the entry sent no heartbeat in time", now);
  }
  std::set<Incarnation> with_runs;
  for (const auto& [id, attempt] : attempts_) with_runs.insert(attempt.entry);
  std::erase_if(entries_, [&](const auto& item) {
    const Entry& entry = item.second;
    return !entry.linked && now - entry.last_alive_at >= kEndRetention &&
           !with_runs.contains(item.first);
  });
}

void WorkerSession::Leave(TimePoint now) {
  leaving_ = true;
  ++state_version_;
  ReturnQueued("the agent is draining", now);
}

void WorkerSession::StopAll(TimePoint now) {
  for (auto& [id, attempt] : attempts_) {
    if (attempt.state != State::kQueued) Stop(attempt, "leaving", now);
  }
}

void WorkerSession::Send(LinkId link, Message message) {
  actions_.emplace_back(SendMessage{link, std::move(message)});
}

void WorkerSession::Log(LogLevel level, const std::string& event,
                        LogFields fields) {
  actions_.emplace_back(LogMessage{level, event, std::move(fields)});
}

}  // namespace geranium
