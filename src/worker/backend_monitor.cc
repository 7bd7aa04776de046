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
    OnAborted(attempt, now);
    return;
  }
  const Call call = found->second;
  calls_.erase(found);
  switch (end) {
    case CallEnd::kAnswered:
      run_times_[call.service].Add(now - call.started);
      failures_ = 0;
      last_answer_ = now;
      MarkResponsive();
      break;
    case CallEnd::kFailed:
      ++failures_;
      last_answer_ = now;
      MarkResponsive();
      break;
    case CallEnd::kNotConnected:
    case CallEnd::kNoAnswer:
      MarkUnresponsive(now);
      break;
    case CallEnd::kAborted:
      break;
  }
}

// A call aborted because it is late (e.g. after a hedge was answered elsewhere)
// still counts as overdue until the server answers a call. One cancelled early
// carries no information.
void BackendMonitor::OnAborted(const AttemptId& attempt, TimePoint now) {
  Call& call = calls_.at(attempt);
  const Duration usual = run_times_[call.service].P99OrMax(call.timeout);
  if (now - call.started > usual) {
    call.aborted = true;
  } else {
    calls_.erase(attempt);
  }
}

void BackendMonitor::EraseAborted() {
  std::erase_if(calls_, [](const auto& item) { return item.second.aborted; });
}

Duration BackendMonitor::P99RunTime(const Call& call) const {
  const auto found = run_times_.find(call.service);
  if (found == run_times_.end()) return call.timeout;
  return found->second.P99(call.timeout);
}

Duration BackendMonitor::OverdueAfter(const Call& call) const {
  const Duration late = P99RunTime(call) * kOverdueFactor;
  return std::min(call.timeout, std::max(kMinOverdueTime, late));
}

// A long call alone does not make the server unresponsive, as it may answer
// others: the time without a response counts from the latest one.
bool BackendMonitor::CheckOverdueCalls(TimePoint now) {
  if (unresponsive_) return false;
  for (const auto& [attempt, call] : calls_) {
    const TimePoint silent_since = std::max(call.started, last_answer_);
    if (now - silent_since <= OverdueAfter(call)) continue;
    MarkUnresponsive(now);
    return true;
  }
  return false;
}

void BackendMonitor::MarkUnresponsive(TimePoint now) {
  if (unresponsive_) return;
  unresponsive_ = true;
  half_open_ = false;
  EraseAborted();
  next_probe_ = now + probe_interval_;
}

void BackendMonitor::MarkResponsive() {
  unresponsive_ = false;
  half_open_ = false;
  EraseAborted();
  probe_interval_ = kInitialProbeInterval;
}

bool BackendMonitor::BeginProbeIfDue(TimePoint now) {
  if (!unresponsive_ || probe_running_ || now < next_probe_) return false;
  probe_running_ = true;
  return true;
}

void BackendMonitor::ProbeEnded(bool answered, TimePoint now) {
  probe_running_ = false;
  probe_interval_ = std::min(kMaxProbeInterval, probe_interval_ * 2);
  next_probe_ = now + probe_interval_;
  if (!unresponsive_ || !answered) return;
  unresponsive_ = false;
  half_open_ = true;
  last_answer_ = now;
}

BackendHealth BackendMonitor::health() const {
  if (unresponsive_) return BackendHealth::kUnresponsive;
  if (failures_ >= kFailureThreshold) return BackendHealth::kFailing;
  return BackendHealth::kAnswering;
}

int BackendMonitor::MaxConcurrentCalls(int slots) const {
  if (unresponsive_) return 0;
  return half_open_ ? 1 : slots;
}

}  // namespace geranium
