#ifndef GERANIUM_WORKER_START_GATE_H_
#define GERANIUM_WORKER_START_GATE_H_

#include <optional>

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"
#include "data_centre/configuration.h"
#include "data_centre/freshness.h"

namespace geranium {

/// Whether a worker may start a task now: its data centre is in, and that is
/// known freshly enough.
class StartGate {
 public:
  StartGate(DataCentreName data_centre, WorkerId worker, Duration limit)
      : data_centre_(std::move(data_centre)),
        worker_(std::move(worker)),
        freshness_(LogOutageRule::kStop, limit) {}

  /// Takes a newer configuration; true if it was newer.
  bool Adopt(const ConfigurationState& state);

  /// An entry proved that at `at` or later nothing newer than `version` was
  /// accepted. Ignored unless that version has arrived.
  void Confirm(Version version, TimePoint at);

  /// The reason why nothing may start; none if the gate is open.
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
