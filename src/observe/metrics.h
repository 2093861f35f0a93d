#ifndef TOUCANDOCK_OBSERVE_METRICS_H_
#define TOUCANDOCK_OBSERVE_METRICS_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "core/error_kind.h"

namespace prometheus {
class Registry;
template <typename T>
class Family;
class Counter;
class Gauge;
class Histogram;
}  // namespace prometheus

namespace toucandock::observe {

struct RequestLabels {
  std::string service;
  std::string request_class;
  std::string tenant;
};

// Counters, gauges and histograms of one daemon, in the Prometheus text format.
// Thread-safe.
class Metrics {
 public:
  Metrics();
  ~Metrics();

  void CountRequest(const RequestLabels& labels,
                    core::ErrorKind error,
                    core::Outcome outcome,
                    std::chrono::nanoseconds latency);
  void CountRetry(const std::string& service);
  void CountQueueTime(const RequestLabels& labels,
                      std::chrono::nanoseconds waited);
  void CountShed(const RequestLabels& labels);
  // `with` is one of peer, log, target, host-list.
  void CountControlBytes(const std::string& with,
                         std::uint64_t sent,
                         std::uint64_t received);
  void CountOwnerChange(const std::string& service);
  void AddWithoutOwner(const std::string& service,
                       std::chrono::nanoseconds unit_time);
  void AddWithoutLease(std::chrono::nanoseconds time);
  void SetConfigVersion(std::uint64_t version);
  void SetHasLease(bool has_lease);

  std::string Text() const;

 private:
  std::string BoundedTenant(const std::string& tenant);

  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Histogram>& latency_;
  prometheus::Family<prometheus::Histogram>& tenant_latency_;
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Counter>& retries_;
  prometheus::Family<prometheus::Histogram>& queue_time_;
  prometheus::Family<prometheus::Counter>& shed_;
  prometheus::Family<prometheus::Counter>& control_bytes_;
  prometheus::Family<prometheus::Counter>& owner_changes_;
  prometheus::Family<prometheus::Counter>& without_owner_;
  prometheus::Counter& without_lease_;
  prometheus::Gauge& config_version_;
  prometheus::Gauge& has_lease_;
  std::mutex mutex_;
  std::set<std::string> tenants_;
};

}  // namespace toucandock::observe

#endif  // TOUCANDOCK_OBSERVE_METRICS_H_
