#ifndef TOUCANDOCK_ENTRY_ENTRY_METRICS_H_
#define TOUCANDOCK_ENTRY_ENTRY_METRICS_H_

#include <memory>
#include <string>

#include "absl/strings/string_view.h"
#include "core/error_kind.h"
#include "core/time.h"
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
  // Sets the store's era and the number of responses whose era was odd.
  void SetStoreEra(core::Era era, std::uint64_t odd_eras);
  void CountConnection(const std::string& service);
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
  prometheus::Family<prometheus::Counter>& connections_;
  prometheus::Family<prometheus::Counter>& target_crashes_;
  prometheus::Family<prometheus::Counter>& target_notices_;
  prometheus::Counter& ended_pauses_;
  prometheus::Family<prometheus::Counter>& unavailable_target_requests_;
  prometheus::Family<prometheus::Gauge>& poison_;
  prometheus::Gauge& evacuated_domains_;
  prometheus::Gauge& evacuated_owners_;
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
