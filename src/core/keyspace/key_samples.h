#ifndef TOUCANDOCK_CORE_KEYSPACE_KEY_SAMPLES_H_
#define TOUCANDOCK_CORE_KEYSPACE_KEY_SAMPLES_H_

#include <array>
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
  Duration window = std::chrono::milliseconds(4'000);
  // The load of neighbouring keys in this time is compared with their earlier
  // load. If it has changed, earlier samples do not count. Each host reports
  // once in this time.
  Duration recent_window = std::chrono::milliseconds(250);
  // A change must exceed the statistical variation of the samples by this
  // factor. With 256 cells and 5 plans per second, a lower one takes noise for
  // a change several times a minute.
  double change_significance = 5.0;
  // The reports of some hosts and relays show a change earlier than others. A
  // plan made at once would spread a part of the load and move it again.
  Duration settling_time = std::chrono::milliseconds(150);
  size_t max_samples = 20'000;
};

// Keys of recent requests, sorted, and the number of requests that each of them
// stands for.
struct WeightedKeys {
  std::vector<std::uint32_t> keys;
  std::vector<float> weights;
  // Statistical variances of the weights.
  std::vector<float> variances;
};

// Recent requests of a keyed service from all hosts that report their load.
class KeySamples {
 public:
  // Changes of the load are detected separately for each of these parts of the
  // key space.
  static constexpr size_t kCells = 256;

  explicit KeySamples(const KeySampleOptions& options) : options_(options) {}

  void Add(const LoadReport& report, TimePoint now);
  // Keys of all requests within the window, sorted, one entry for each request.
  std::vector<std::uint32_t> SortedKeys(TimePoint now);
  // Keys whose load has changed count by their recent samples only.
  WeightedKeys Sorted(TimePoint now);
  // Returns whether the load has changed just now, so that the samples show
  // only a part of the change.
  bool IsSettling(TimePoint now) const;
  // Returns the number of slots that one sampled request keeps busy on average
  // over the window. A rise of the whole load counts at once.
  double BusySlotsPerSample(TimePoint now) const;
  // Number of requests that the target processes at the same time.
  void SetSlots(const std::string& target_id, std::uint32_t slots);
  double SpeedOf(const std::string& target_id, Duration mean_work_time) const;
  // Mean time for which a request occupies a slot of a target.
  Duration MeanWorkTime() const;
  // Whether the response time of any target is known.
  bool HasWorkTimes() const;

 private:
  struct Sample {
    TimePoint at;
    std::uint32_t key = 0;
  };

  // Response times of one target.
  struct TargetTimes {
    // Since `since`.
    double answers = 0;
    FloatSeconds total{};
    TimePoint since{};
    // Smoothed; zero until the first response.
    FloatSeconds work_time{};
    std::uint32_t slots = 0;
  };

  FloatSeconds MeanWorkSeconds() const;
  void DropOldSamples(TimePoint now);
  void DetectChanges(TimePoint now);
  float SteadyWeight() const;
  size_t CountSince(TimePoint since) const;
  Duration Span(TimePoint now) const;

  const KeySampleOptions options_;
  std::deque<Sample> samples_;
  // For each cell, when its load has last changed. Earlier samples of its keys
  // do not count.
  std::array<TimePoint, kCells> changed_at_{};
  // The first and the last one of the changes that follow each other.
  TimePoint first_change_{};
  TimePoint last_change_{};
  TimePoint first_report_{};
  std::map<std::string, TargetTimes> target_times_;
};

}  // namespace toucandock::core::keyspace

#endif  // TOUCANDOCK_CORE_KEYSPACE_KEY_SAMPLES_H_
