#ifndef GERANIUM_CONTRACT_ROUTE_TABLE_H_
#define GERANIUM_CONTRACT_ROUTE_TABLE_H_

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace geranium {

constexpr int kMostUrgentPriority = 0;

/// The service and scheduling parameters for jobs of a host and path prefix.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;
  ServiceName service;
  int priority = 0;  ///< `kMostUrgentPriority` comes first.
  /// Response-time objective: slack_factor times the estimated critical path,
  /// plus this.
  Duration target_latency;
  double slack_factor = 1.0;
  std::uint32_t max_attempts = 1;  ///< Failed runs until a task fails.
  /// Workers are chosen by a policy service.
  bool uses_policy_service = false;

  template <class A>
  void Fields(A& a) {
    a(name)(host)(
        path_prefix)(service)(priority)(target_latency)(slack_factor)(max_attempts)(uses_policy_service);
  }
};

/// The operator's routes and the data centres out of service, as of one offset
/// of the operator's log.
struct RouteTable {
  LogOffset offset;           ///< One past the newest record applied.
  std::uint64_t version = 0;  ///< Set by the operator; 0: none published.
  std::vector<Route> routes;
  std::vector<DataCentreName> data_centres_out;
  std::int64_t max_body_bytes = 262'144;

  /// The route of `host` with the longest prefix of `path`; null if none.
  const Route* Find(std::string_view host, std::string_view path) const;
  bool IsOutOfService(const DataCentreName& name) const;

  template <class A>
  void Fields(A& a) {
    a(offset)(version)(routes)(data_centres_out)(max_body_bytes);
  }
};

}  // namespace geranium

#endif  // GERANIUM_CONTRACT_ROUTE_TABLE_H_
