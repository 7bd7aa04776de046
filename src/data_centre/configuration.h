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

/// What became of a record on the configuration stream.
enum class Verdict { kAccepted, kConflict, kInvalid, kSnapshot };

std::string_view Name(Verdict verdict);

/// Decides on `record` at `offset` and changes `state` if it is accepted. Every
/// reader decides alike: the decision depends on nothing but its arguments.
Verdict ApplyRecord(LogOffset offset, const ConfigurationRecord& record,
                    ConfigurationState& state);

/// The data centre's state; none if the text does not have it.
const DataCentreState* FindDataCentre(const ConfigurationState& state,
                                      const DataCentreName& name);

/// Folds the configuration stream into a state. A reader that begins after the
/// oldest records were dropped waits for a snapshot that covers the gap.
class ConfigurationReader {
 public:
  /// One decided record, for operators' questions.
  struct Decision {
    LogOffset offset;
    RecordId id;
    Verdict verdict = Verdict::kInvalid;
    ConfigurationRecord record;
  };

  /// Folds a batch that was read from `position()` on.
  std::vector<Decision> Read(const LogBatch& batch, TimePoint now);

  /// Begins from a state that peers had in force, if the log still has every
  /// record after it. Does nothing if the state is known already.
  std::vector<Decision> StartFromState(const ConfigurationState& state);

  /// The offset to read from next.
  LogOffset position() const { return position_; }
  /// True once the state is known from the log alone.
  bool has_state() const { return has_state_; }
  /// True if all records up to the newest one seen have been folded.
  bool at_tail() const { return has_state_ && position_ >= tail_; }
  const ConfigurationState& state() const { return state_; }
  /// When the oldest record that the state rests on was appended.
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
  bool has_state_ = true;  // At offset 1 the state is known: it is empty.
  ConfigurationState state_;
  std::optional<TimePoint> base_appended_;
  std::vector<Pending> pending_;
};

/// The configuration in force at one process: the newest state that it has
/// read or was told of, with its text parsed. Never goes back.
class Configuration {
 public:
  /// Puts `state` in force if it is newer; true if so.
  bool Adopt(const ConfigurationState& state);

  const ConfigurationState& state() const { return state_; }
  Version version() const { return state_.version; }
  const ServiceConfig& service_config() const { return service_config_; }

  /// The service's contract; null if the text does not have it.
  const ServiceSpec* FindService(const ServiceName& name) const;
  /// The team's contract; a default one for teams that the text lacks.
  TeamSpec Team(const TeamName& name) const;
  /// True if tasks may start in the data centre.
  bool IsInService(const DataCentreName& name) const;

 private:
  ConfigurationState state_;
  ServiceConfig service_config_;
};

}  // namespace geranium

#endif  // GERANIUM_DATA_CENTRE_CONFIGURATION_H_
