#include "observe/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace toucandock::observe {
namespace {

// Callers choose the tenant name, so the number of label values is limited.
// Further tenants are counted under one common label value.
constexpr size_t kMaxTenants = 64;

// Upper bounds in seconds, with the finest resolution at the latencies of short
// requests.
const prometheus::Histogram::BucketBoundaries& LatencyBuckets() {
  static const prometheus::Histogram::BucketBoundaries kBuckets = {
      0.001, 0.002, 0.004, 0.008, 0.013, 0.025, 0.05,
      0.1,   0.25,  0.5,   1,     2.5,   5,     10};
  return kBuckets;
}

template <typename Builder>
auto& Build(prometheus::Registry& registry,
            Builder builder,
            const char* name,
            const char* help) {
  return builder.Name(name).Help(help).Register(registry);
}

}  // namespace

Metrics::Metrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      latency_(Build(*registry_,
                     prometheus::BuildHistogram(),
                     "toucandock_request_seconds",
                     "Time from receipt of a request to its answer")),
      tenant_latency_(Build(*registry_,
                            prometheus::BuildHistogram(),
                            "toucandock_tenant_request_seconds",
                            "Time to answer, for each tenant")),
      requests_(Build(*registry_,
                      prometheus::BuildCounter(),
                      "toucandock_requests_total",
                      "Answered requests by error kind and outcome")),
      retries_(Build(*registry_,
                     prometheus::BuildCounter(),
                     "toucandock_retries_total",
                     "Attempts after the first")),
      queue_time_(Build(*registry_,
                        prometheus::BuildHistogram(),
                        "toucandock_queue_seconds",
                        "Time that requests waited for a slot of a target")),
      shed_(Build(*registry_,
                  prometheus::BuildCounter(),
                  "toucandock_shed_total",
                  "Requests that were shed before they were sent")),
      control_bytes_(Build(*registry_,
                           prometheus::BuildCounter(),
                           "toucandock_control_bytes_total",
                           "Bytes of control messages sent and received")),
      owner_changes_(Build(*registry_,
                           prometheus::BuildCounter(),
                           "toucandock_owner_changes_total",
                           "Units whose owner changed, seen by the leader")),
      without_owner_(
          Build(*registry_,
                prometheus::BuildCounter(),
                "toucandock_without_owner_seconds_total",
                "Time without an owner, summed over the units of a service")),
      without_lease_(Build(*registry_,
                           prometheus::BuildCounter(),
                           "toucandock_without_lease_seconds_total",
                           "Time in which this host had no serving lease")
                         .Add({})),
      config_version_(Build(*registry_,
                            prometheus::BuildGauge(),
                            "toucandock_config_version",
                            "Configuration version in force on this host")
                          .Add({})),
      has_lease_(Build(*registry_,
                       prometheus::BuildGauge(),
                       "toucandock_has_lease",
                       "1 while this host may send to owners of keys")
                     .Add({})) {}

Metrics::~Metrics() = default;

void Metrics::CountRequest(const RequestLabels& labels,
                           core::ErrorKind error,
                           core::Outcome outcome,
                           std::chrono::nanoseconds latency) {
  const double seconds = std::chrono::duration<double>(latency).count();
  latency_
      .Add({{"service", labels.service}, {"class", labels.request_class}},
           LatencyBuckets())
      .Observe(seconds);
  tenant_latency_
      .Add({{"tenant", BoundedTenant(labels.tenant)}}, LatencyBuckets())
      .Observe(seconds);
  requests_
      .Add({{"service", labels.service},
            {"error", std::string(core::ToString(error))},
            {"outcome", std::string(core::ToString(outcome))}})
      .Increment();
}

void Metrics::CountRetry(const std::string& service) {
  retries_.Add({{"service", service}}).Increment();
}

void Metrics::CountQueueTime(const RequestLabels& labels,
                             std::chrono::nanoseconds waited) {
  queue_time_
      .Add({{"service", labels.service}, {"class", labels.request_class}},
           LatencyBuckets())
      .Observe(std::chrono::duration<double>(waited).count());
}

void Metrics::CountShed(const RequestLabels& labels) {
  shed_.Add({{"service", labels.service}, {"class", labels.request_class}})
      .Increment();
}

void Metrics::CountControlBytes(const std::string& with,
                                std::uint64_t sent,
                                std::uint64_t received) {
  control_bytes_.Add({{"with", with}, {"direction", "sent"}})
      .Increment(static_cast<double>(sent));
  control_bytes_.Add({{"with", with}, {"direction", "received"}})
      .Increment(static_cast<double>(received));
}

void Metrics::CountOwnerChange(const std::string& service) {
  owner_changes_.Add({{"service", service}}).Increment();
}

void Metrics::AddWithoutOwner(const std::string& service,
                              std::chrono::nanoseconds unit_time) {
  without_owner_.Add({{"service", service}})
      .Increment(std::chrono::duration<double>(unit_time).count());
}

void Metrics::AddWithoutLease(std::chrono::nanoseconds time) {
  without_lease_.Increment(std::chrono::duration<double>(time).count());
}

void Metrics::SetConfigVersion(std::uint64_t version) {
  config_version_.Set(static_cast<double>(version));
}

void Metrics::SetHasLease(bool has_lease) {
  has_lease_.Set(has_lease ? 1 : 0);
}

std::string Metrics::Text() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

std::string Metrics::BoundedTenant(const std::string& tenant) {
  if (tenant.empty()) {
    return "none";
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  if (tenants_.size() < kMaxTenants) {
    tenants_.insert(tenant);
  }
  return tenants_.contains(tenant) ? tenant : "other";
}

}  // namespace toucandock::observe
