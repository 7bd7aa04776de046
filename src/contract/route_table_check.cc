#include "contract/route_table_check.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <limits>
#include <set>
#include <sstream>
#include <utility>

namespace geranium {
namespace {

constexpr auto kError = FindingSeverity::kError;
constexpr auto kWarning = FindingSeverity::kWarning;
constexpr auto kChange = FindingSeverity::kChange;

// Negative numbers in a manifest appear as larger ones in unsigned fields.
constexpr std::uint64_t kMaxVersion = std::numeric_limits<std::int64_t>::max();
constexpr std::uint32_t kMaxAttempts = std::numeric_limits<std::int32_t>::max();

class Findings {
 public:
  void Add(FindingSeverity severity, std::string message) {
    // A line feed in a name must not look like a further finding.
    std::replace_if(
        message.begin(), message.end(),
        [](unsigned char c) { return c < 0x20 || c == 0x7f; }, '?');
    findings_.push_back({severity, std::move(message)});
  }
  std::vector<RouteFinding> TakeSorted() {
    std::stable_sort(findings_.begin(), findings_.end(),
                     [](const RouteFinding& a, const RouteFinding& b) {
                       return a.severity < b.severity;
                     });
    return std::move(findings_);
  }

 private:
  std::vector<RouteFinding> findings_;
};

std::string Label(const Route& route) {
  return "route '" + route.name + "' (" + route.host + " " + route.path_prefix +
         ")";
}

bool HasSamePattern(const Route& a, const Route& b) {
  return a.host == b.host && a.path_prefix == b.path_prefix;
}

template <class T>
std::string ToText(const T& value) {
  std::ostringstream text;
  // The default of 6 digits would show some different values as equal.
  text << std::boolalpha << std::setprecision(15) << value;
  return text.str();
}

/// The fields other than host and prefix that differ, as "field from -> to".
std::vector<std::string> Differences(const Route& from, const Route& to) {
  std::vector<std::string> differences;
  const auto compare = [&](const char* field, const auto& a, const auto& b) {
    if (a == b) return;
    differences.push_back(std::string(field) + " " + ToText(a) + " -> " +
                          ToText(b));
  };
  compare("name", from.name, to.name);
  compare("service", from.service.value(), to.service.value());
  compare("priority", from.priority, to.priority);
  compare("target-latency-ms", from.target_latency.ms(),
          to.target_latency.ms());
  compare("slack-factor", from.slack_factor, to.slack_factor);
  compare("max-attempts", from.max_attempts, to.max_attempts);
  compare("advice", from.uses_policy_service, to.uses_policy_service);
  return differences;
}

void CheckPattern(const Route& route, Findings& findings) {
  const std::string label = Label(route);
  if (route.host.empty()) {
    findings.Add(kError, label + ": never matches, its host is empty");
  } else if (route.host.find(':') != std::string::npos) {
    findings.Add(kError, label +
                             ": never matches, hosts are compared without "
                             "their port");
  } else if (std::any_of(route.host.begin(), route.host.end(),
                         [](char c) { return c >= 'A' && c <= 'Z'; })) {
    findings.Add(kWarning, label +
                               ": hosts are compared case-sensitively and most "
                               "clients send them in lower case");
  }
  if (route.path_prefix.empty()) {
    findings.Add(kError,
                 label + ": the prefix is empty; \"/\" matches all paths");
  } else if (!route.path_prefix.starts_with('/')) {
    findings.Add(
        kError,
        label + ": never matches, its prefix does not begin with \"/\"");
  } else if (route.path_prefix.find('?') != std::string::npos) {
    findings.Add(kError,
                 label + ": never matches, paths are compared without query");
  } else if (!route.path_prefix.ends_with('/')) {
    findings.Add(kWarning, label +
                               ": jobs cannot be cancelled, since the prefix "
                               "does not end with \"/\"");
  }
}

void CheckLimits(const Route& route, Findings& findings) {
  const std::string label = Label(route);
  if (route.max_attempts == 0) {
    findings.Add(kError, label + ": max-attempts is 0");
  } else if (route.max_attempts > kMaxAttempts) {
    findings.Add(kError, label + ": max-attempts is negative or above " +
                             std::to_string(kMaxAttempts));
  }
  if (route.target_latency < Duration(0)) {
    findings.Add(kError, label + ": target-latency-ms is negative");
  }
  if (route.slack_factor < 0) {
    findings.Add(kError, label + ": slack-factor is negative");
  } else if (route.slack_factor < 1) {
    if (route.target_latency <= Duration(0)) {
      findings.Add(kError, label +
                               ": no job can meet its objective, since "
                               "slack-factor is below 1 and target-latency-ms "
                               "does not make up for it");
    } else {
      // The objective is slack_factor * path + target_latency.
      const double longest = static_cast<double>(route.target_latency.ms()) /
                             (1 - route.slack_factor);
      findings.Add(kWarning,
                   label + ": jobs with a critical path longer than about " +
                       ToText(std::floor(longest)) +
                       " ms cannot meet their objective");
    }
  }
}

/// The route that gets the paths of `route` if it is removed; null if none.
const Route* NextShorter(const RouteTable& table, const Route& route) {
  const Route* next = nullptr;
  for (const Route& other : table.routes) {
    if (other.host != route.host || HasSamePattern(other, route) ||
        !route.path_prefix.starts_with(other.path_prefix)) {
      continue;
    }
    const bool longer =
        next == nullptr || other.path_prefix.size() > next->path_prefix.size();
    if (longer) next = &other;
  }
  return next;
}

void CheckAgainstOthers(const RouteTable& table, std::size_t index,
                        Findings& findings) {
  const Route& route = table.routes[index];
  // RouteTable::Find takes the first of the routes with the longest prefix.
  for (std::size_t i = 0; i < index; ++i) {
    const Route& earlier = table.routes[i];
    if (HasSamePattern(earlier, route)) {
      findings.Add(kError, Label(route) + ": never matches, " + Label(earlier) +
                               " before it has the same host and prefix");
      return;
    }
  }
  const Route* shorter = NextShorter(table, route);
  if (shorter == nullptr) return;
  Route renamed = *shorter;
  renamed.name = route.name;
  if (!Differences(renamed, route).empty()) return;
  findings.Add(kWarning,
               Label(route) + ": redundant, " + Label(*shorter) +
                   (shorter->name == route.name
                        ? " serves its paths in the same way"
                        : " serves its paths in the same way; only the name, "
                          "by which pending jobs are counted and workers "
                          "isolated, differs"));
}

void CheckServices(const RouteManifest& manifest, Findings& findings) {
  if (!manifest.services) {
    findings.Add(kWarning,
                 "the manifest has no list of services; the routes' services "
                 "are not checked");
    return;
  }
  const std::set<ServiceName> known(manifest.services->begin(),
                                    manifest.services->end());
  for (const Route& route : manifest.table.routes) {
    if (known.contains(route.service)) continue;
    findings.Add(kError, Label(route) + ": the manifest names no service '" +
                             route.service.value() + "'");
  }
}

void CompareServices(const std::vector<ServiceName>& from,
                     const std::vector<ServiceName>& to, Findings& findings) {
  const std::set<ServiceName> before(from.begin(), from.end());
  const std::set<ServiceName> after(to.begin(), to.end());
  for (const ServiceName& name : after) {
    if (before.contains(name)) continue;
    findings.Add(kChange, "service '" + name.value() + "': added");
  }
  for (const ServiceName& name : before) {
    if (after.contains(name)) continue;
    findings.Add(kChange, "service '" + name.value() + "': removed");
  }
}

const Route* FindPattern(const RouteTable& table, const Route& pattern) {
  const auto found = std::find_if(
      table.routes.begin(), table.routes.end(),
      [&](const Route& route) { return HasSamePattern(route, pattern); });
  return found == table.routes.end() ? nullptr : &*found;
}

void CompareRoutes(const RouteTable& from, const RouteTable& to,
                   Findings& findings) {
  for (const Route& route : to.routes) {
    if (FindPattern(to, route) != &route) continue;
    const Route* before = FindPattern(from, route);
    if (before == nullptr) {
      findings.Add(kChange, Label(route) + ": added");
      continue;
    }
    for (const std::string& difference : Differences(*before, route)) {
      findings.Add(kChange, Label(route) + ": " + difference);
    }
  }
  for (const Route& route : from.routes) {
    if (FindPattern(from, route) != &route) continue;
    if (FindPattern(to, route) == nullptr) {
      findings.Add(kChange, Label(route) + ": removed");
    }
  }
}

void Compare(const RouteManifest& from, const RouteManifest& to,
             Findings& findings) {
  if (!from.invalid_fields.empty()) {
    findings.Add(kError,
                 "not compared: the manifest in force has missing or "
                 "invalid fields: " +
                     from.invalid_fields.front());
    return;
  }
  const RouteTable& before = from.table;
  const RouteTable& after = to.table;
  if (after.version <= before.version) {
    findings.Add(kError, "version " + std::to_string(after.version) +
                             " is not above the one in force, " +
                             std::to_string(before.version));
  } else {
    findings.Add(kChange, "version " + std::to_string(before.version) + " -> " +
                              std::to_string(after.version));
  }
  CompareRoutes(before, after, findings);
  if (from.services || to.services) {
    const std::vector<ServiceName> none;
    CompareServices(from.services.value_or(none), to.services.value_or(none),
                    findings);
  }
  if (before.max_body_bytes != after.max_body_bytes) {
    findings.Add(kChange, "limits: max-body-bytes " +
                              std::to_string(before.max_body_bytes) + " -> " +
                              std::to_string(after.max_body_bytes));
  }
}

}  // namespace

std::string_view Name(FindingSeverity severity) {
  switch (severity) {
    case FindingSeverity::kError:
      return "error";
    case FindingSeverity::kWarning:
      return "warning";
    case FindingSeverity::kChange:
      return "change";
  }
  return "error";
}

bool HasErrors(const std::vector<RouteFinding>& findings) {
  return std::any_of(
      findings.begin(), findings.end(),
      [](const RouteFinding& finding) { return finding.severity == kError; });
}

std::vector<RouteFinding> RouteTableCheck::Run(
    const RouteManifest& manifest, const RouteManifest* in_force) const {
  Findings findings;
  const RouteTable& table = manifest.table;
  for (const std::string& field : manifest.invalid_fields) {
    findings.Add(kError, "missing or invalid: " + field +
                             "; entries ignore the manifest");
  }
  for (const std::string& field : manifest.defaulted_fields) {
    findings.Add(kError, "invalid: " + field + "; entries use the default");
  }
  for (std::size_t i = 0; i < table.routes.size(); ++i) {
    CheckPattern(table.routes[i], findings);
    CheckLimits(table.routes[i], findings);
    CheckAgainstOthers(table, i, findings);
  }
  CheckServices(manifest, findings);
  if (table.max_body_bytes < bounds_.smallest_job) {
    findings.Add(kError, "limits: max-body-bytes " +
                             std::to_string(table.max_body_bytes) +
                             " is below the smallest valid job, " +
                             std::to_string(bounds_.smallest_job) + " bytes");
  } else if (table.max_body_bytes > bounds_.hard_limit) {
    findings.Add(kError, "limits: max-body-bytes " +
                             std::to_string(table.max_body_bytes) +
                             " is above the server's limit, " +
                             std::to_string(bounds_.hard_limit) + " bytes");
  }
  // A partly read manifest would show changes that were not made.
  if (!manifest.invalid_fields.empty()) return findings.TakeSorted();
  if (table.version == 0 || table.version > kMaxVersion) {
    findings.Add(kError,
                 "version is below 1 or above " + std::to_string(kMaxVersion));
  } else if (in_force != nullptr) {
    Compare(*in_force, manifest, findings);
  }
  return findings.TakeSorted();
}

}  // namespace geranium
