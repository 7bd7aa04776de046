#ifndef GERANIUM_CONTRACT_SERVICE_CONFIG_H_
#define GERANIUM_CONTRACT_SERVICE_CONFIG_H_

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"
#include "contract/task.h"

namespace geranium {

/// One service of the operators' text.
struct ServiceSpec {
  ServiceName name;
  TaskClass task_class = TaskClass::kNormal;
  bool idempotent = false;
  Duration timeout{5000};  ///< The longest that a backend server may take.
  std::vector<ServiceName> depends;
  std::string path;  ///< Where the backend server serves it.
};

/// One team's share and quota.
struct TeamSpec {
  TeamName name;
  int weight = 1;
  int quota = 10000;  ///< Tasks queued and running at once, over all entries.
};

struct DataCentreSpec {
  DataCentreName name;
  std::string region;
};

/// The operators' text: services, what each depends on, teams, data centres.
struct ServiceConfig {
  std::map<ServiceName, ServiceSpec> services;
  std::map<TeamName, TeamSpec> teams;
  std::map<DataCentreName, DataCentreSpec> data_centres;
};

/// Reads and checks the operators' text (INI; docs/SETTINGS.md). The error
/// names the section, the key and what is allowed.
Result<ServiceConfig> ParseServiceConfig(const std::string& text);

}  // namespace geranium

#endif  // GERANIUM_CONTRACT_SERVICE_CONFIG_H_
