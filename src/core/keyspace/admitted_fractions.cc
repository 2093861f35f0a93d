#include "core/keyspace/admitted_fractions.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace toucandock::core::keyspace {
namespace {

// A key with fewer samples than this cannot be told from its neighbours.
constexpr double kMinHotKeySamples = 4;

// The demand of one key, or of several keys that share one fraction.
struct Share {
  double demand = 0;
  // Number of keys.
  double weight = 1;
  double fraction = 1;
};

// Divides the capacity by weighted max-min fairness: shares that ask for less
// than their part get all of it, and the others divide what is left by weight.
void DivideCapacity(double capacity, std::vector<Share*> shares) {
  std::sort(shares.begin(), shares.end(), [](const Share* a, const Share* b) {
    return a->demand * b->weight < b->demand * a->weight;
  });
  double weight = 0;
  for (const Share* it : shares) {
    weight += it->weight;
  }
  for (Share* it : shares) {
    const double part = std::max(0.0, capacity * it->weight / weight);
    it->fraction = it->demand > part ? part / it->demand : 1.0;
    capacity -= it->demand * it->fraction;
    weight -= it->weight;
  }
}

using Samples = std::vector<std::uint32_t>;

// The keys of one owner.
struct OwnedKeys {
  std::vector<KeyRange> ranges;
  // Samples by key.
  std::map<std::uint32_t, double> samples;
  double demand = 0;
};

void AddSamples(const Samples& sorted_keys,
                const KeyRange& keys,
                OwnedKeys& owned) {
  for (auto it =
           std::lower_bound(sorted_keys.begin(), sorted_keys.end(), keys.first);
       it != sorted_keys.end() && *it <= keys.last; ++it) {
    owned.samples[*it] += 1;
    owned.demand += 1;
  }
}

bool IsOverloaded(const OwnedKeys& owned,
                  double capacity,
                  bool was_overloaded,
                  const AdmissionOptions& options) {
  if (was_overloaded) {
    return owned.demand > capacity;
  }
  return owned.demand > capacity * options.min_overload &&
         owned.demand - capacity > options.min_deviations * std::sqrt(capacity);
}

// A listed range and the requests for it that are not admitted.
struct RankedRange {
  AdmittedRange range;
  double excess = 0;
};

// Lists the hot keys of an overloaded owner one by one, and the keys between
// them with one fraction.
void ListRanges(const OwnedKeys& owned,
                double capacity,
                const AdmissionOptions& options,
                std::vector<RankedRange>& out) {
  std::map<std::uint32_t, Share> hot_keys;
  Share rest{.weight = 0};
  for (const auto& [key, n] : owned.samples) {
    if (n >= kMinHotKeySamples && n > capacity * options.hot_key_fraction) {
      hot_keys[key] = {.demand = n};
    } else {
      rest.demand += n;
      rest.weight += 1;
    }
  }
  std::vector<Share*> shares;
  shares.reserve(hot_keys.size() + 1);
  for (auto& [key, share] : hot_keys) {
    shares.push_back(&share);
  }
  if (rest.weight > 0) {
    shares.push_back(&rest);
  }
  DivideCapacity(capacity * options.used_fraction, std::move(shares));
  const auto list = [&out](KeyRange keys, const Share& share) {
    if (share.fraction < 1 && keys.first <= keys.last) {
      out.push_back({.range = {.keys = keys, .fraction = share.fraction},
                     .excess = share.demand * (1 - share.fraction)});
    }
  };
  for (const KeyRange& range : owned.ranges) {
    std::uint32_t next = range.first;
    for (auto it = hot_keys.lower_bound(range.first);
         it != hot_keys.end() && it->first <= range.last; ++it) {
      if (it->first > next) {
        list({next, it->first - 1}, rest);
      }
      list({it->first, it->first}, it->second);
      next = it->first + 1;
    }
    list({next, range.last}, rest);
  }
}

bool IsSimilar(const AdmittedRanges& a,
               const AdmittedRanges& b,
               double min_change) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [min_change](const auto& x, const auto& y) {
                      return x.keys == y.keys &&
                             std::abs(x.fraction - y.fraction) <=
                                 min_change * y.fraction;
                    });
}

}  // namespace

AdmissionPlan ComputeAdmittedFractions(const DemandInput& input,
                                       const AdmissionOptions& options) {
  std::map<TargetInstance, OwnedKeys> owners;
  for (const Assignment& it : input.assignments) {
    if (it.serving && input.capacities.contains(it.owner)) {
      OwnedKeys& owned = owners[it.owner];
      owned.ranges.push_back(it.keys);
      AddSamples(input.sampled_keys, it.keys, owned);
    }
  }
  AdmissionPlan plan;
  std::vector<RankedRange> ranked;
  for (const auto& [owner, owned] : owners) {
    const double capacity = input.capacities.at(owner);
    if (IsOverloaded(owned, capacity, input.overloaded.contains(owner),
                     options)) {
      plan.overloaded.insert(owner);
      ListRanges(owned, capacity, options, ranked);
    }
  }
  if (ranked.size() > options.max_ranges) {
    std::sort(ranked.begin(), ranked.end(),
              [](const auto& a, const auto& b) { return a.excess > b.excess; });
    ranked.resize(options.max_ranges);
  }
  for (const RankedRange& it : ranked) {
    plan.ranges.push_back(it.range);
  }
  std::sort(plan.ranges.begin(), plan.ranges.end(),
            [](const AdmittedRange& a, const AdmittedRange& b) {
              return a.keys.first < b.keys.first;
            });
  return plan;
}

AdmissionPlanner::AdmissionPlanner(const AdmissionOptions& options)
    : options_(options), samples_({.window = options.window}) {}

void AdmissionPlanner::OnLoad(const LoadReport& report, TimePoint now) {
  if (!first_report_) {
    first_report_ = now;
  }
  samples_.Add(report, now);
}

const AdmittedRanges& AdmissionPlanner::Update(
    const std::vector<Assignment>& assignments,
    TimePoint now) {
  for (const ServingTarget& it : targets_) {
    samples_.SetSlots(it.instance.id, it.slots);
  }
  const Duration mean_time = samples_.MeanWorkTime();
  const Duration span =
      first_report_ ? std::min(options_.window,
                               now - *first_report_ + options_.report_interval)
                    : Duration::zero();
  // Without response times, the capacity is unknown.
  if (span < options_.min_span || !samples_.HasWorkTimes()) {
    plan_ = {};
    return plan_.ranges;
  }
  DemandInput input{.assignments = assignments,
                    .sampled_keys = samples_.SortedKeys(now),
                    .overloaded = plan_.overloaded};
  for (const ServingTarget& it : targets_) {
    double slots = it.slots * samples_.SpeedOf(it.instance.id, mean_time);
    if (it.cold_requests_per_second && now < it.warm_at) {
      slots = std::min(slots, *it.cold_requests_per_second *
                                  FloatSeconds(mean_time).count());
    }
    input.capacities[it.instance] =
        slots * (FloatSeconds(span) / FloatSeconds(mean_time));
  }
  AdmissionPlan plan = ComputeAdmittedFractions(input, options_);
  if (IsSimilar(plan.ranges, plan_.ranges, options_.min_change)) {
    plan.ranges = std::move(plan_.ranges);
  }
  plan_ = std::move(plan);
  return plan_.ranges;
}

}  // namespace toucandock::core::keyspace
