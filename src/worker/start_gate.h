#ifndef GERANIUM_WORKER_START_GATE_H_
#define GERANIUM_WORKER_START_GATE_H_

#include <optional>

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"
#include "data_centre/configuration.h"
#include "data_centre/freshness.h"

namespace geranium {

/// Decides whether a worker may start a task now: its data centre has to be in,
/// according to a configuration confirmed within the freshness limit.
class StartGate {
 public:
  StartGate(DataCentreName data_centre, WorkerId worker, Duration limit)
      : data_centre_(std::move(data_centre)),
        worker_(std::move(worker)),
        freshness_(LogOutageRule::kStop, limit) {}

  /// Applies a configuration if it is newer; returns true if it was.
  bool Adopt(const ConfigurationState& state);

  /// An entry confirmed that `version` was still the latest at `at` or later.
  /// Ignored until that version has been received.
  void Confirm(Version version, TimePoint at);

  /// Why nothing may start; `nullopt` if the gate is open.
  std::optional<Error> ClosedReason(TimePoint now) const;

  bool IsFresh(TimePoint now) const { return freshness_.IsFresh(now); }
  std::optional<Duration> Age(TimePoint now) const {
    return freshness_.Age(now);
  }
  const Configuration& configuration() const { return configuration_; }

 private:
  DataCentreName data_centre_;
  WorkerId worker_;
  Configuration configuration_;
  Freshness freshness_;
};

}  // namespace geranium

#endif  // GERANIUM_WORKER_START_GATE_H_
