#ifndef GERANIUM_OPERATOR_SITE_CLIENT_H_
#define GERANIUM_OPERATOR_SITE_CLIENT_H_

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "data_centre/configuration.h"

namespace geranium {

/// The configuration log, read from its first retained record.
struct ConfigurationHistory {
  ConfigurationReader reader;
  std::vector<ConfigurationReader::Decision> decisions;

  /// The decision on the record with this id; null if the log has none.
  const ConfigurationReader::Decision* FindDecision(const RecordId& id) const;
  /// The text of a version; null if its record is no longer on the log.
  const TextRecord* FindText(Version version) const;
};

/// How an operator's change ended.
enum class ChangeState {
  kAccepted,
  kConflict,
  kInvalid,
  kUnknown,  ///< The record may be on the log or still be appended.
};

struct ChangeOutcome {
  ChangeState state = ChangeState::kUnknown;
  Version version;  ///< Of the record, once read back from the log.
  std::string message;
};

/// How many processes use a version.
struct RolloutProgress {
  std::size_t entries_in_force = 0;
  std::size_t entries = 0;
  std::size_t workers_in_force = 0;
  std::size_t workers = 0;
  std::vector<std::string> missing;  ///< Behind, or did not answer.

  bool IsDone() const { return missing.empty(); }
};

/// An operator's client of a site's log service and entries.
class SiteClient {
 public:
  SiteClient(std::string log_address, std::vector<std::string> entry_addresses)
      : log_address_(std::move(log_address)),
        entry_addresses_(std::move(entry_addresses)) {}

  Result<ConfigurationHistory> ReadConfiguration() const;

  /// Appends a change and polls the log until the outcome of its record is
  /// known. The record is then pushed to every entry.
  ChangeOutcome SubmitChange(const ConfigurationRecord& record,
                             Duration timeout) const;

  RolloutProgress FetchProgress(Version version) const;

  /// Status of each entry by address; an error for one that does not answer.
  std::map<std::string, Result<nlohmann::json>> FetchStatuses() const;

  /// Asks every entry to drain the worker; returns how many accepted.
  Result<int> DrainWorker(const std::string& worker) const;

 private:
  void SendToEntries(const LogRecord& record) const;

  std::string log_address_;
  std::vector<std::string> entry_addresses_;
};

}  // namespace geranium

#endif  // GERANIUM_OPERATOR_SITE_CLIENT_H_
