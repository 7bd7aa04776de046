#include "worker/start_gate.h"

namespace geranium {

bool StartGate::Adopt(const ConfigurationState& state) {
  return configuration_.Adopt(state);
}

void StartGate::Confirm(Version version, TimePoint at) {
  if (version > configuration_.version()) return;
  freshness_.Confirm(at);
}

std::optional<Error> StartGate::ClosedReason(TimePoint now) const {
  Error error;
  error.code = ErrorCode::kUnavailable;
  error.step = "start";
  error.peer = worker_.value();
  if (!configuration_.IsInService(data_centre_)) {
    error.message = "data centre " + data_centre_.value() + " is out";
    return error;
  }
  if (!freshness_.IsFresh(now)) {
    error.message =
        "the configuration was not confirmed within the freshness limit";
    return error;
  }
  return std::nullopt;
}

}  // namespace geranium
