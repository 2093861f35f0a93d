#include "core/keyspace/key_samples.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <random>
#include <vector>

namespace toucandock::core::keyspace {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kReportKeys = 400;

class Reports {
 public:
  // Adds one report in 250 ms, in which a fraction of the requests is for
  // `busy` neighbouring keys.
  void Add(KeySamples& samples,
           int reports,
           double fraction = 0,
           std::uint32_t busy = 60) {
    for (int i = 0; i < reports; ++i) {
      LoadReport report{.service = "s"};
      std::uniform_real_distribution<double> pick(0, 1);
      for (int n = 0; n < kReportKeys; ++n) {
        report.keys.push_back(
            pick(random_) < fraction
                ? kFirst + static_cast<std::uint32_t>(pick(random_) * busy)
                : static_cast<std::uint32_t>(pick(random_) * 65'536));
      }
      now_ += milliseconds(250);
      samples.Add(report, now_);
    }
  }

  TimePoint now() const { return now_; }

  static constexpr std::uint32_t kFirst = 40'000;

 private:
  std::mt19937 random_{1};
  TimePoint now_{seconds(1'000)};
};

// Returns the fraction of the load that belongs to some keys.
double ShareOf(const WeightedKeys& keys,
               std::uint32_t first,
               std::uint32_t count) {
  double all = 0;
  double share = 0;
  for (size_t i = 0; i < keys.keys.size(); ++i) {
    all += keys.weights[i];
    share += keys.keys[i] >= first && keys.keys[i] < first + count
                 ? keys.weights[i]
                 : 0;
  }
  return share / all;
}

}  // namespace

// Samples of 2.5 s showed a fifth of a change after half a second.
TEST_CASE("recent samples must show a change of the load") {
  KeySamples samples({});
  Reports reports;
  reports.Add(samples, 16);
  CHECK(ShareOf(samples.Sorted(reports.now()), Reports::kFirst, 60) < 0.02);

  SUBCASE("neighbouring keys become busy: their load shows at once") {
    reports.Add(samples, 1, 0.4);
    WeightedKeys keys = samples.Sorted(reports.now());
    CHECK(ShareOf(keys, Reports::kFirst - 10, 80) ==
          doctest::Approx(0.4).epsilon(0.15));
    CHECK(samples.IsSettling(reports.now()));
    CHECK_FALSE(samples.IsSettling(reports.now() + milliseconds(200)));

    // Noise would give some of them several times the load of others.
    SUBCASE("as much for each of them") {
      for (std::uint32_t i = 0; i < 60; ++i) {
        CAPTURE(i);
        CHECK(ShareOf(keys, Reports::kFirst + i, 1) < 2 * 0.4 / 60);
      }
    }
    SUBCASE("also later, without the samples from before the change") {
      reports.Add(samples, 5, 0.4);
      keys = samples.Sorted(reports.now());
      CHECK(ShareOf(keys, Reports::kFirst - 10, 80) ==
            doctest::Approx(0.4).epsilon(0.1));
    }
    SUBCASE("and its end shows as well") {
      reports.Add(samples, 4, 0.4);
      samples.Sorted(reports.now());
      reports.Add(samples, 1);
      CHECK(ShareOf(samples.Sorted(reports.now()), Reports::kFirst, 60) < 0.03);
    }
  }

  SUBCASE("a single key becomes hot: its neighbours do not") {
    reports.Add(samples, 1, 0.16, 1);
    const WeightedKeys keys = samples.Sorted(reports.now());
    CHECK(ShareOf(keys, Reports::kFirst, 1) ==
          doctest::Approx(0.16).epsilon(0.25));
    CHECK(ShareOf(keys, Reports::kFirst + 1, 50) < 0.02);
  }

  SUBCASE("no report arrives: nothing has changed") {
    const WeightedKeys keys = samples.Sorted(reports.now() + seconds(1));
    for (const float it : keys.weights) {
      REQUIRE(it == 1);
    }
  }

  SUBCASE("twice the load: each sample counts for more at once") {
    const double before = samples.BusySlotsPerSample(reports.now());
    LoadReport report{.service = "s"};
    report.keys.assign(800, 1);
    samples.Add(report, reports.now());
    samples.Add(report, reports.now());
    CHECK(samples.BusySlotsPerSample(reports.now()) > 1.5 * before);
  }
}

TEST_CASE("the speed of a target must not depend on its load") {
  KeySamples samples({});
  TimePoint now{seconds(1'000)};
  constexpr std::uint32_t kSlots = 4;
  const auto add = [&](milliseconds busy_time, std::uint32_t busy_answers) {
    now += seconds(1);
    samples.Add({.speeds = {{.target_id = "busy",
                             .answers = busy_answers,
                             .mean_time = busy_time},
                            {.target_id = "other",
                             .answers = 10,
                             .mean_time = milliseconds(150)}}},
                now);
  };
  const auto speed = [&] {
    return samples.SpeedOf("busy", samples.MeanWorkTime());
  };
  samples.SetSlots("busy", kSlots);
  samples.SetSlots("other", kSlots);
  for (int i = 0; i < 10; ++i) {
    add(milliseconds(150), 10);
  }
  REQUIRE(speed() == doctest::Approx(1));

  // A target with a queue appeared slow, so that its hot key was moved on.
  SUBCASE("four times the time in a queue, with all slots busy") {
    for (int i = 0; i < 10; ++i) {
      add(milliseconds(600), 27);
    }
    CHECK(speed() == doctest::Approx(1).epsilon(0.02));
  }
  SUBCASE("three times the time for 400 ms changes it little") {
    add(milliseconds(270), 10);
    CHECK(speed() > 0.85);
  }
  SUBCASE("three times the time for long makes it slow") {
    for (int i = 0; i < 20; ++i) {
      add(milliseconds(450), 8);
    }
    CHECK(speed() < 0.7);
  }
}

}  // namespace toucandock::core::keyspace
