#ifndef GERANIUM_WORKER_BACKEND_MONITOR_H_
#define GERANIUM_WORKER_BACKEND_MONITOR_H_

#include <map>
#include <unordered_map>

#include "base/clock.h"
#include "base/ids.h"
#include "base/quantile_window.h"
#include "link/messages.h"

namespace geranium {

/// How one call to the backend server ended.
enum class CallEnd {
  kAnswered,      ///< A complete response with a status below 500.
  kFailed,        ///< A complete response with a status of 500 or above.
  kNotConnected,  ///< No connection; nothing was sent.
  kNoAnswer,      ///< The request may have been sent; no complete response.
  kAborted,       ///< Stopped on request.
};

/// Passive health check and circuit breaker for a backend server. The server is
/// unresponsive if an outstanding call is overdue and nothing was answered
/// meanwhile, or if a call gets no response. Probes with exponential backoff
/// then half-open it: one call at a time until a call is answered.
class BackendMonitor {
 public:
  static constexpr Duration kMinOverdueTime{300};
  static constexpr Duration kInitialProbeInterval{250};
  static constexpr Duration kMaxProbeInterval{2000};
  static constexpr int kFailureThreshold = 5;
  /// A call is overdue at this many times the service's 99th percentile.
  static constexpr int kOverdueFactor = 3;

  void CallStarted(const AttemptId& attempt, const ServiceName& service,
                   Duration timeout, TimePoint now);
  void CallEnded(const AttemptId& attempt, CallEnd end, TimePoint now);

  /// Checks for overdue calls; returns true if the state changed.
  bool CheckOverdueCalls(TimePoint now);

  /// Returns true if a probe is due, and marks it as running.
  bool BeginProbeIfDue(TimePoint now);
  /// Any response counts: it shows that the server handles calls.
  void ProbeEnded(bool answered, TimePoint now);

  BackendHealth health() const;
  /// Limit of concurrent calls for a worker with `slots` slots.
  int MaxConcurrentCalls(int slots) const;

 private:
  struct Call {
    ServiceName service;
    TimePoint started;
    Duration timeout;
    bool aborted = false;
  };

  void OnAborted(const AttemptId& attempt, TimePoint now);
  void EraseAborted();
  Duration P99RunTime(const Call& call) const;

  Duration OverdueAfter(const Call& call) const;
  void MarkUnresponsive(TimePoint now);
  void MarkResponsive();

  std::unordered_map<AttemptId, Call> calls_;
  std::map<ServiceName, QuantileWindow> run_times_;
  TimePoint last_answer_ = TimePoint::Never();
  bool unresponsive_ = false;
  bool half_open_ = false;
  bool probe_running_ = false;
  int failures_ = 0;
  TimePoint next_probe_;
  Duration probe_interval_ = kInitialProbeInterval;
};

}  // namespace geranium

#endif  // GERANIUM_WORKER_BACKEND_MONITOR_H_
