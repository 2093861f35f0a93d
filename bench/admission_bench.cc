// Simulates admission control in virtual time: throughput of short requests at
// a peak of demand ("crest"), and latency of short requests next to long ones
// ("stragglers"). The queues are the classes of src/core/admission; most
// figures are compared with a system without limits.
#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "bench.h"
#include "core/admission/retry_budget.h"
#include "core/admission/target_queue.h"
#include "core/time.h"

namespace toucandock::bench {
namespace {

using core::Duration;
using core::TimePoint;
using core::admission::QueueChanges;
using core::admission::QueueOptions;
using core::admission::RetryBudget;
using core::admission::RetryBudgetOptions;
using core::admission::TargetQueue;
using core::admission::Ticket;
using core::admission::Work;
using core::admission::WorkResult;
using core::config::WorkLength;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kRuns = 10;
constexpr int kHosts = 10;
constexpr int kCallers = 20;
constexpr Duration kShortFloor = milliseconds(5);
constexpr Duration kShortMean = milliseconds(10);
// Network delay in one direction, between hosts and from a host to a target
// (docs/design.md, 1.2).
constexpr Duration kHop = milliseconds(1);
constexpr TimePoint kStart{seconds(1'000)};

// Runs events in virtual time. Events of the same time run in the order in
// which they were added.
class EventLoop {
 public:
  TimePoint now() const { return now_; }
  void After(Duration delay, std::function<void()> action) {
    events_.push({now_ + delay, ++sequence_, std::move(action)});
  }
  void Run() {
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.action();
    }
  }

 private:
  struct Event {
    TimePoint at;
    std::uint64_t sequence;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::tie(at, sequence) > std::tie(other.at, other.sequence);
    }
  };

  TimePoint now_ = kStart;
  std::uint64_t sequence_ = 0;
  std::priority_queue<Event> events_;
};

struct Arrival {
  Duration at{};
  Duration service{};
  Duration deadline{};
  bool is_long = false;
  int host = 0;
  int caller = 0;
};

using Stream = std::vector<Arrival>;

// Appends Poisson arrivals at `rate` per second. `like` provides the other
// members of the arrivals, and `service` draws a service time in seconds.
void AddArrivals(Stream& stream,
                 std::mt19937_64& random,
                 Duration from,
                 Duration until,
                 double rate,
                 const Arrival& like,
                 const std::function<double(std::mt19937_64&)>& service) {
  std::exponential_distribution<double> gap(rate);
  const auto to_duration = [](double value) {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(value));
  };
  for (Duration at = from + to_duration(gap(random)); at < until;
       at += to_duration(gap(random))) {
    Arrival arrival = like;
    arrival.at = at;
    arrival.service = to_duration(service(random));
    arrival.host = static_cast<int>(random() % kHosts);
    arrival.caller = static_cast<int>(random() % kCallers);
    stream.push_back(arrival);
  }
}

double ShortService(std::mt19937_64& random) {
  const double floor = std::chrono::duration<double>(kShortFloor).count();
  const double mean = std::chrono::duration<double>(kShortMean).count();
  return floor +
         std::exponential_distribution<double>(1 / (mean - floor))(random);
}

double LongService(std::mt19937_64& random) {
  return std::uniform_real_distribution<double>(0.3, 0.5)(random);
}

// A target that runs `slots` requests at a time. It either refuses further
// requests or, like a server without admission control, queues all of them.
class Target {
 public:
  Target(EventLoop& loop, int slots, bool refuses)
      : loop_(loop), slots_(slots), refuses_(refuses) {}

  int refused() const { return refused_; }

  // Calls `done` with true when the request has run, or with false if it was
  // refused.
  void Receive(Duration service, std::function<void(bool)> done) {
    if (running_ == slots_ && refuses_) {
      ++refused_;
      done(false);
      return;
    }
    waiting_.emplace_back(service, std::move(done));
    StartNext();
  }

 private:
  void StartNext() {
    if (running_ == slots_ || waiting_.empty()) {
      return;
    }
    auto [service, done] = std::move(waiting_.front());
    waiting_.pop_front();
    ++running_;
    loop_.After(service, [this, done = std::move(done)] {
      --running_;
      done(true);
      StartNext();
    });
  }

  EventLoop& loop_;
  const int slots_;
  const bool refuses_;
  int running_ = 0;
  int refused_ = 0;
  std::deque<std::pair<Duration, std::function<void(bool)>>> waiting_;
};

// Latency of each request of a stream; negative if it got no response within
// its deadline.
using Latencies = std::vector<Duration>;

// How requests of a stream are delivered to the target.
class DeliveryMethod {
 public:
  DeliveryMethod(const Stream& stream, int slots, bool target_refuses)
      : stream_(stream),
        target_(loop_, slots, target_refuses),
        latencies_(stream.size(), Duration(-1)) {}
  virtual ~DeliveryMethod() = default;

  Latencies Run() {
    for (size_t n = 0; n < stream_.size(); ++n) {
      loop_.After(stream_[n].at, [this, n] { OnArrival(n); });
    }
    loop_.Run();
    return latencies_;
  }
  int refused() const { return target_.refused(); }

 protected:
  virtual void OnArrival(size_t n) = 0;

  TimePoint Deadline(size_t n) const {
    return kStart + stream_[n].at + stream_[n].deadline;
  }
  void Answer(size_t n) {
    if (latencies_[n] < Duration::zero() && loop_.now() <= Deadline(n)) {
      latencies_[n] = loop_.now() - kStart - stream_[n].at;
    }
  }

  const Stream& stream_;
  EventLoop loop_;
  Target target_;

 private:
  Latencies latencies_;
};

// Has no limits. A request that has no response yet is sent again at regular
// intervals until all attempts are used.
class Unlimited : public DeliveryMethod {
 public:
  Unlimited(const Stream& stream, int slots, int attempts)
      : DeliveryMethod(stream, slots, false), attempts_(attempts) {}

 protected:
  void OnArrival(size_t n) override { Attempt(n, 1); }

 private:
  void Attempt(size_t n, int attempt) {
    const auto answered = std::make_shared<bool>(false);
    loop_.After(kHop, [this, n, answered] {
      target_.Receive(stream_[n].service, [this, n, answered](bool) {
        loop_.After(kHop, [this, n, answered] {
          *answered = true;
          Answer(n);
        });
      });
    });
    if (attempt < attempts_) {
      loop_.After(stream_[n].deadline / attempts_,
                  [this, n, attempt, answered] {
                    if (!*answered) {
                      Attempt(n, attempt + 1);
                    }
                  });
    }
  }

  const int attempts_;
};

// Requests pass through TargetQueue: either a queue on each host with its share
// of the slots, or one queue for all hosts on the queue host of the target.
class Queued : public DeliveryMethod {
 public:
  Queued(const Stream& stream,
         int slots,
         bool has_queue_host,
         bool knows_classes)
      : DeliveryMethod(stream, slots, true),
        has_queue_host_(has_queue_host),
        knows_classes_(knows_classes),
        budgets_(kHosts, RetryBudget(RetryBudgetOptions{})) {
    const int hosts = has_queue_host ? 1 : kHosts;
    const QueueOptions options = {
        .slots = static_cast<std::uint32_t>(std::max(1, slots / hosts))};
    for (int n = 0; n < hosts; ++n) {
      queues_.emplace_back(TargetQueue(options));
    }
  }

 protected:
  void OnArrival(size_t n) override {
    budgets_[stream_[n].host].OnRequest();
    loop_.After(ToQueue(n), [this, n] { Offer(n); });
  }

 private:
  // Host 0 is the queue host.
  Duration ToQueue(size_t n) const {
    return has_queue_host_ && stream_[n].host != 0 ? kHop : Duration::zero();
  }
  int QueueOf(size_t n) const { return has_queue_host_ ? 0 : stream_[n].host; }

  void Offer(size_t n) {
    const Arrival& it = stream_[n];
    const bool configured_long = it.is_long && knows_classes_;
    const Work work = {
        .request_class = it.is_long ? "previews" : "index",
        .caller = absl::StrCat(it.caller),
        .length = configured_long ? WorkLength::kLong : WorkLength::kShort,
        // Leaves time for the response to return from the queue host.
        .deadline = Deadline(n) - ToQueue(n)};
    const int queue = QueueOf(n);
    QueueChanges changes;
    // Offer() may admit the request at once, so the request is stored under the
    // ticket that it will get. Tickets are consecutive.
    requests_[{queue, ++last_ticket_[queue]}] = n;
    queues_[queue].Offer(work, loop_.now(), changes);
    Apply(queue, changes);
  }

  void Apply(int queue, const QueueChanges& changes) {
    for (const auto& it : changes.shed) {
      requests_.erase({queue, it.ticket});
    }
    for (const Ticket ticket : changes.admitted) {
      const size_t n = requests_.at({queue, ticket});
      requests_.erase({queue, ticket});
      loop_.After(kHop, [this, queue, ticket, n] {
        target_.Receive(stream_[n].service, [this, queue, ticket, n](bool ran) {
          loop_.After(kHop, [this, queue, ticket, n, ran] {
            OnAnswer(queue, ticket, n, ran);
          });
        });
      });
    }
  }

  void OnAnswer(int queue, Ticket ticket, size_t n, bool ran) {
    QueueChanges changes;
    queues_[queue].Finish(ticket, ran ? WorkResult::kRan : WorkResult::kRefused,
                          loop_.now(), changes);
    Apply(queue, changes);
    if (ran) {
      loop_.After(ToQueue(n), [this, n] { Answer(n); });
    } else if (budgets_[stream_[n].host].TryRetry()) {
      loop_.After(milliseconds(random_() % 10), [this, n] { Offer(n); });
    }
  }

  const bool has_queue_host_;
  const bool knows_classes_;
  std::vector<TargetQueue> queues_;
  std::vector<RetryBudget> budgets_;
  std::map<int, Ticket> last_ticket_;
  std::map<std::pair<int, Ticket>, size_t> requests_;
  std::mt19937_64 random_{1};
};

double Percentile99(std::vector<double> values) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  return values[values.size() * 99 / 100];
}

// Latencies in milliseconds of those requests that got a response and that
// `counts` accepts.
std::vector<double> Answered(
    const Stream& stream,
    const Latencies& latencies,
    const std::function<bool(const Arrival&)>& counts) {
  std::vector<double> result;
  for (size_t n = 0; n < stream.size(); ++n) {
    if (latencies[n] >= Duration::zero() && counts(stream[n])) {
      result.push_back(
          std::chrono::duration<double, std::milli>(latencies[n]).count());
    }
  }
  return result;
}

// --- Throughput at a peak of demand ---

constexpr int kCrestSlots = 4;
constexpr Duration kCrestFrom = seconds(2);
constexpr Duration kCrestUntil = seconds(6);
constexpr Duration kCrestEnd = seconds(8);
constexpr Duration kCrestDeadline = milliseconds(250);
constexpr std::array<double, 4> kMultiples = {0.5, 1, 2, 4};

double Capacity(int slots) {
  return slots / std::chrono::duration<double>(kShortMean).count();
}

Stream CrestStream(std::uint64_t seed, double multiple) {
  std::mt19937_64 random(seed);
  Stream stream;
  const Arrival like = {.deadline = kCrestDeadline};
  const double half = Capacity(kCrestSlots) / 2;
  AddArrivals(stream, random, Duration::zero(), kCrestFrom, half, like,
              ShortService);
  AddArrivals(stream, random, kCrestFrom, kCrestUntil,
              multiple * Capacity(kCrestSlots), like, ShortService);
  AddArrivals(stream, random, kCrestUntil, kCrestEnd, half, like, ShortService);
  return stream;
}

struct CrestResult {
  // Responses within the deadline, as a fraction of the target's capacity.
  double goodput = 0;
  double percentile99 = 0;
  // Fraction of the requests of the two seconds after the peak that got a
  // response in time.
  double answered_after = 0;
  // Requests that the target refused because no slot was free, per response.
  double refused = 0;
};

CrestResult Measure(const Stream& stream, DeliveryMethod& delivery) {
  const Latencies latencies = delivery.Run();
  const std::vector<double> crest =
      Answered(stream, latencies, [](const Arrival& it) {
        return it.at >= kCrestFrom && it.at < kCrestUntil;
      });
  const size_t all =
      Answered(stream, latencies, [](const Arrival&) { return true; }).size();
  const auto is_after = [](const Arrival& it) { return it.at >= kCrestUntil; };
  const double length =
      std::chrono::duration<double>(kCrestUntil - kCrestFrom).count();
  return {.goodput = static_cast<double>(crest.size()) / length /
                     Capacity(kCrestSlots),
          .percentile99 = Percentile99(crest),
          .answered_after = static_cast<double>(
                                Answered(stream, latencies, is_after).size()) /
                            static_cast<double>(std::count_if(
                                stream.begin(), stream.end(), is_after)),
          .refused = static_cast<double>(delivery.refused()) /
                     static_cast<double>(std::max<size_t>(1, all))};
}

// The naive baseline spreads its attempts over the deadline.
constexpr int kNaiveAttempts = 3;

using MakeDeliveryMethod =
    std::function<std::unique_ptr<DeliveryMethod>(const Stream&)>;

std::unique_ptr<DeliveryMethod> MakeNaive(const Stream& stream) {
  return std::make_unique<Unlimited>(stream, kCrestSlots, kNaiveAttempts);
}

void MeasureCrest(Report& report,
                  const std::string& name,
                  const MakeDeliveryMethod& make) {
  Figure ratio = {.name = absl::StrCat(name, ", goodput at 4 x over at 1 x"),
                  .unit = "ratio",
                  .baseline_name = "no limit, naive retry",
                  .target = "at least 0.9"};
  Figure after = {.name = absl::StrCat(name, ", answered after the 4 x crest"),
                  .unit = "share",
                  .baseline_name = "no limit, naive retry"};
  Figure refused = {.name = absl::StrCat(
                        name, ", refused by the target for each answer, 4 x"),
                    .unit = "ratio"};
  std::array<Figure, kMultiples.size()> goodput;
  std::array<Figure, kMultiples.size()> percentile;
  for (size_t m = 0; m < kMultiples.size(); ++m) {
    goodput[m] = {.name = absl::StrCat(name, ", goodput at ", kMultiples[m],
                                       " x capacity"),
                  .unit = "of capacity",
                  .baseline_name = "no limit, naive retry"};
    percentile[m] = {
        .name = absl::StrCat(name, ", 99th at ", kMultiples[m], " x capacity"),
        .unit = "ms",
        .baseline_name = "no limit, naive retry"};
  }
  for (int run = 0; run < kRuns; ++run) {
    std::array<CrestResult, kMultiples.size()> own;
    std::array<CrestResult, kMultiples.size()> naive;
    for (size_t m = 0; m < kMultiples.size(); ++m) {
      const Stream stream = CrestStream(run + 1, kMultiples[m]);
      own[m] = Measure(stream, *make(stream));
      naive[m] = Measure(stream, *MakeNaive(stream));
      goodput[m].values.push_back(own[m].goodput);
      goodput[m].baseline_values.push_back(naive[m].goodput);
      percentile[m].values.push_back(own[m].percentile99);
      percentile[m].baseline_values.push_back(naive[m].percentile99);
    }
    ratio.values.push_back(own[3].goodput / own[1].goodput);
    ratio.baseline_values.push_back(naive[3].goodput / naive[1].goodput);
    after.values.push_back(own[3].answered_after);
    refused.values.push_back(own[3].refused);
    after.baseline_values.push_back(naive[3].answered_after);
  }
  for (size_t m = 0; m < kMultiples.size(); ++m) {
    report.Add(std::move(goodput[m]));
    report.Add(std::move(percentile[m]));
  }
  report.Add(std::move(ratio));
  report.Add(std::move(after));
  report.Add(std::move(refused));
}

// --- Short requests next to long ones ---

constexpr int kStragglerSlots = 3;
constexpr Duration kStragglerLength = seconds(60);
constexpr Duration kStragglerDeadline = seconds(10);
// Long requests per second. About one request in 60 runs 40 times as long as
// the others, and the long ones occupy 0.6 of 3 slots.
constexpr double kLongRate = 1.5;

// With the same seed, the short requests are the same with and without long
// ones.
Stream StragglerStream(std::uint64_t seed, double short_load, bool with_long) {
  std::mt19937_64 random(seed);
  Stream stream;
  AddArrivals(stream, random, Duration::zero(), kStragglerLength,
              short_load * Capacity(kStragglerSlots),
              {.deadline = kStragglerDeadline}, ShortService);
  if (with_long) {
    AddArrivals(stream, random, Duration::zero(), kStragglerLength, kLongRate,
                {.deadline = kStragglerDeadline, .is_long = true}, LongService);
  }
  return stream;
}

double ShortPercentile(std::uint64_t seed,
                       double short_load,
                       bool with_long,
                       const MakeDeliveryMethod& make) {
  const Stream stream = StragglerStream(seed, short_load, with_long);
  return Percentile99(Answered(stream, make(stream)->Run(),
                               [](const Arrival& it) { return !it.is_long; }));
}

double LongAnswered(std::uint64_t seed,
                    double short_load,
                    const MakeDeliveryMethod& make) {
  const Stream stream = StragglerStream(seed, short_load, true);
  const auto is_long = [](const Arrival& it) { return it.is_long; };
  return static_cast<double>(
             Answered(stream, make(stream)->Run(), is_long).size()) /
         static_cast<double>(
             std::count_if(stream.begin(), stream.end(), is_long));
}

void MeasureStragglers(Report& report,
                       const std::string& delivery,
                       double short_load,
                       const MakeDeliveryMethod& make) {
  const std::string name = absl::StrCat(delivery, ", short load ", short_load);
  const MakeDeliveryMethod fifo = [](const Stream& stream) {
    return std::make_unique<Unlimited>(stream, kStragglerSlots, 1);
  };
  Figure ratio = {.name = absl::StrCat(name, ", short 99th with over without"),
                  .unit = "ratio",
                  .baseline_name = "one FIFO queue",
                  .target = "at most 1.5"};
  Figure percentile = {
      .name = absl::StrCat(name, ", short 99th with stragglers"),
      .unit = "ms",
      .baseline_name = "one FIFO queue"};
  Figure served = {.name = absl::StrCat(name, ", long work answered in time"),
                   .unit = "share",
                   .baseline_name = "one FIFO queue"};
  for (int run = 0; run < kRuns; ++run) {
    const std::uint64_t seed = run + 1;
    const double with = ShortPercentile(seed, short_load, true, make);
    const double fifo_with = ShortPercentile(seed, short_load, true, fifo);
    percentile.values.push_back(with);
    percentile.baseline_values.push_back(fifo_with);
    ratio.values.push_back(with /
                           ShortPercentile(seed, short_load, false, make));
    ratio.baseline_values.push_back(
        fifo_with / ShortPercentile(seed, short_load, false, fifo));
    served.values.push_back(LongAnswered(seed, short_load, make));
    served.baseline_values.push_back(LongAnswered(seed, short_load, fifo));
  }
  report.Add(std::move(percentile));
  report.Add(std::move(ratio));
  report.Add(std::move(served));
}

MakeDeliveryMethod MakeQueued(int slots,
                              bool has_queue_host,
                              bool knows_classes) {
  return [=](const Stream& stream) {
    return std::make_unique<Queued>(stream, slots, has_queue_host,
                                    knows_classes);
  };
}

void Run(Report& report) {
  MeasureCrest(report, "crest, direct", MakeQueued(kCrestSlots, false, true));
  MeasureCrest(report, "crest, home host", MakeQueued(kCrestSlots, true, true));
  for (const double short_load : {0.3, 0.5}) {
    MeasureStragglers(report, "stragglers, direct", short_load,
                      MakeQueued(kStragglerSlots, false, true));
    MeasureStragglers(report, "stragglers, home host", short_load,
                      MakeQueued(kStragglerSlots, true, true));
    MeasureStragglers(report, "stragglers configured as short", short_load,
                      MakeQueued(kStragglerSlots, true, false));
  }
}

const Registration kRegistration("admission", Run);

}  // namespace
}  // namespace toucandock::bench
