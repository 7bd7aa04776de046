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

/// The configuration as read from the log from its beginning.
struct ConfigurationHistory {
  ConfigurationReader reader;
  std::vector<ConfigurationReader::Decision> decisions;

  /// The decision on the record with this id; null if it was not read.
  const ConfigurationReader::Decision* FindDecision(const RecordId& id) const;
  /// The text at a version, if its record is still on the log.
  const TextRecord* FindText(Version version) const;
};

/// How an operator's change ended.
enum class ChangeState {
  kAccepted,
  kConflict,
  kInvalid,
  kUnknown,  ///< It may be on the log or get there later.
};

struct ChangeOutcome {
  ChangeState state = ChangeState::kUnknown;
  Version version;  ///< Of the record, once it was read back.
  std::string message;
};

/// How far a version has come.
struct RolloutProgress {
  std::size_t entries_in_force = 0;
  std::size_t entries = 0;
  std::size_t workers_in_force = 0;
  std::size_t workers = 0;
  std::vector<std::string> missing;  ///< Who is behind or did not answer.

  bool IsDone() const { return missing.empty(); }
};

/// A site as an operator sees it: the log service and the entries.
class SiteClient {
 public:
  SiteClient(std::string log_address, std::vector<std::string> entry_addresses)
      : log_address_(std::move(log_address)),
        entry_addresses_(std::move(entry_addresses)) {}

  Result<ConfigurationHistory> ReadConfiguration() const;

  /// Appends a change and reads on until its record tells what became of it.
  /// The records that were read back are handed to every entry.
  ChangeOutcome SubmitChange(const ConfigurationRecord& record,
                             Duration timeout) const;

  RolloutProgress FetchProgress(Version version) const;

  /// Each entry's status by address; an error for those that do not answer.
  std::map<std::string, Result<nlohmann::json>> FetchStatuses() const;

  /// Asks every entry to have the worker leave; how many took it.
  Result<int> DrainWorker(const std::string& worker) const;

 private:
  void SendToEntries(const LogRecord& record) const;

  std::string log_address_;
  std::vector<std::string> entry_addresses_;
};

}  // namespace geranium

#endif  // GERANIUM_OPERATOR_SITE_CLIENT_H_
