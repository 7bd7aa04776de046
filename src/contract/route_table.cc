#include "contract/route_table.h"

#include <algorithm>

namespace geranium {

const Route* RouteTable::Find(std::string_view host,
                              std::string_view path) const {
  const Route* best = nullptr;
  for (const Route& route : routes) {
    if (route.host != host || !path.starts_with(route.path_prefix)) continue;
    const bool longer =
        best == nullptr || route.path_prefix.size() > best->path_prefix.size();
    if (longer) best = &route;
  }
  return best;
}

bool RouteTable::IsOutOfService(const DataCentreName& name) const {
  return std::find(data_centres_out.begin(), data_centres_out.end(), name) !=
         data_centres_out.end();
}

}  // namespace geranium
