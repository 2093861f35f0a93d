#ifndef TOUCANDOCK_ENTRY_ENTRY_METRICS_H_
#define TOUCANDOCK_ENTRY_ENTRY_METRICS_H_

#include <memory>
#include <string>

#include "absl/strings/string_view.h"
#include "core/admission/return_times.h"
#include "core/admission/waiting_list.h"
#include "core/error_kind.h"
#include "core/time.h"
#include "core/warmup/permit_pool.h"
#include "entry/routing_view.h"

namespace prometheus {
class Registry;
template <typename T>
class Family;
class Counter;
class Gauge;
class Histogram;
}  // namespace prometheus

namespace toucandock::entry {

// Counters and histograms of the traffic thread in Prometheus' text format.
class EntryMetrics {
 public:
  EntryMetrics();
  ~EntryMetrics();

  // `error` is kNone if a target's response was returned.
  void CountRequest(const std::string& service,
                    core::ErrorKind error,
                    core::Duration latency);
  // Counts a request that could not be read, so that its service is unknown.
  void CountRejected(core::ErrorKind error);
  // Counts an answer that was ready and that its caller did not take in whole.
  void CountUndelivered(absl::string_view cause);
  void CountRetry(const std::string& service);
  // `cause` says why an attempt at a target returned no usable response.
  void CountFailedAttempt(const std::string& service, absl::string_view cause);
  // Counts a target's refusal of a request although it reports free slots.
  void CountRefusalWithFreeSlots(const std::string& service);
  // `evidence` names the sign from which it was concluded that a target had
  // ended.
  void CountTargetCrash(const std::string& service, absl::string_view evidence);
  // `notice` names what a target declared, or why that could not be applied.
  void CountTargetNotice(const std::string& service, absl::string_view notice);
  void CountEndedPause();
  // `cause` says why a target received no request, `action` what was done with
  // the request instead.
  void CountUnavailableTarget(const std::string& service,
                              absl::string_view cause,
                              absl::string_view action);
  // Sets the number of requests that were in flight when targets ended, of
  // those that are refused, and of the reports about them that were sent to and
  // received from other hosts since the start.
  void SetPoison(const PoisonView& poison);
  // Sets the number of evacuated failure domains and of the targets in them
  // that still own keys.
  void SetEvacuations(size_t domains, size_t owners);
  // Sets the numbers of permits for cold targets since the start.
  void SetPermits(const core::warmup::PermitCounts& permits);
  // Counts a request that was chosen for a cold target, with a permit.
  void CountColdRequest(const std::string& service);
  // `is_usable`: the response said how long the target remains cold.
  void CountHealthRequest(bool is_usable);
  // Counts a request for a key of which only a part of the requests can be
  // served.
  void CountLimitedRequest(const std::string& service, bool is_admitted);
  // Counts targets that were found full because they did not answer.
  void CountFullTarget(const std::string& service);
  // Sets the number of key ranges that are limited.
  void SetLimitedRanges(size_t ranges);
  // Sets the store's era and the number of responses whose era was odd.
  void SetStoreEra(core::Era era, std::uint64_t odd_eras);
  void CountConnection(const std::string& service);
  // Adds to the number of waiting requests of this rank.
  void AddWaiting(const std::string& service,
                  const core::admission::WaitRank& rank,
                  int change);
  // A request that waited was sent.
  void ObserveWait(const std::string& service,
                   core::Duration predicted,
                   core::Duration actual);
  void CountWaitRefusal(const std::string& service,
                        core::admission::WaitRefusal reason);
  // Counts requests whose caller had been told to come back.
  void CountReturn(const std::string& service,
                   core::admission::Return returned);
  void SetRunning(size_t requests);
  // How late a timer of the traffic thread ran.
  void ObserveThreadLag(core::Duration lag);
  // How long a view of the control thread waited for the traffic thread.
  void ObserveViewDelay(core::Duration delay);
  void SetConfig(const core::routing::RouteConfig& config);

  std::string Text() const;

 private:
  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Histogram>& latency_;
  prometheus::Family<prometheus::Counter>& rejected_;
  prometheus::Family<prometheus::Counter>& undelivered_;
  prometheus::Family<prometheus::Counter>& retries_;
  prometheus::Family<prometheus::Counter>& failed_attempts_;
  prometheus::Family<prometheus::Counter>& refusals_with_free_slots_;
  prometheus::Family<prometheus::Counter>& connections_;
  prometheus::Family<prometheus::Gauge>& waiting_;
  prometheus::Family<prometheus::Counter>& waits_;
  prometheus::Family<prometheus::Histogram>& wait_time_;
  prometheus::Family<prometheus::Histogram>& predicted_wait_time_;
  prometheus::Family<prometheus::Histogram>& wait_error_;
  prometheus::Family<prometheus::Counter>& wait_refusals_;
  prometheus::Family<prometheus::Counter>& returns_;
  prometheus::Family<prometheus::Counter>& target_crashes_;
  prometheus::Family<prometheus::Counter>& target_notices_;
  prometheus::Counter& ended_pauses_;
  prometheus::Family<prometheus::Counter>& unavailable_target_requests_;
  prometheus::Family<prometheus::Gauge>& poison_;
  prometheus::Gauge& evacuated_domains_;
  prometheus::Gauge& evacuated_owners_;
  prometheus::Family<prometheus::Gauge>& permits_;
  prometheus::Family<prometheus::Counter>& cold_requests_;
  prometheus::Family<prometheus::Counter>& health_requests_;
  prometheus::Family<prometheus::Counter>& limited_requests_;
  prometheus::Family<prometheus::Counter>& full_targets_;
  prometheus::Gauge& limited_ranges_;
  prometheus::Gauge& store_era_;
  prometheus::Gauge& odd_store_eras_;
  prometheus::Histogram& thread_lag_;
  prometheus::Histogram& view_delay_;
  prometheus::Gauge& running_;
  prometheus::Gauge& config_version_;
  prometheus::Gauge& unknown_words_;
  prometheus::Gauge& dropped_lines_;
  prometheus::Gauge& contained_exceptions_;
};

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_ENTRY_METRICS_H_
