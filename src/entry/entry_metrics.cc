#include "entry/entry_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <utility>

#include "entry/contained_exception.h"
#include "entry/event_log.h"

namespace toucandock::entry {
namespace {

// In seconds. The buckets are narrow below the latency goals of common routes.
const prometheus::Histogram::BucketBoundaries kLatencyBuckets = {
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.6, 0.8, 1.2, 1.5, 2.5, 5, 10};

// In seconds; negative if the request was sent earlier than predicted.
const prometheus::Histogram::BucketBoundaries kErrorBuckets = {
    -1, -0.3, -0.1, -0.03, 0, 0.03, 0.1, 0.3, 1};

// Label values for the rank of a waiting request.
prometheus::Labels RankLabels(const std::string& service,
                              const core::admission::WaitRank& rank) {
  // Priorities beyond this one are shown as one.
  constexpr int kMaxPriority = 9;
  return {
      {"service", service},
      {"priority", std::to_string(std::clamp(rank.priority, 0, kMaxPriority))},
      {"caller", std::string(core::admission::ToString(rank.returned))},
      {"goal", rank.is_late ? "missed" : "met"}};
}

// In seconds. Changes have to be in force after 2 s.
const prometheus::Histogram::BucketBoundaries kLagBuckets = {
    0.01, 0.05, 0.1, 0.25, 0.5, 1, 2, 4};

}  // namespace

EntryMetrics::EntryMetrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      requests_(prometheus::BuildCounter()
                    .Name("toucandock_entry_requests_total")
                    .Help("Requests by service and outcome")
                    .Register(*registry_)),
      latency_(prometheus::BuildHistogram()
                   .Name("toucandock_entry_request_seconds")
                   .Help("Time from the arrival of a request to its answer")
                   .Register(*registry_)),
      rejected_(prometheus::BuildCounter()
                    .Name("toucandock_entry_rejected_requests_total")
                    .Help("Requests that could not be read, by error")
                    .Register(*registry_)),
      undelivered_(prometheus::BuildCounter()
                       .Name("toucandock_entry_undelivered_answers_total")
                       .Help("Answers that callers did not take, by cause")
                       .Register(*registry_)),
      retries_(prometheus::BuildCounter()
                   .Name("toucandock_entry_retries_total")
                   .Help("Requests sent to a further target")
                   .Register(*registry_)),
      failed_attempts_(prometheus::BuildCounter()
                           .Name("toucandock_entry_failed_attempts_total")
                           .Help("Attempts without a usable answer, by cause")
                           .Register(*registry_)),
      refusals_with_free_slots_(
          prometheus::BuildCounter()
              .Name("toucandock_entry_refusals_with_free_slots_total")
              .Help("Refusals of targets that report free slots")
              .Register(*registry_)),
      connections_(prometheus::BuildCounter()
                       .Name("toucandock_entry_target_connections_total")
                       .Help("New connections to targets")
                       .Register(*registry_)),
      waiting_(prometheus::BuildGauge()
                   .Name("toucandock_entry_waiting_requests")
                   .Help("Requests that wait for a target, by rank")
                   .Register(*registry_)),
      waits_(prometheus::BuildCounter()
                 .Name("toucandock_entry_waits_total")
                 .Help("Requests that began to wait for a target, by rank")
                 .Register(*registry_)),
      wait_time_(prometheus::BuildHistogram()
                     .Name("toucandock_entry_wait_seconds")
                     .Help("Time that requests waited before they were sent")
                     .Register(*registry_)),
      predicted_wait_time_(
          prometheus::BuildHistogram()
              .Name("toucandock_entry_predicted_wait_seconds")
              .Help("Predicted time that these requests would wait")
              .Register(*registry_)),
      wait_error_(
          prometheus::BuildHistogram()
              .Name("toucandock_entry_wait_error_seconds")
              .Help("Actual time that requests waited, less the predicted one")
              .Register(*registry_)),
      wait_refusals_(
          prometheus::BuildCounter()
              .Name("toucandock_entry_wait_refusals_total")
              .Help("Requests refused by the waiting list, by reason")
              .Register(*registry_)),
      returns_(
          prometheus::BuildCounter()
              .Name("toucandock_entry_returns_total")
              .Help("Requests of callers that had been told when to come back")
              .Register(*registry_)),
      target_crashes_(
          prometheus::BuildCounter()
              .Name("toucandock_entry_crashed_attempts_total")
              .Help("Requests that targets ran when they ended, by evidence")
              .Register(*registry_)),
      target_notices_(
          prometheus::BuildCounter()
              .Name("toucandock_entry_target_notices_total")
              .Help("Declarations of targets that they leave or pause, and "
                    "those that could not be applied as they were")
              .Register(*registry_)),
      ended_pauses_(prometheus::BuildCounter()
                        .Name("toucandock_entry_ended_pauses_total")
                        .Help("Ends of pauses that targets asked for")
                        .Register(*registry_)
                        .Add({})),
      unavailable_target_requests_(
          prometheus::BuildCounter()
              .Name("toucandock_entry_unavailable_target_requests_total")
              .Help("Requests that did not go to a target because it leaves or "
                    "pauses, by what was done instead")
              .Register(*registry_)),
      poison_(prometheus::BuildGauge()
                  .Name("toucandock_entry_poison")
                  .Help("Fingerprints of requests that were in flight when "
                        "targets ended, and reports about them")
                  .Register(*registry_)),
      evacuated_domains_(prometheus::BuildGauge()
                             .Name("toucandock_entry_evacuated_domains")
                             .Help("Failure domains that are evacuated")
                             .Register(*registry_)
                             .Add({})),
      evacuated_owners_(
          prometheus::BuildGauge()
              .Name("toucandock_entry_evacuated_owners")
              .Help("Targets in evacuated failure domains that own keys")
              .Register(*registry_)
              .Add({})),
      permits_(prometheus::BuildGauge()
                   .Name("toucandock_entry_permits")
                   .Help("Permits for requests to cold targets since the start")
                   .Register(*registry_)),
      cold_requests_(prometheus::BuildCounter()
                         .Name("toucandock_entry_cold_requests_total")
                         .Help("Requests to cold targets, with a permit")
                         .Register(*registry_)),
      health_requests_(
          prometheus::BuildCounter()
              .Name("toucandock_entry_health_requests_total")
              .Help("Health requests to targets that were unreachable")
              .Register(*registry_)),
      limited_requests_(
          prometheus::BuildCounter()
              .Name("toucandock_entry_limited_key_requests_total")
              .Help("Requests for keys that are asked for more than their "
                    "owners can serve")
              .Register(*registry_)),
      full_targets_(prometheus::BuildCounter()
                        .Name("toucandock_entry_full_targets_total")
                        .Help("Targets that were found full because they did "
                              "not answer")
                        .Register(*registry_)),
      limited_ranges_(prometheus::BuildGauge()
                          .Name("toucandock_entry_limited_key_ranges")
                          .Help("Key ranges of which only a part of the "
                                "requests is admitted")
                          .Register(*registry_)
                          .Add({})),
      store_era_(prometheus::BuildGauge()
                     .Name("toucandock_entry_store_era")
                     .Help("Times that the store came back from a copy")
                     .Register(*registry_)
                     .Add({})),
      odd_store_eras_(
          prometheus::BuildGauge()
              .Name("toucandock_entry_odd_store_eras")
              .Help("Responses of the store whose era could not be used")
              .Register(*registry_)
              .Add({})),
      thread_lag_(prometheus::BuildHistogram()
                      .Name("toucandock_entry_thread_lag_seconds")
                      .Help("How late timers of the traffic thread ran")
                      .Register(*registry_)
                      .Add({}, kLagBuckets)),
      view_delay_(prometheus::BuildHistogram()
                      .Name("toucandock_entry_view_delay_seconds")
                      .Help("Time until the traffic thread used the data that "
                            "the control thread had published")
                      .Register(*registry_)
                      .Add({}, kLagBuckets)),
      running_(prometheus::BuildGauge()
                   .Name("toucandock_entry_running_requests")
                   .Help("Requests that have no answer yet")
                   .Register(*registry_)
                   .Add({})),
      config_version_(prometheus::BuildGauge()
                          .Name("toucandock_entry_config_version")
                          .Help("Version of the configuration in force")
                          .Register(*registry_)
                          .Add({})),
      unknown_words_(prometheus::BuildGauge()
                         .Name("toucandock_entry_config_unknown_words")
                         .Help("Words of the configuration in force that this "
                               "version does not know")
                         .Register(*registry_)
                         .Add({})),
      dropped_lines_(prometheus::BuildGauge()
                         .Name("toucandock_entry_dropped_log_lines")
                         .Help("Log lines left out since the start")
                         .Register(*registry_)
                         .Add({})),
      contained_exceptions_(
          prometheus::BuildGauge()
              .Name("toucandock_entry_contained_exceptions")
              .Help("Exceptions since the start that ended one request, record "
                    "or message")
              .Register(*registry_)
              .Add({})) {}

EntryMetrics::~EntryMetrics() = default;

void EntryMetrics::CountRequest(const std::string& service,
                                core::ErrorKind error,
                                core::Duration latency) {
  requests_
      .Add({{"service", service},
            {"outcome", std::string(core::ToString(error))}})
      .Increment();
  latency_.Add({{"service", service}}, kLatencyBuckets)
      .Observe(std::chrono::duration<double>(latency).count());
}

void EntryMetrics::CountRejected(core::ErrorKind error) {
  rejected_.Add({{"error", std::string(core::ToString(error))}}).Increment();
}

void EntryMetrics::CountUndelivered(absl::string_view cause) {
  undelivered_.Add({{"cause", std::string(cause)}}).Increment();
}

void EntryMetrics::CountRetry(const std::string& service) {
  retries_.Add({{"service", service}}).Increment();
}

void EntryMetrics::CountFailedAttempt(const std::string& service,
                                      absl::string_view cause) {
  failed_attempts_.Add({{"service", service}, {"cause", std::string(cause)}})
      .Increment();
}

void EntryMetrics::CountRefusalWithFreeSlots(const std::string& service) {
  refusals_with_free_slots_.Add({{"service", service}}).Increment();
}

void EntryMetrics::CountTargetCrash(const std::string& service,
                                    absl::string_view evidence) {
  target_crashes_
      .Add({{"service", service}, {"evidence", std::string(evidence)}})
      .Increment();
}

void EntryMetrics::CountTargetNotice(const std::string& service,
                                     absl::string_view notice) {
  target_notices_.Add({{"service", service}, {"notice", std::string(notice)}})
      .Increment();
}

void EntryMetrics::CountEndedPause() {
  ended_pauses_.Increment();
}

void EntryMetrics::CountUnavailableTarget(const std::string& service,
                                          absl::string_view cause,
                                          absl::string_view action) {
  unavailable_target_requests_
      .Add({{"service", service},
            {"cause", std::string(cause)},
            {"action", std::string(action)}})
      .Increment();
}

void EntryMetrics::SetPoison(const PoisonView& poison) {
  const std::pair<const char*, double> values[] = {
      {"suspected", static_cast<double>(poison.suspected.size())},
      {"refused", static_cast<double>(poison.refused.size())},
      {"reports_sent", static_cast<double>(poison.reports_sent)},
      {"reports_received", static_cast<double>(poison.reports_received)}};
  for (const auto& [name, value] : values) {
    poison_.Add({{"what", name}}).Set(value);
  }
}

void EntryMetrics::SetEvacuations(size_t domains, size_t owners) {
  evacuated_domains_.Set(static_cast<double>(domains));
  evacuated_owners_.Set(static_cast<double>(owners));
}

void EntryMetrics::SetPermits(const core::warmup::PermitCounts& permits) {
  const std::pair<const char*, std::uint64_t> values[] = {
      {"asked", permits.asked},
      {"issued", permits.issued},
      {"refused", permits.refused},
      {"expired", permits.expired}};
  for (const auto& [name, value] : values) {
    permits_.Add({{"what", name}}).Set(static_cast<double>(value));
  }
}

void EntryMetrics::CountColdRequest(const std::string& service) {
  cold_requests_.Add({{"service", service}}).Increment();
}

void EntryMetrics::CountHealthRequest(bool is_usable) {
  health_requests_.Add({{"result", is_usable ? "usable" : "unusable"}})
      .Increment();
}

void EntryMetrics::CountLimitedRequest(const std::string& service,
                                       bool is_admitted) {
  limited_requests_
      .Add({{"service", service},
            {"decision", is_admitted ? "admitted" : "refused"}})
      .Increment();
}

void EntryMetrics::CountFullTarget(const std::string& service) {
  full_targets_.Add({{"service", service}}).Increment();
}

void EntryMetrics::SetLimitedRanges(size_t ranges) {
  limited_ranges_.Set(static_cast<double>(ranges));
}

void EntryMetrics::SetStoreEra(core::Era era, std::uint64_t odd_eras) {
  store_era_.Set(static_cast<double>(era));
  odd_store_eras_.Set(static_cast<double>(odd_eras));
}

void EntryMetrics::CountConnection(const std::string& service) {
  connections_.Add({{"service", service}}).Increment();
}

void EntryMetrics::AddWaiting(const std::string& service,
                              const core::admission::WaitRank& rank,
                              int change) {
  const prometheus::Labels labels = RankLabels(service, rank);
  waiting_.Add(labels).Increment(change);
  if (change > 0) {
    waits_.Add(labels).Increment();
  }
}

void EntryMetrics::ObserveWait(const std::string& service,
                               core::Duration predicted,
                               core::Duration actual) {
  const prometheus::Labels labels = {{"service", service}};
  wait_time_.Add(labels, kLatencyBuckets)
      .Observe(core::FloatSeconds(actual).count());
  predicted_wait_time_.Add(labels, kLatencyBuckets)
      .Observe(core::FloatSeconds(predicted).count());
  wait_error_.Add(labels, kErrorBuckets)
      .Observe(core::FloatSeconds(actual - predicted).count());
}

void EntryMetrics::CountWaitRefusal(const std::string& service,
                                    core::admission::WaitRefusal reason) {
  wait_refusals_
      .Add({{"service", service},
            {"reason", std::string(core::admission::ToString(reason))}})
      .Increment();
}

void EntryMetrics::CountReturn(const std::string& service,
                               core::admission::Return returned) {
  if (returned == core::admission::Return::kNew) {
    return;
  }
  returns_
      .Add({{"service", service},
            {"when", std::string(core::admission::ToString(returned))}})
      .Increment();
}

void EntryMetrics::ObserveThreadLag(core::Duration lag) {
  thread_lag_.Observe(std::chrono::duration<double>(lag).count());
}

void EntryMetrics::ObserveViewDelay(core::Duration delay) {
  view_delay_.Observe(std::chrono::duration<double>(delay).count());
}

void EntryMetrics::SetRunning(size_t requests) {
  running_.Set(static_cast<double>(requests));
}

void EntryMetrics::SetConfig(const core::routing::RouteConfig& config) {
  config_version_.Set(static_cast<double>(config.version));
  unknown_words_.Set(static_cast<double>(config.unknown_words.size()));
}

std::string EntryMetrics::Text() const {
  dropped_lines_.Set(static_cast<double>(DroppedLogLines()));
  contained_exceptions_.Set(static_cast<double>(ContainedExceptions()));
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}  // namespace toucandock::entry
