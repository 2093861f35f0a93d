#include "core/admission/service_times.h"

#include <algorithm>

namespace toucandock::core::admission {
namespace {

// Divisors of the moving averages, as for the round-trip time of TCP (RFC
// 6298). They are larger here, so that more samples are averaged, since single
// service times vary more.
constexpr int kMeanDivisor = 16;
constexpr int kDeviationDivisor = 8;
// With fewer samples, the averages are too unreliable to reclassify a class.
constexpr std::uint32_t kMinSamples = 4;
// A class counts as long when its mean exceeds the first multiple of the
// smallest mean of all classes, and as short again when it falls below the
// second. The gap prevents flapping.
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

// Returns the mean service time; zero for a class without samples.
Duration ServiceTimes::Mean(const std::string& request_class) const {
  const auto it = classes_.find(request_class);
  return it == classes_.end() ? Duration{} : it->second.mean;
}

// Returns the time within which most requests of the class end: the mean plus
// the deviation.
Duration ServiceTimes::UpperEstimate(const std::string& request_class) const {
  const auto it = classes_.find(request_class);
  return it == classes_.end() ? Duration{}
                              : it->second.mean + it->second.deviation;
}

// A class that is configured as long stays long. One that is configured as
// short counts as long while its measured service times are long.
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
