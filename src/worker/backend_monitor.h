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
  kAnswered,      ///< A whole answer with a status below 500.
  kFailed,        ///< A whole answer with a status of 500 or above.
  kNotConnected,  ///< No connection; nothing was sent.
  kNoAnswer,      ///< Something may have been sent; no whole answer came.
  kAborted,       ///< Stopped on request.
};

/// Judges a backend server by its answers alone. It is quiet if an outstanding
/// call is overdue and nothing was answered meanwhile, or if it refuses
/// connections. A probe at growing intervals lets it back, at first for one
/// call at a time.
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

  /// Looks for overdue calls; true if the state changed.
  bool CheckOverdueCalls(TimePoint now);

  /// True, once for each interval, if a probe is due.
  bool BeginProbeIfDue(TimePoint now);
  /// Any answer to a probe counts: it shows that calls are being answered.
  void ProbeEnded(bool answered, TimePoint now);

  BackendHealth health() const;
  /// Calls that may be outstanding, given the worker's `slots`.
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
