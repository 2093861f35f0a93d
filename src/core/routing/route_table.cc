#include "core/routing/route_table.h"

#include <utility>

namespace toucandock::core::routing {

RouteTable::RouteTable(RouteConfig config) : config_(std::move(config)) {
  for (size_t i = 0; i < config_.routes.size(); ++i) {
    const Route& route = config_.routes[i];
    hosts_[route.host].emplace(route.path_prefix, i);
  }
  for (size_t i = 0; i < config_.services.size(); ++i) {
    services_.emplace(config_.services[i].name, i);
  }
}

// Returns the route of this host with the longest prefix that the path starts
// with, or nullptr if there is none. Prefixes start and end with a slash.
const Route* RouteTable::Find(absl::string_view host,
                              absl::string_view path) const {
  const auto found = hosts_.find(host);
  if (found == hosts_.end()) {
    return nullptr;
  }
  path = path.substr(0, path.find('?'));
  for (size_t n = path.rfind('/'); n != absl::string_view::npos;
       n = n == 0 ? absl::string_view::npos : path.rfind('/', n - 1)) {
    const auto it = found->second.find(path.substr(0, n + 1));
    if (it != found->second.end()) {
      return &config_.routes[it->second];
    }
  }
  return nullptr;
}

const RoutedService* RouteTable::FindService(absl::string_view name) const {
  const auto it = services_.find(name);
  return it == services_.end() ? nullptr : &config_.services[it->second];
}

// `services` must not be empty.
const std::string& WeightedRotation::Next(
    const std::vector<WeightedService>& services) {
  if (services_ != services) {
    services_ = services;
    credit_.assign(services.size(), 0.0);
  }
  double total = 0;
  size_t best = 0;
  for (size_t i = 0; i < services.size(); ++i) {
    credit_[i] += services[i].weight;
    total += services[i].weight;
    if (credit_[i] > credit_[best]) {
      best = i;
    }
  }
  credit_[best] -= total;
  return services[best].service;
}

}  // namespace toucandock::core::routing
