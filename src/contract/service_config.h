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

/// The settings of one service.
struct ServiceSpec {
  ServiceName name;
  TaskClass task_class = TaskClass::kNormal;
  bool idempotent = false;
  Duration timeout{5000};  ///< Limit of one call to a backend server.
  std::vector<ServiceName> depends;
  std::string path;  ///< URL path at the backend server.
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

/// The operators' configuration of services, teams and data centres.
struct ServiceConfig {
  std::map<ServiceName, ServiceSpec> services;
  std::map<TeamName, TeamSpec> teams;
  std::map<DataCentreName, DataCentreSpec> data_centres;
};

/// Parses and validates the configuration text (INI; docs/SETTINGS.md). Errors
/// name the section, the key and what is allowed.
Result<ServiceConfig> ParseServiceConfig(const std::string& text);

}  // namespace geranium

#endif  // GERANIUM_CONTRACT_SERVICE_CONFIG_H_
