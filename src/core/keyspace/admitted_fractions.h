#ifndef TOUCANDOCK_CORE_KEYSPACE_ADMITTED_FRACTIONS_H_
#define TOUCANDOCK_CORE_KEYSPACE_ADMITTED_FRACTIONS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/keyspace/key_samples.h"
#include "core/keyspace/ownership.h"
#include "core/time.h"

namespace toucandock::core::keyspace {

// Requests for these keys are asked for more than their owner can serve.
struct AdmittedRange {
  KeyRange keys;
  // Fraction of the requests that hosts admit, from 0 to 1.
  double fraction = 1.0;

  bool operator==(const AdmittedRange&) const = default;
};

// Of one service, sorted by keys and without overlap.
using AdmittedRanges = std::vector<AdmittedRange>;

// A target that owns keys.
struct ServingTarget {
  TargetInstance instance;
  std::uint32_t slots = 1;
  // Requests per second that it bears until it is warm; empty if only its slots
  // limit it.
  std::optional<double> cold_requests_per_second;
  TimePoint warm_at{};
};

struct AdmissionOptions {
  // Samples are used for this long. A host that is paused or a datagram that is
  // lost leaves out a quarter of a second.
  Duration window = std::chrono::seconds(1);
  // Each report contains the requests of this time.
  Duration report_interval = std::chrono::milliseconds(250);
  // Samples of a shorter time than this are too few to tell demand from noise.
  Duration min_span = std::chrono::milliseconds(500);
  // An owner is overloaded if its demand exceeds its capacity by this factor
  // and by this number of standard deviations of the samples. Less is left to
  // the owner's queue.
  double min_overload = 1.2;
  double min_deviations = 2.0;
  // Fraction of the capacity that is given out. The rest lets the queue that
  // has formed become shorter.
  double used_fraction = 0.95;
  // A key that takes more than this fraction of its owner's capacity is listed
  // by itself.
  double hot_key_fraction = 0.1;
  // A list whose fractions differ from the previous one by at most this
  // relative amount is not sent again.
  double min_change = 0.1;
  size_t max_ranges = 256;
};

struct DemandInput {
  std::vector<Assignment> assignments;
  // Number of requests within the time of the samples that each owner can
  // serve.
  std::map<TargetInstance, double> capacities;
  // Keys of recent requests, sorted, one entry for each request.
  std::vector<std::uint32_t> sampled_keys;
  // Owners whose keys are listed at present. They stay listed until their
  // demand is within their capacity.
  std::set<TargetInstance> overloaded;
};

struct AdmissionPlan {
  AdmittedRanges ranges;
  std::set<TargetInstance> overloaded;
};

// Returns the ranges of which only a part of the requests can be served. The
// capacity of an owner is divided by max-min fairness between its keys, so that
// a hot key gets only what its neighbours leave. Keys that are being moved are
// not listed.
AdmissionPlan ComputeAdmittedFractions(const DemandInput& input,
                                       const AdmissionOptions& options);

// Computes the admitted fractions of one service from the load that all hosts
// report. Used by the leader.
class AdmissionPlanner {
 public:
  explicit AdmissionPlanner(const AdmissionOptions& options);

  void OnLoad(const LoadReport& report, TimePoint now);
  void SetTargets(std::vector<ServingTarget> targets) {
    targets_ = std::move(targets);
  }
  const AdmittedRanges& Update(const std::vector<Assignment>& assignments,
                               TimePoint now);
  // Forgets the ranges, since another host decides about them.
  void Reset() { plan_ = {}; }

 private:
  const AdmissionOptions options_;
  KeySamples samples_;
  std::optional<TimePoint> first_report_;
  std::vector<ServingTarget> targets_;
  AdmissionPlan plan_;
};

}  // namespace toucandock::core::keyspace

#endif  // TOUCANDOCK_CORE_KEYSPACE_ADMITTED_FRACTIONS_H_
