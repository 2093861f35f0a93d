// Simulates how hosts choose among the targets of a service, and compares the
// 99th percentile of latency of several policies with a random choice.
#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "bench.h"
#include "core/routing/target_choice.h"
#include "core/time.h"

namespace toucandock::bench {
namespace {

using core::Duration;
using core::TimePoint;
using core::routing::ServiceRoute;
using core::routing::TargetRoute;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kRuns = 10;
constexpr int kHosts = 10;
constexpr int kTargets = 8;
constexpr int kSlots = 4;
constexpr double kLoad = 0.6;
constexpr double kMeanSeconds = 0.010;
constexpr Duration kLength = seconds(30);
// Interval at which hosts read the reported loads.
constexpr Duration kReportInterval = milliseconds(100);
// A count from a queue host is used for this long.
constexpr double kFreshSeconds = 0.1;
// In some scenarios one target takes three times as long for each request, and
// another one reports a load of 0.
constexpr int kSlowTarget = 0;
constexpr int kMisreportingTarget = 1;
constexpr double kSlowdownFactor = 3;

struct Scenario {
  std::string name;
  bool one_is_slow = false;
  bool one_reports_wrongly = false;
};

struct TargetState {
  int running = 0;
  std::queue<size_t> waiting;
  std::uint32_t reported = 0;
};

// Number of waiting and running requests of a target, as its queue host counted
// them, and the time of the count.
struct QueueHostCount {
  std::uint32_t count = 0;
  double at = 0;
};

// What a policy may use for its choice.
struct ChoiceContext {
  const ServiceRoute& service;
  std::vector<std::vector<std::uint32_t>>& own;
  std::vector<TargetState>& targets;
  std::mt19937_64& random;
  std::vector<int> next;
  // For each host and target, the count in the last response that the target's
  // queue host returned to the host.
  std::vector<std::vector<QueueHostCount>> queue_host_counts;
  double now = 0;
};

using Choose = std::function<int(ChoiceContext&, int host)>;

int IndexOf(const ChoiceContext& choice_context, const TargetRoute* target) {
  return static_cast<int>(target - choice_context.service.targets.data());
}

// Calls the ChooseTarget() of the product with the given counts: `own` for
// the host's requests in flight and `other` for the load known from elsewhere.
int ChooseBy(ChoiceContext& choice_context,
             const std::function<std::uint32_t(int)>& own,
             const std::function<std::uint32_t(int)>& other) {
  const auto by_id = [](const std::function<std::uint32_t(int)>& count) {
    return [&count](const core::TargetId& id) { return count(std::stoi(id)); };
  };
  const TargetRoute* chosen = core::routing::ChooseTarget(
      choice_context.service, {},
      {.in_flight = by_id(own),
       .remote_queue_count = by_id(other),
       .is_failing = [](const core::TargetId&) { return false; },
       .random = [&] { return choice_context.random(); }});
  return IndexOf(choice_context, chosen);
}

std::uint32_t Nothing(int) {
  return 0;
}

int Random(ChoiceContext& choice_context, int) {
  return static_cast<int>(choice_context.random() % kTargets);
}

int RoundRobin(ChoiceContext& choice_context, int host) {
  return choice_context.next[host]++ % kTargets;
}

int TwoByOwn(ChoiceContext& choice_context, int host) {
  return ChooseBy(
      choice_context, [&](int n) { return choice_context.own[host][n]; },
      Nothing);
}

int TwoByOwnAndReported(ChoiceContext& choice_context, int host) {
  return ChooseBy(
      choice_context, [&](int n) { return choice_context.own[host][n]; },
      [&](int n) { return choice_context.targets[n].reported; });
}

int TwoByReported(ChoiceContext& choice_context, int) {
  return ChooseBy(choice_context, Nothing,
                  [&](int n) { return choice_context.targets[n].reported; });
}

int TwoByOwnAndQueueHost(ChoiceContext& choice_context, int host) {
  return ChooseBy(
      choice_context, [&](int n) { return choice_context.own[host][n]; },
      [&](int n) {
        const QueueHostCount& it = choice_context.queue_host_counts[host][n];
        return choice_context.now - it.at < kFreshSeconds ? it.count : 0;
      });
}

// Returns the 99th percentile, in milliseconds, of the time from arrival to
// response. Each target serves its requests in the order of arrival.
double Measure(const Scenario& scenario,
               const Choose& choose,
               std::uint64_t seed) {
  ServiceRoute service;
  for (int n = 0; n < kTargets; ++n) {
    service.targets.push_back({.id = absl::StrCat(n)});
  }
  std::vector<TargetState> targets(kTargets);
  std::vector<std::vector<std::uint32_t>> own(
      kHosts, std::vector<std::uint32_t>(kTargets));
  std::mt19937_64 arrivals(seed);
  std::mt19937_64 choices(seed + 1'000);
  ChoiceContext choice_context = {
      service,
      own,
      targets,
      choices,
      std::vector<int>(kHosts),
      std::vector<std::vector<QueueHostCount>>(
          kHosts, std::vector<QueueHostCount>(kTargets))};

  enum class Kind { kArrival, kEnd, kReport };
  struct Event {
    double at;
    Kind kind;
    size_t request;
    bool operator<(const Event& other) const { return at > other.at; }
  };
  struct Request {
    double at;
    double service;
    int host;
    int target = 0;
  };
  std::vector<Request> requests;
  std::priority_queue<Event> events;
  const double length = std::chrono::duration<double>(kLength).count();
  const double interval =
      std::chrono::duration<double>(kReportInterval).count();
  std::exponential_distribution<double> gap(kLoad * kTargets * kSlots /
                                            kMeanSeconds);
  std::exponential_distribution<double> service_time(1 / kMeanSeconds);
  for (double at = gap(arrivals); at < length; at += gap(arrivals)) {
    events.push({at, Kind::kArrival, requests.size()});
    requests.push_back(
        {at, service_time(arrivals), static_cast<int>(arrivals() % kHosts)});
  }
  for (double at = 0; at < length; at += interval) {
    events.push({at, Kind::kReport, 0});
  }
  const auto start = [&](size_t request, double now) {
    const Request& it = requests[request];
    const bool slow = scenario.one_is_slow && it.target == kSlowTarget;
    ++targets[it.target].running;
    events.push(
        {now + it.service * (slow ? kSlowdownFactor : 1), Kind::kEnd, request});
  };
  std::vector<double> latencies;
  latencies.reserve(requests.size());
  while (!events.empty()) {
    const Event event = events.top();
    events.pop();
    if (event.kind == Kind::kReport) {
      for (int n = 0; n < kTargets; ++n) {
        const bool reports_no_load =
            scenario.one_reports_wrongly && n == kMisreportingTarget;
        targets[n].reported =
            reports_no_load
                ? 0
                : static_cast<std::uint32_t>(targets[n].running +
                                             targets[n].waiting.size());
      }
      continue;
    }
    Request& it = requests[event.request];
    choice_context.now = event.at;
    if (event.kind == Kind::kArrival) {
      it.target = choose(choice_context, it.host);
      ++own[it.host][it.target];
      if (targets[it.target].running < kSlots) {
        start(event.request, event.at);
      } else {
        targets[it.target].waiting.push(event.request);
      }
      continue;
    }
    latencies.push_back(event.at - it.at);
    --own[it.host][it.target];
    TargetState& target = targets[it.target];
    --target.running;
    choice_context.queue_host_counts[it.host][it.target] = {
        static_cast<std::uint32_t>(target.running + target.waiting.size()),
        event.at};
    if (!target.waiting.empty()) {
      const size_t next = target.waiting.front();
      target.waiting.pop();
      start(next, event.at);
    }
  }
  std::sort(latencies.begin(), latencies.end());
  return latencies[latencies.size() * 99 / 100] * 1'000;
}

void Run(Report& report) {
  const std::vector<Scenario> scenarios = {
      {"all targets alike"},
      {"one target 3 x as slow", true},
      {"one target reports load 0", false, true},
      {"one target slow, another reports load 0", true, true}};
  const std::vector<std::pair<std::string, Choose>> policies = {
      {"round robin", RoundRobin},
      {"two by own in flight", TwoByOwn},
      {"two by own and reported", TwoByOwnAndReported},
      {"two by own and home host's count", TwoByOwnAndQueueHost},
      {"two by reported", TwoByReported}};
  for (const Scenario& scenario : scenarios) {
    for (const auto& [name, choose] : policies) {
      Figure figure = {
          .name = absl::StrCat("choice, ", scenario.name, ", ", name, ", 99th"),
          .unit = "ms",
          .baseline_name = "random"};
      for (int run = 0; run < kRuns; ++run) {
        figure.values.push_back(Measure(scenario, choose, run + 1));
        figure.baseline_values.push_back(Measure(scenario, Random, run + 1));
      }
      report.Add(std::move(figure));
    }
  }
}

const Registration kRegistration("choice", Run);

}  // namespace
}  // namespace toucandock::bench
