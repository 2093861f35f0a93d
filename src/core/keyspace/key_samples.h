#ifndef TOUCANDOCK_CORE_KEYSPACE_KEY_SAMPLES_H_
#define TOUCANDOCK_CORE_KEYSPACE_KEY_SAMPLES_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "core/discovery/target_directory.h"
#include "core/time.h"

namespace toucandock::core::keyspace {

// Response times of one target, as observed by one host since its last report.
struct TargetSpeed {
  std::string target_id;
  std::uint32_t answers = 0;
  // Mean time from sending a request to its response.
  Duration mean_time{};

  bool operator==(const TargetSpeed&) const = default;
};

// Load of one keyed service, as observed by one host since its last report.
struct LoadReport {
  std::string service;
  // Keys of the requests, one entry for each request.
  std::vector<std::uint32_t> keys;
  std::vector<TargetSpeed> speeds;
  // A relay has added up the reports of several hosts. Such a report is not
  // relayed again.
  bool relayed = false;

  bool operator==(const LoadReport&) const = default;
};

// Adds the observations of another host to a report of the same service.
void AddReport(const LoadReport& report, LoadReport& sum);

struct KeySampleOptions {
  // Samples are dropped after this time, because hot keys change within a few
  // seconds.
  Duration window = std::chrono::milliseconds(2'500);
  size_t max_samples = 20'000;
};

// Recent requests of a keyed service from all hosts that report their load.
class KeySamples {
 public:
  explicit KeySamples(const KeySampleOptions& options) : options_(options) {}

  void Add(const LoadReport& report, TimePoint now);
  std::vector<std::uint32_t> SortedKeys(TimePoint now);
  // Returns the number of slots that one sampled request keeps busy on average
  // over the window.
  double BusySlotsPerSample(TimePoint now) const;
  // Returns the smoothed response time of all targets; zero before the first
  // response.
  FloatSeconds MeanTime() const { return FloatSeconds(mean_seconds_); }
  double SpeedOf(const std::string& target_id) const;

 private:
  struct Sample {
    TimePoint at;
    std::uint32_t key = 0;
  };

  const KeySampleOptions options_;
  std::deque<Sample> samples_;
  TimePoint first_report_{};
  // Smoothed response time, over all targets and for each target.
  double mean_seconds_ = 0;
  std::map<std::string, double> target_seconds_;
};

}  // namespace toucandock::core::keyspace

#endif  // TOUCANDOCK_CORE_KEYSPACE_KEY_SAMPLES_H_
