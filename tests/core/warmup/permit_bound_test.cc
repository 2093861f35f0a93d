#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "core/warmup/permit_issuer.h"
#include "core/warmup/permit_pool.h"

namespace toucandock::core::warmup {
namespace {

using discovery::TargetInstance;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kHosts = 83;
constexpr double kRate = 7.2;
constexpr seconds kRunTime{20};
constexpr TimePoint kBegin{seconds(1'000)};

// A fleet that asks its leader for permits for three cold targets, on a
// schedule that the seed determines.
class Schedule {
 public:
  struct Faults {
    bool messages = false;
    bool leaders = false;
    bool pauses = false;
  };

  Schedule(unsigned seed, const ColdBound& bound, const Faults& faults)
      : random_(seed), faults_(faults) {
    for (int n = 0; n < kLeaders; ++n) {
      issuers_.emplace_back(bound, IssuerOptions{});
      std::map<TargetInstance, double> rates;
      for (const TargetInstance& it : targets_) {
        rates[it] = kRate;
      }
      issuers_.back().SetRates(std::move(rates), now_);
    }
  }

  void Run() {
    for (int n = 0; n < kLeaders; ++n) {
      Poll(n);
    }
    ChangeLeader();
    for (int n = 0; n < kHosts; ++n) {
      hosts_.emplace_back(PermitPool({}, static_cast<std::uint64_t>(n) << 32));
      // The fleet grows while it runs.
      At(milliseconds(n * 60), [this, n] { Arrive(n); });
    }
    while (!events_.empty() && events_.begin()->first < kBegin + kRunTime) {
      auto it = events_.extract(events_.begin());
      now_ = it.key();
      it.mapped()();
    }
  }

  // The largest number of requests that reached a target within one second.
  int LargestSecond() const {
    int largest = 0;
    for (const auto& [target, times] : arrivals_) {
      std::vector<TimePoint> sorted = times;
      std::sort(sorted.begin(), sorted.end());
      size_t first = 0;
      for (size_t n = 0; n < sorted.size(); ++n) {
        while (sorted[n] - sorted[first] >= seconds(1)) {
          ++first;
        }
        largest = std::max(largest, static_cast<int>(n - first + 1));
      }
    }
    return largest;
  }

  size_t CountArrivals() const {
    size_t n = 0;
    for (const auto& [target, times] : arrivals_) {
      n += times.size();
    }
    return n;
  }

 private:
  static constexpr int kLeaders = 3;

  struct Host {
    explicit Host(PermitPool its_pool) : pool(std::move(its_pool)) {}
    PermitPool pool;
    // Requests that wait, by target, with the end of their wait.
    std::map<TargetInstance, std::deque<TimePoint>> waiting;
    TimePoint paused_until{};
    std::optional<TimePoint> next_ask;
  };

  int Random(int n) { return static_cast<int>(random_() % n); }
  milliseconds RandomTime(int ms) { return milliseconds(Random(ms)); }
  bool Chance(int percent) { return Random(100) < percent; }
  void At(Duration delay, std::function<void()> event) {
    events_.emplace(now_ + delay, std::move(event));
  }
  // Events of a paused host happen when it resumes.
  void AtHost(int host, Duration delay, std::function<void()> event) {
    At(delay, [this, host, event = std::move(event)] {
      const TimePoint resumed = hosts_[host].paused_until;
      if (now_ < resumed) {
        AtHost(host, resumed - now_, event);
      } else {
        event();
      }
    });
  }
  void Transmit(const std::function<void(Duration)>& deliver) {
    const int copies = !faults_.messages || Chance(85) ? 1 : Chance(50) ? 0 : 2;
    for (int n = 0; n < copies; ++n) {
      deliver(milliseconds(1) +
              RandomTime(faults_.messages && Chance(10) ? 400 : 4));
    }
  }

  // The store confirms or withdraws the leadership of a process.
  void Poll(int process) {
    const TimePoint asked_at = now_;
    At(RandomTime(faults_.leaders ? 300 : 10), [this, process, asked_at] {
      const bool is_leader = leader_ == process;
      const bool is_lost = faults_.leaders && now_ < store_lost_until_;
      At(RandomTime(faults_.leaders ? 300 : 10),
         [this, process, asked_at, is_leader, is_lost] {
           if (!is_lost) {
             issuers_[process].OnLeadership(is_leader, asked_at, now_);
           }
           At(milliseconds(600), [this, process] { Poll(process); });
         });
    });
  }

  void ChangeLeader() {
    if (!faults_.leaders) {
      return;
    }
    At(milliseconds(2'500) + RandomTime(4'000), [this] {
      leader_ = Random(kLeaders);
      if (Chance(40)) {
        store_lost_until_ = now_ + RandomTime(4'000);
      }
      ChangeLeader();
    });
  }

  void Arrive(int host) {
    Host& it = hosts_[host];
    const TargetInstance& target = targets_[Random(targets_.size())];
    it.pool.Await(target);
    it.waiting[target].push_back(now_ + milliseconds(480));
    AtHost(host, milliseconds(480), [this, host] { Send(host); });
    ScheduleAsk(host);
    if (faults_.pauses && Chance(2)) {
      it.paused_until = now_ + RandomTime(2'000);
    }
    AtHost(host, RandomTime(400), [this, host] { Arrive(host); });
  }

  void ScheduleAsk(int host) {
    Host& it = hosts_[host];
    const auto next = it.pool.NextQuestionAt();
    if (!next || it.next_ask == next) {
      return;
    }
    it.next_ask = next;
    AtHost(host, std::max<Duration>(*next - now_, Duration{}), [this, host] {
      hosts_[host].next_ask.reset();
      for (const PermitQuestion& it : hosts_[host].pool.Wanted(now_)) {
        Ask(host, it);
      }
      ScheduleAsk(host);
    });
  }

  void Ask(int host, const PermitQuestion& question) {
    // Some hosts do not know of the last change yet, so that several processes
    // are asked.
    const int leader = Chance(80) ? leader_ : Random(kLeaders);
    Transmit([&](Duration delay) {
      At(delay, [this, host, leader, question] {
        const auto answer =
            issuers_[leader].Issue(question, absl::StrCat(host), now_);
        if (answer) {
          Transmit([&](Duration back) {
            AtHost(host, back, [this, host, answer] {
              hosts_[host].pool.OnGranted(*answer, now_);
              Send(host);
              ScheduleAsk(host);
            });
          });
        }
      });
    });
  }

  // Sends what is permitted, and drops what has waited too long.
  void Send(int host) {
    Host& it = hosts_[host];
    for (auto& [target, waiting] : it.waiting) {
      while (!waiting.empty()) {
        std::optional<TimePoint> send_by;
        if (now_ < waiting.front()) {
          send_by = it.pool.Take(target, now_);
          if (!send_by) {
            break;
          }
        }
        waiting.pop_front();
        it.pool.StopAwaiting(target);
        if (send_by) {
          Connect(host, target, *send_by);
        }
      }
    }
  }

  void Connect(int host, const TargetInstance& target, TimePoint send_by) {
    AtHost(host, RandomTime(Chance(10) ? 150 : 8), [this, target, send_by] {
      if (now_ < send_by) {
        arrivals_[target].push_back(now_ + RandomTime(90));
      }
    });
  }

  const std::array<TargetInstance, 3> targets_{TargetInstance{.id = "a"},
                                               TargetInstance{.id = "b"},
                                               TargetInstance{.id = "c"}};
  std::mt19937 random_;
  const Faults faults_;
  TimePoint now_ = kBegin;
  std::multimap<TimePoint, std::function<void()>> events_;
  std::deque<PermitIssuer> issuers_;
  std::deque<Host> hosts_;
  std::map<TargetInstance, std::vector<TimePoint>> arrivals_;
  int leader_ = 0;
  TimePoint store_lost_until_{};
};

}  // namespace

// Guards against a cold target that receives more than it can bear from a fleet
// as a whole, whatever happens to messages, leaders and hosts.
TEST_CASE("no second must bring a cold target more requests than the bound") {
  ColdBound bound;
  Schedule::Faults faults;
  int limit = 18;
  size_t least = 0;
  SUBCASE("while all goes well, and then the rate is used") {
    // 3 targets with a burst of 8, and the rate in the time after the wait.
    least = static_cast<size_t>(3 * (8 + kRate * 16.8) * 0.7);
  }
  SUBCASE("while messages are lost, late and duplicated and hosts pause") {
    faults = {.messages = true, .pauses = true};
    least = 100;
    SUBCASE("and leaders change and the store is lost") {
      faults.leaders = true;
      least = 1;
    }
    SUBCASE("with a smaller overage") {
      bound = {.overage = 1, .tolerance = 2};
      limit = 9;
    }
  }
  for (unsigned seed = 1; seed <= 12; ++seed) {
    CAPTURE(seed);
    Schedule schedule(seed, bound, faults);
    schedule.Run();
    CHECK(schedule.LargestSecond() <= limit);
    CHECK(schedule.CountArrivals() >= least);
  }
}

}  // namespace toucandock::core::warmup
