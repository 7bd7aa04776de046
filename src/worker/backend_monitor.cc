#include "worker/backend_monitor.h"

#include <algorithm>

namespace geranium {

void BackendMonitor::CallStarted(const AttemptId& attempt,
                                 const ServiceName& service, Duration timeout,
                                 TimePoint now) {
  calls_[attempt] = Call{service, now, timeout};
}

void BackendMonitor::CallEnded(const AttemptId& attempt, CallEnd end,
                               TimePoint now) {
  const auto found = calls_.find(attempt);
  if (found == calls_.end()) return;
  if (end == CallEnd::kAborted) {
    Abort(attempt, now);
    return;
  }
  const Call call = found->second;
  calls_.erase(found);
  switch (end) {
    case CallEnd::kAnswered:
      run_times_[call.service].Add(now - call.started);
      failures_ = 0;
      last_answer_ = now;
      Recover();
      break;
    case CallEnd::kFailed:
      ++failures_;
      last_answer_ = now;
      Recover();
      break;
    case CallEnd::kNotConnected:
    case CallEnd::kNoAnswer:
      BecomeQuiet(now);
      break;
    case CallEnd::kAborted:
      break;
  }
}

// A call that is given up because it is late, say after a hedge was answered
// elsewhere, stays a sign of silence until there is an answer. One that is
// cancelled early says nothing.
void BackendMonitor::Abort(const AttemptId& attempt, TimePoint now) {
  Call& call = calls_.at(attempt);
  const Duration usual = run_times_[call.service].Usual(call.timeout);
  if (now - call.started > usual) {
    call.aborted = true;
  } else {
    calls_.erase(attempt);
  }
}

void BackendMonitor::ForgetAborted() {
  std::erase_if(calls_, [](const auto& item) { return item.second.aborted; });
}

Duration BackendMonitor::UsualTime(const Call& call) const {
  const auto found = run_times_.find(call.service);
  if (found == run_times_.end()) return call.timeout;
  return found->second.P99(call.timeout);
}

Duration BackendMonitor::OverdueAfter(const Call& call) const {
  const Duration late = UsualTime(call) * kOverdueFactor;
  return std::min(call.timeout, std::max(kQuietFloor, late));
}

// A long call alone is no sign: its backend server may answer others. Silence
// counts from the newest answer.
bool BackendMonitor::Tick(TimePoint now) {
  if (quiet_) return false;
  for (const auto& [attempt, call] : calls_) {
    const TimePoint silent_since = std::max(call.started, last_answer_);
    if (now - silent_since <= OverdueAfter(call)) continue;
    BecomeQuiet(now);
    return true;
  }
  return false;
}

void BackendMonitor::BecomeQuiet(TimePoint now) {
  if (quiet_) return;
  quiet_ = true;
  on_trial_ = false;
  ForgetAborted();
  next_probe_ = now + probe_interval_;
}

void BackendMonitor::Recover() {
  quiet_ = false;
  on_trial_ = false;
  ForgetAborted();
  probe_interval_ = kFirstProbe;
}

bool BackendMonitor::ProbeDue(TimePoint now) {
  if (!quiet_ || probe_running_ || now < next_probe_) return false;
  probe_running_ = true;
  return true;
}

void BackendMonitor::ProbeEnded(bool answered, TimePoint now) {
  probe_running_ = false;
  probe_interval_ = std::min(kLongestProbe, probe_interval_ * 2);
  next_probe_ = now + probe_interval_;
  if (!quiet_ || !answered) return;
  quiet_ = false;
  on_trial_ = true;
  last_answer_ = now;
}

BackendHealth BackendMonitor::health() const {
  if (quiet_) return BackendHealth::kQuiet;
  if (failures_ >= kFailuresToFail) return BackendHealth::kFailing;
  return BackendHealth::kAnswering;
}

int BackendMonitor::AllowedCalls(int slots) const {
  if (quiet_) return 0;
  return on_trial_ ? 1 : slots;
}

}  // namespace geranium
