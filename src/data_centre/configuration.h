#ifndef GERANIUM_DATA_CENTRE_CONFIGURATION_H_
#define GERANIUM_DATA_CENTRE_CONFIGURATION_H_

#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "contract/log.h"
#include "contract/service_config.h"
#include "data_centre/configuration_record.h"
#include "data_centre/configuration_state.h"

namespace geranium {

/// How a record of the configuration stream was decided.
enum class Verdict { kAccepted, kConflict, kInvalid, kSnapshot };

std::string_view Name(Verdict verdict);

/// Validates `record` at `offset` and applies it to `state` if accepted.
/// Depends on its arguments alone, so that all readers reach the same verdict.
Verdict ApplyRecord(LogOffset offset, const ConfigurationRecord& record,
                    ConfigurationState& state);

/// The data centre's state; null if it is not configured.
const DataCentreState* FindDataCentre(const ConfigurationState& state,
                                      const DataCentreName& name);

/// Replays the configuration stream into a state. A reader that starts after
/// the oldest records were dropped waits for a snapshot that covers the gap.
class ConfigurationReader {
 public:
  /// A record and its verdict, for the operator API.
  struct Decision {
    LogOffset offset;
    RecordId id;
    Verdict verdict = Verdict::kInvalid;
    ConfigurationRecord record;
  };

  /// Applies a batch that was read from `position()` on.
  std::vector<Decision> Read(const LogBatch& batch, TimePoint now);

  /// Starts from a state that peers had in force, if the log still has every
  /// record after it. Does nothing if there is a state already.
  std::vector<Decision> StartFromState(const ConfigurationState& state);

  /// The offset to read from next.
  LogOffset position() const { return position_; }
  /// True once `state()` is valid: read from offset 1, a snapshot or a peer.
  bool has_state() const { return has_state_; }
  /// True if all records up to the newest one seen have been applied.
  bool at_tail() const { return has_state_ && position_ >= tail_; }
  const ConfigurationState& state() const { return state_; }
  /// When the oldest record needed to rebuild the state was appended.
  std::optional<TimePoint> base_appended_at() const { return base_appended_; }

 private:
  struct Pending {
    LogRecord record;
    TimePoint appended;
  };

  void StartAt(LogOffset first);
  bool FindSnapshot();
  std::vector<Decision> ApplyPending();
  Decision Apply(const Pending& pending);
  void UpdateBase(Verdict verdict, const Pending& pending,
                  const ConfigurationRecord& record);

  LogOffset position_{1};
  LogOffset tail_{1};
  bool has_state_ = true;  // Before the first record it is empty.
  ConfigurationState state_;
  std::optional<TimePoint> base_appended_;
  std::vector<Pending> pending_;
};

/// The configuration in force at one process: the newest state read from the
/// log or received from a peer, and its parsed text. Never reverts.
class Configuration {
 public:
  /// Puts `state` in force if it is newer and valid; returns true if so.
  bool Adopt(const ConfigurationState& state);

  const ConfigurationState& state() const { return state_; }
  Version version() const { return state_.version; }
  const ServiceConfig& service_config() const { return service_config_; }

  /// The service's settings; null if it is not configured.
  const ServiceSpec* FindService(const ServiceName& name) const;
  /// The team's settings; the defaults if it is not configured.
  TeamSpec Team(const TeamName& name) const;
  /// True if tasks may start in the data centre.
  bool IsInService(const DataCentreName& name) const;

 private:
  ConfigurationState state_;
  ServiceConfig service_config_;
};

}  // namespace geranium

#endif  // GERANIUM_DATA_CENTRE_CONFIGURATION_H_
