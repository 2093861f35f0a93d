#include "core/admission/service_times.h"

#include <algorithm>

namespace toucandock::core::admission {
namespace {

// Divisors of the moving averages, as for the round-trip time of TCP (RFC
// 6298), with a longer memory since single service times differ more.
constexpr int kMeanDivisor = 16;
constexpr int kDeviationDivisor = 8;
// Fewer samples say too little about a class to reclassify it.
constexpr std::uint32_t kMinSamples = 4;
// A class counts as long above the first multiple of the shortest class's mean
// and as short again below the second. The gap prevents flapping.
constexpr int kLongMultiple = 8;
constexpr int kShortMultiple = 4;

}  // namespace

void ServiceTimes::Add(const std::string& request_class, Duration taken) {
  ClassStatistics& it = classes_[request_class];
  if (it.samples == 0) {
    it.mean = taken;
    it.deviation = taken / 2;
  } else {
    const Duration error = taken - it.mean;
    it.deviation +=
        (std::max(error, -error) - it.deviation) / kDeviationDivisor;
    it.mean += error / kMeanDivisor;
  }
  ++it.samples;
  Classify();
}

// Zero for a class without observations.
Duration ServiceTimes::Mean(const std::string& request_class) const {
  const auto it = classes_.find(request_class);
  return it == classes_.end() ? Duration{} : it->second.mean;
}

// Time within which most requests of the class end: mean plus deviation.
Duration ServiceTimes::UpperEstimate(const std::string& request_class) const {
  const auto it = classes_.find(request_class);
  return it == classes_.end() ? Duration{}
                              : it->second.mean + it->second.deviation;
}

// A class that is configured as long stays long; one that is configured as
// short counts as long while its observed times say so.
config::WorkLength ServiceTimes::LengthOf(const std::string& request_class,
                                          config::WorkLength configured) const {
  const auto it = classes_.find(request_class);
  return it != classes_.end() && it->second.is_long ? config::WorkLength::kLong
                                                    : configured;
}

void ServiceTimes::Classify() {
  Duration shortest = Duration::max();
  for (const auto& [name, it] : classes_) {
    if (it.samples >= kMinSamples) {
      shortest = std::min(shortest, it.mean);
    }
  }
  for (auto& [name, it] : classes_) {
    if (it.samples >= kMinSamples) {
      const int multiple = it.is_long ? kShortMultiple : kLongMultiple;
      it.is_long = it.mean / multiple > shortest;
    }
  }
}

}  // namespace toucandock::core::admission
