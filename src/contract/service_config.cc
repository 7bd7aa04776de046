#include "contract/service_config.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "settings/ini.h"

namespace geranium {
namespace {

constexpr std::int64_t kMaxTimeoutMs = 600'000;
constexpr std::int64_t kMaxWeight = 1000;
constexpr std::int64_t kMaxQuota = 10'000'000;
constexpr std::size_t kMaxNameLength = 64;

Error ConfigError(const std::string& message) {
  return Error{ErrorCode::kInvalidText, "check text", "", message,
               Execution::kNotRun};
}

bool IsValidName(const std::string& name) {
  const auto allowed = [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_';
  };
  return !name.empty() && name.size() <= kMaxNameLength &&
         std::all_of(name.begin(), name.end(), allowed);
}

ServiceSpec ReadService(const std::string& name, IniSection& section) {
  ServiceSpec spec;
  spec.name = ServiceName(name);
  const std::string task_class = section.Text("class", "normal");
  const auto parsed = ParseTaskClass(task_class);
  if (!parsed) {
    section.AddError(
        "class", "is '" + task_class + "'; expected urgent, normal or bulk");
  }
  spec.task_class = parsed.value_or(TaskClass::kNormal);
  spec.idempotent = section.Flag("idempotent", false);
  spec.timeout =
      Duration(section.Integer("timeout_ms", 5000, 1, kMaxTimeoutMs));
  for (const std::string& other : section.List("depends")) {
    spec.depends.emplace_back(other);
  }
  spec.path = section.Text("path", "/" + name);
  if (!spec.path.starts_with('/')) {
    section.AddError(
        "path", "is '" + spec.path + "'; expected a path that begins with /");
  }
  return spec;
}

TeamSpec ReadTeam(const std::string& name, IniSection& section) {
  TeamSpec spec;
  spec.name = TeamName(name);
  spec.weight = static_cast<int>(section.Integer("weight", 1, 1, kMaxWeight));
  spec.quota = static_cast<int>(section.Integer("quota", 10000, 1, kMaxQuota));
  return spec;
}

Result<void> CheckDependencies(const ServiceConfig& config) {
  for (const auto& [name, spec] : config.services) {
    for (const ServiceName& other : spec.depends) {
      if (config.services.contains(other)) continue;
      return ConfigError("service '" + name.value() + "' depends on '" +
                         other.value() + "', which is not defined");
    }
  }
  return boost::outcome_v2::success();
}

enum class VisitState { kInProgress, kDone };

// Depth-first search; reaching a service still in progress closes a cycle.
Result<void> CheckAcyclicFrom(const ServiceConfig& config,
                              const ServiceName& name,
                              std::map<ServiceName, VisitState>& visits) {
  const auto [position, is_new] =
      visits.try_emplace(name, VisitState::kInProgress);
  if (!is_new) {
    if (position->second == VisitState::kDone) {
      return boost::outcome_v2::success();
    }
    return ConfigError("service '" + name.value() +
                       "' depends on itself through a cycle");
  }
  for (const ServiceName& other : config.services.at(name).depends) {
    BOOST_OUTCOME_TRYV(CheckAcyclicFrom(config, other, visits));
  }
  visits[name] = VisitState::kDone;
  return boost::outcome_v2::success();
}

Result<void> CheckAcyclic(const ServiceConfig& config) {
  std::map<ServiceName, VisitState> visits;
  for (const auto& [name, spec] : config.services) {
    BOOST_OUTCOME_TRYV(CheckAcyclicFrom(config, name, visits));
  }
  return boost::outcome_v2::success();
}

Result<void> ReadSection(IniSection& section, ServiceConfig& config) {
  const std::string& title = section.name();
  const auto space = title.find(' ');
  const std::string kind = title.substr(0, space);
  const std::string name =
      space == std::string::npos ? "" : title.substr(space + 1);
  if (!IsValidName(name)) {
    return ConfigError(
        "section [" + title +
        "]: expected [service NAME], [team NAME] or "
        "[data_centre NAME]; NAME is 1 to 64 letters, digits, - or _");
  }
  if (kind == "service") {
    config.services[ServiceName(name)] = ReadService(name, section);
  } else if (kind == "team") {
    config.teams[TeamName(name)] = ReadTeam(name, section);
  } else if (kind == "data_centre") {
    config.data_centres[DataCentreName(name)] =
        DataCentreSpec{DataCentreName(name), section.Required("region")};
  } else {
    return ConfigError("section [" + title + "]: kind '" + kind +
                       "' is unknown; expected service, team or data_centre");
  }
  return section.Finish();
}

}  // namespace

Result<ServiceConfig> ParseServiceConfig(const std::string& text) {
  BOOST_OUTCOME_TRY(file, IniFile::Parse("text", text));
  ServiceConfig config;
  for (IniSection& section : file.sections()) {
    BOOST_OUTCOME_TRYV(ReadSection(section, config));
  }
  if (config.services.empty()) {
    return ConfigError(
        "no service is defined; expected a section [service NAME]");
  }
  if (config.data_centres.empty()) {
    return ConfigError(
        "no data centre is defined; expected a section [data_centre NAME]");
  }
  BOOST_OUTCOME_TRYV(CheckDependencies(config));
  BOOST_OUTCOME_TRYV(CheckAcyclic(config));
  return config;
}

}  // namespace geranium
