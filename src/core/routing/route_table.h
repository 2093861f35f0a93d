#ifndef TOUCANDOCK_CORE_ROUTING_ROUTE_TABLE_H_
#define TOUCANDOCK_CORE_ROUTING_ROUTE_TABLE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "core/time.h"

namespace toucandock::core::routing {

struct WeightedService {
  std::string service;
  double weight = 1.0;

  bool operator==(const WeightedService&) const = default;
};

// Whether the requests of a route may be repeated.
enum class RouteKind {
  // May run more than once.
  kSafe,
  // May run at most once for each attempt of the caller.
  kUnsafe,
  // As kUnsafe, with large bodies.
  kUpload,
  // As kSafe, with large responses.
  kDownload,
  // A kind that this version does not know. Treated as kUnsafe, which is the
  // most restrictive kind.
  kUnknown,
};

// Applies to requests for one host whose path starts with `path_prefix`.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::vector<WeightedService> services;
  RouteKind kind = RouteKind::kUnsafe;
  // Maximum time from the arrival of a request to its response.
  Duration timeout = std::chrono::seconds(10);
  // A response within this time is of full value to the caller.
  Duration latency_goal = std::chrono::seconds(1);
  int max_attempts = 1;
  // 0 is the most urgent.
  int priority = 0;

  bool IsIdempotent() const {
    return kind == RouteKind::kSafe || kind == RouteKind::kDownload;
  }
  bool operator==(const Route&) const = default;
};

// What the targets of a service bear while they are cold.
struct ColdLimit {
  // Time for which a target stays cold after its start.
  Duration warm_up{};
  // Requests a second that one cold target may receive from all hosts together.
  // Zero: none.
  double requests_per_second = 0;

  bool operator==(const ColdLimit&) const = default;
};

struct RoutedService {
  std::string name;
  // Maximum number of connections to a target, for all its callers together.
  std::uint32_t max_connections = 100;
  bool keyed = false;
  // Path at which targets report their health; empty if not known.
  std::string health_path;
  // Cold targets of services without it receive any number of requests.
  std::optional<ColdLimit> cold_limit;

  bool operator==(const RoutedService&) const = default;
};

// Bounds on what a caller may send and how long it may stay idle.
struct CallerLimits {
  std::uint32_t header_bytes = 16'384;
  std::uint32_t body_bytes = 1 << 20;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);

  bool operator==(const CallerLimits&) const = default;
};

struct RouteConfig {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<RoutedService> services;
  CallerLimits limits;
  // Words that this version does not know, with the route that has them. They
  // affect no other route.
  std::vector<std::string> unknown_words;
};

// Index of one accepted configuration; immutable once built.
class RouteTable {
 public:
  explicit RouteTable(RouteConfig config);

  const Route* Find(absl::string_view host, absl::string_view path) const;
  const RoutedService* FindService(absl::string_view name) const;
  const RouteConfig& config() const { return config_; }

 private:
  const RouteConfig config_;
  // Keyed by host, then by path prefix; the values are indexes into
  // `config_.routes`.
  absl::flat_hash_map<std::string, absl::flat_hash_map<std::string, size_t>>
      hosts_;
  absl::flat_hash_map<std::string, size_t> services_;
};

// Distributes the requests of a route over its services in proportion to their
// weights. Uses smooth weighted round robin, which keeps the proportions over
// short periods as well.
class WeightedRotation {
 public:
  const std::string& Next(const std::vector<WeightedService>& services);

 private:
  // The services to which the credits belong.
  std::vector<WeightedService> services_;
  std::vector<double> credit_;
};

}  // namespace toucandock::core::routing

#endif  // TOUCANDOCK_CORE_ROUTING_ROUTE_TABLE_H_
