#include "core/admission/waiting_list.h"

#include <doctest/doctest.h>

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "core/keyspace/move_times.h"

namespace toucandock::core::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};
constexpr Duration kWork = milliseconds(100);

// Requests that a caller sends at regular intervals.
struct Stream {
  std::string caller = "c";
  std::string lane = "owner";
  int priority = 0;
  milliseconds first{0};
  milliseconds last{2'000};
  milliseconds interval{20};
  milliseconds goal{600};
  milliseconds deadline{3'000};
  // A refused caller comes back this often, after the Retry-After or, if it is
  // impatient, after 10 ms.
  int retries = 1;
  bool is_impatient = false;
};

struct Sent {
  size_t stream = 0;
  TimePoint arrived{};
  TimePoint first_arrived{};
  TimePoint answered{};
  int retries = 0;
  std::string lane;
};

struct Result {
  int sent = 0;
  int served = 0;
  int in_goal = 0;
  // Refused after having waited.
  int held_in_vain = 0;
  std::map<std::string, int> in_goal_by_caller;
  std::map<std::string, int> sent_by_caller;
};

// Applies streams of requests to lanes with a number of slots each, in steps of
// 1 ms, either with a waiting list or first come, first served with the limit
// of 0.6 of the goal that was in force before.
class Load {
 public:
  std::vector<Stream> streams;
  std::map<std::string, int> slots{{"owner", 4}};
  // Time for which a request that starts now occupies the slot.
  std::function<Duration(int slot, milliseconds at)> work_time =
      [](int, milliseconds) { return kWork; };
  std::function<bool(milliseconds at)> is_open = [](milliseconds) {
    return true;
  };
  // Time until the lane can be used, as far as known.
  std::function<Duration(milliseconds at)> first_free = [](milliseconds) {
    return Duration{};
  };

  Result Run(bool first_come) {
    first_come_ = first_come;
    for (size_t n = 0; n < streams.size(); ++n) {
      const Stream& it = streams[n];
      for (milliseconds at = it.first; at < it.last; at += it.interval) {
        arrivals_.emplace(
            kStart + at,
            Sent{.stream = n, .first_arrived = kStart + at, .lane = it.lane});
        ++result_.sent;
        ++result_.sent_by_caller[it.caller];
      }
    }
    for (milliseconds at{0}; at < seconds(12); ++at) {
      now_ = kStart + at;
      Expire();
      Dispatch(at);
      while (!arrivals_.empty() && arrivals_.begin()->first <= now_) {
        Sent it = arrivals_.begin()->second;
        arrivals_.erase(arrivals_.begin());
        Arrive(it, at);
        Dispatch(at);
      }
    }
    return result_;
  }

 private:
  void Arrive(Sent& it, milliseconds at) {
    const Stream& stream = streams[it.stream];
    it.arrived = now_;
    if (first_come_) {
      queue_.push_back(it);
      return;
    }
    const TimePoint answer_by = it.first_arrived + stream.deadline;
    const ReturnedRequest returned = told_.Take(FingerprintOf(it), now_);
    const bool is_new = returned.state == Return::kNew;
    const TimePoint goal_by = is_new ? now_ + stream.goal : returned.goal_by;
    const WaitOffer offer = list_.Offer({.caller = stream.caller,
                                         .lane = it.lane,
                                         .priority = stream.priority,
                                         .returned = returned,
                                         .goal_by = goal_by,
                                         .answer_by = answer_by},
                                        OutlookOf(it.lane, at), now_);
    if (offer.ticket == 0) {
      Refuse(it, offer.refused);
    } else {
      waiting_[offer.ticket] = it;
    }
    for (const DisplacedWait& other : offer.displaced) {
      const Sent displaced = waiting_.at(other.ticket);
      waiting_.erase(other.ticket);
      Refuse(displaced, other.refused);
    }
  }

  LaneOutlook OutlookOf(const std::string& lane, milliseconds at) const {
    return {.answer_time = kWork,
            .first_free = first_free(at),
            .interval = kWork / slots.at(lane)};
  }

  std::string FingerprintOf(const Sent& it) const {
    return absl::StrCat(it.stream, "/",
                        it.first_arrived.time_since_epoch().count());
  }

  void Dispatch(milliseconds at) {
    if (!is_open(at)) {
      return;
    }
    for (const auto& [lane, n] : slots) {
      std::vector<TimePoint>& busy = busy_until_[lane];
      busy.resize(static_cast<size_t>(n));
      for (int slot = 0; slot < n; ++slot) {
        if (busy[static_cast<size_t>(slot)] > now_) {
          continue;
        }
        const auto next = TakeNext(lane);
        if (!next) {
          break;
        }
        const TimePoint end = now_ + work_time(slot, at);
        busy[static_cast<size_t>(slot)] = end;
        const Stream& stream = streams[next->stream];
        result_.served += end <= next->first_arrived + stream.deadline ? 1 : 0;
        if (end <= next->first_arrived + stream.goal) {
          ++result_.in_goal;
          ++result_.in_goal_by_caller[stream.caller];
        }
      }
    }
  }

  std::optional<Sent> TakeNext(const std::string& lane) {
    if (first_come_) {
      for (auto it = queue_.begin(); it != queue_.end(); ++it) {
        if (it->lane == lane) {
          const Sent next = *it;
          queue_.erase(it);
          return next;
        }
      }
      return std::nullopt;
    }
    const Ticket ticket = list_.At(lane, 0);
    if (ticket == 0) {
      return std::nullopt;
    }
    list_.OnSent(ticket, now_);
    const Sent next = waiting_.at(ticket);
    waiting_.erase(ticket);
    return next;
  }

  // Ends the waits that have lasted as long as they may.
  void Expire() {
    std::vector<Sent> ended;
    for (auto it = queue_.begin(); it != queue_.end();) {
      if (now_ >= it->arrived + streams[it->stream].goal * 3 / 5) {
        ended.push_back(*it);
        it = queue_.erase(it);
      } else {
        ++it;
      }
    }
    for (const Sent& it : ended) {
      ++result_.held_in_vain;
      Refuse(it, {.comeback = {.retry_after = milliseconds(250)}});
    }
    const std::map<Ticket, Sent> waiting = waiting_;
    for (const auto& [ticket, it] : waiting) {
      if (now_ < list_.WaitUntil(ticket)) {
        continue;
      }
      const auto refused = list_.OnTimeUp(
          ticket,
          OutlookOf(it.lane,
                    std::chrono::duration_cast<milliseconds>(now_ - kStart)),
          now_);
      if (refused) {
        waiting_.erase(ticket);
        ++result_.held_in_vain;
        Refuse(it, *refused);
      }
    }
  }

  void Refuse(Sent it, const RefusedWait& refused) {
    const Stream& stream = streams[it.stream];
    told_.Add(FingerprintOf(it), refused.comeback,
              it.first_arrived + stream.goal, now_);
    if (it.retries++ < stream.retries) {
      arrivals_.emplace(
          now_ + (stream.is_impatient ? Duration(milliseconds(10))
                                      : refused.comeback.retry_after),
          it);
    }
  }

  bool first_come_ = false;
  TimePoint now_{};
  std::multimap<TimePoint, Sent> arrivals_;
  std::deque<Sent> queue_;
  WaitingList list_{{}};
  ToldReturns told_{{}};
  std::map<Ticket, Sent> waiting_;
  std::map<std::string, std::vector<TimePoint>> busy_until_;
  Result result_;
};

struct Comparison {
  Result list;
  Result first_come;
};

Comparison Compare(const Load& load) {
  Load with_list = load;
  Load first_come = load;
  Comparison result{.list = with_list.Run(false),
                    .first_come = first_come.Run(true)};
  INFO("of ", result.list.sent, ": served ", result.list.served, " (",
       result.first_come.served, " first come), in goal ", result.list.in_goal,
       " (", result.first_come.in_goal, "), held in vain ",
       result.list.held_in_vain, " (", result.first_come.held_in_vain, ")");
  // Guards against an order that serves some at the expense of the whole.
  CHECK(result.list.served >= result.first_come.served);
  CHECK(result.list.in_goal >= result.first_come.in_goal);
  return result;
}

}  // namespace

TEST_CASE("a load must be served no worse than first come, first served") {
  Load load;

  // Guards against refusing what finds a free slot.
  SUBCASE("that fits the capacity") {
    load.streams = {{.interval = milliseconds(26)}};
    Comparison it = Compare(load);
    CHECK(it.list.in_goal == it.list.sent);
  }

  SUBCASE("a wave, above the capacity for a second and below it then") {
    load.streams = {{.interval = milliseconds(30)},
                    {.caller = "d",
                     .first = milliseconds(500),
                     .last = milliseconds(1'500),
                     .interval = milliseconds(30)}};
    Comparison it = Compare(load);
    CHECK(it.list.in_goal > it.list.sent * 8 / 10);
  }

  // Guards against urgent requests that wait behind many less urgent ones.
  SUBCASE("a surge of one kind") {
    load.streams = {
        {.caller = "urgent",
         .interval = milliseconds(50),
         .goal = milliseconds(400)},
        {.caller = "bulk", .priority = 2, .interval = milliseconds(10)}};
    Comparison it = Compare(load);
    CHECK(it.list.in_goal_by_caller.at("urgent") ==
          it.list.sent_by_caller.at("urgent"));
    CHECK(it.first_come.in_goal_by_caller["urgent"] <
          it.first_come.sent_by_caller.at("urgent"));
  }

  // Guards against a hot key that uses up the room for the others.
  SUBCASE("a crowd on one key") {
    load.slots["hot"] = 4;
    load.streams = {
        {.caller = "others", .interval = milliseconds(30)},
        {.caller = "crowd", .lane = "hot", .interval = milliseconds(4)}};
    Comparison it = Compare(load);
    CHECK(it.list.in_goal_by_caller.at("others") ==
          it.list.sent_by_caller.at("others"));
    CHECK(it.list.held_in_vain < it.first_come.held_in_vain / 2);
  }

  // Guards against callers that get more by asking more often.
  SUBCASE("impatient callers that try again at once") {
    load.streams = {{.caller = "patient", .interval = milliseconds(70)},
                    {.caller = "impatient",
                     .interval = milliseconds(10),
                     .retries = 300,
                     .is_impatient = true}};
    Comparison it = Compare(load);
    CHECK(it.list.in_goal_by_caller.at("patient") + 1 >=
          it.list.sent_by_caller.at("patient"));
    CHECK(it.first_come.in_goal_by_caller["patient"] <
          it.first_come.sent_by_caller.at("patient"));
  }

  // Guards against serving requests that are late already while those that
  // arrive become late as well.
  SUBCASE("a backlog after an outage") {
    load.streams = {
        {.last = milliseconds(4'000), .interval = milliseconds(26)}};
    load.is_open = [](milliseconds at) {
      return at < milliseconds(500) || at > milliseconds(2'500);
    };
    Comparison it = Compare(load);
    CHECK(it.list.in_goal > it.list.sent * 4 / 10);
  }

  // Guards against a prediction that keeps to the assumed capacity.
  SUBCASE("half of the targets slow") {
    load.slots["owner"] = 8;
    load.streams = {{.interval = milliseconds(14)}};
    load.work_time = [](int slot, milliseconds) {
      return slot % 2 == 0 ? kWork : 3 * kWork;
    };
    Comparison it = Compare(load);
    CHECK(it.list.held_in_vain <= it.first_come.held_in_vain / 2);
  }

  // Guards against holding each request for a key that gets no owner in time.
  SUBCASE("a leader lost at the load peak, so that moves take 5 s") {
    load.streams = {
        {.last = milliseconds(7'000), .interval = milliseconds(26)}};
    load.is_open = [](milliseconds at) {
      return at < milliseconds(500) || at > milliseconds(5'500);
    };
    const keyspace::MoveTimes::IsServed by_record =
        [](const keyspace::Assignment& it) { return it.serving; };
    auto moves = std::make_shared<keyspace::MoveTimes>();
    moves->Update({{.serving = false}}, by_record, kStart + milliseconds(500));
    load.first_free = [moves](milliseconds at) {
      return at < milliseconds(500) || at > milliseconds(5'500)
                 ? Duration{}
                 : moves->RemainingFor(7, kStart + at);
    };
    Comparison it = Compare(load);
    CHECK(it.list.held_in_vain < it.first_come.held_in_vain / 3);
  }
}

TEST_CASE("a request must wait only if its response can come in time") {
  WaitingList list({.max_requests = 4});
  const LaneOutlook outlook{.answer_time = kWork,
                            .interval = milliseconds(200)};
  const auto request = [&](const std::string& caller, int priority,
                           milliseconds goal) {
    return WaitingRequest{.caller = caller,
                          .lane = "owner",
                          .priority = priority,
                          .goal_by = kStart + goal,
                          .answer_by = kStart + seconds(3)};
  };
  const auto offer = [&](const WaitingRequest& it) {
    return list.Offer(it, outlook, kStart);
  };
  const WaitOffer first = offer(request("a", 1, milliseconds(350)));
  REQUIRE(first.ticket != 0);
  const WaitOffer second = offer(request("a", 1, milliseconds(350)));
  REQUIRE(second.ticket != 0);

  SUBCASE("one behind as many as fit is refused at once") {
    const WaitOffer third = offer(request("a", 1, milliseconds(350)));
    CHECK(third.ticket == 0);
    CHECK(third.refused.reason == WaitRefusal::kTooLate);

    SUBCASE("and told when there is capacity, one caller after the other") {
      CHECK(third.refused.comeback.retry_after == milliseconds(400));
      CHECK(offer(request("a", 1, milliseconds(350)))
                .refused.comeback.retry_after > milliseconds(600));
    }
    SUBCASE("but never later than it would heed") {
      std::set<Duration> told;
      for (int n = 0; n < 100; ++n) {
        const Duration it = offer(request("a", 1, milliseconds(350)))
                                .refused.comeback.retry_after;
        CHECK(it <= milliseconds(1'000));
        told.insert(it);
      }
      CHECK(told.size() > 95);
    }
  }
  SUBCASE("a more urgent one goes first and displaces the last") {
    const WaitOffer urgent = offer(request("b", 0, milliseconds(350)));
    REQUIRE(urgent.ticket != 0);
    CHECK(list.At("owner", 0) == urgent.ticket);
    REQUIRE(urgent.displaced.size() == 1);
    CHECK(urgent.displaced[0].ticket == second.ticket);
  }
  SUBCASE("one that came back as told goes before new ones") {
    WaitingRequest returned = request("b", 1, milliseconds(350));
    returned.returned = {.state = Return::kAsTold, .is_reserved = true};
    CHECK(list.At("owner", 0) == offer(returned).ticket);
  }
  SUBCASE("one that came back too early goes last and keeps its time") {
    WaitingRequest early = request("b", 1, milliseconds(350));
    early.returned = {.state = Return::kEarly,
                      .told_at = kStart + milliseconds(700)};
    early.answer_by = kStart + seconds(1);
    list.Remove(second.ticket);
    CHECK(list.At("owner", 1) == offer(early).ticket);
    CHECK(offer(early).refused.comeback.retry_after == milliseconds(700));
  }
  SUBCASE("a caller with fewer requests takes the place of one with more") {
    const WaitOffer other = offer(request("b", 1, milliseconds(350)));
    CHECK(other.ticket != 0);
    REQUIRE(other.displaced.size() == 1);
    CHECK(other.displaced[0].ticket == second.ticket);
    // Both callers now have the same number.
    CHECK(offer(request("b", 1, milliseconds(350))).ticket == 0);
  }
  SUBCASE("a late one waits only while none is waiting that is not") {
    CHECK(offer(request("c", 1, milliseconds(50))).ticket == 0);
    list.Remove(first.ticket);
    list.Remove(second.ticket);
    CHECK(offer(request("c", 1, milliseconds(50))).ticket != 0);
  }
  SUBCASE("at its time it waits on as a late one, if it is alone") {
    list.Remove(first.ticket);
    const TimePoint until = list.WaitUntil(second.ticket);
    CHECK(until == kStart + milliseconds(250));
    CHECK_FALSE(list.OnTimeUp(second.ticket, outlook, until).has_value());
    CHECK(list.RankOf(second.ticket).is_late);
    CHECK(
        list.OnTimeUp(second.ticket, outlook, until + seconds(1)).has_value());
    CHECK(list.size() == 0);
  }
  SUBCASE("the whole list is bounded, but not for more urgent ones") {
    WaitingRequest elsewhere = request("a", 1, milliseconds(350));
    elsewhere.lane = "other";
    REQUIRE(offer(elsewhere).ticket != 0);
    REQUIRE(offer(elsewhere).ticket != 0);
    elsewhere.lane = "third";
    CHECK(offer(elsewhere).refused.reason == WaitRefusal::kListFull);
    elsewhere.priority = 0;
    const WaitOffer urgent = offer(elsewhere);
    CHECK(urgent.ticket != 0);
    CHECK(urgent.displaced.size() == 1);
    CHECK(list.size() == 4);
  }
  SUBCASE("requests moved to an owner with too little room learn so at once") {
    for (const Ticket it : {first.ticket, second.ticket}) {
      list.MoveTo(it, "new owner", kStart);
    }
    CHECK(list.SizeOf("owner") == 0);
    const LaneOutlook slow{.answer_time = kWork, .interval = seconds(1)};
    const auto refused = list.Trim("new owner", slow, kStart);
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].ticket == second.ticket);
  }
}

TEST_CASE("the interval at which capacity is freed must follow what is seen") {
  FreedCapacity freed;
  freed.Assume(milliseconds(25), kStart);
  freed.OnFirstWaiting(kStart);
  TimePoint now = kStart;
  for (int n = 0; n < 40; ++n) {
    now += milliseconds(100);
    freed.OnFreed(now);
  }
  CHECK(freed.Interval(now) > milliseconds(95));
  CHECK(freed.Interval(now) <= milliseconds(100));

  SUBCASE("an outage of seconds does not make waits look hopeless") {
    CHECK(freed.Interval(now + seconds(4)) < milliseconds(150));
  }
  SUBCASE("nor does a time in which nothing waited") {
    freed.OnNoneWaiting();
    CHECK(freed.Interval(now + seconds(4)) <= milliseconds(100));
    SUBCASE("after which the assumption applies again") {
      freed.Assume(milliseconds(25), now + seconds(6));
      CHECK(freed.Interval(now + seconds(6)) == milliseconds(25));
    }
  }
}

// Guards against callers that retry too early and get precedence for it.
TEST_CASE("only a caller that comes back as told must count as returned") {
  ToldReturns told({.max_entries = 2});
  told.Add("a", {.retry_after = milliseconds(200), .is_reserved = true},
           kStart + seconds(1), kStart);
  CHECK(told.Take("b", kStart).state == Return::kNew);
  CHECK(told.Take("a", kStart + milliseconds(100)).state == Return::kEarly);
  const ReturnedRequest it = told.Take("a", kStart + milliseconds(210));
  CHECK(it.state == Return::kAsTold);
  CHECK(it.goal_by == kStart + seconds(1));
  CHECK(told.Take("a", kStart + milliseconds(210)).state == Return::kNew);
  SUBCASE("not if it comes much later") {
    told.Add("a", {.retry_after = milliseconds(200), .is_reserved = true},
             kStart + seconds(1), kStart);
    CHECK(told.Take("a", kStart + seconds(4)).state == Return::kNew);
  }
  SUBCASE("in bounded memory") {
    for (int n = 0; n < 10; ++n) {
      told.Add(absl::StrCat(n), {.retry_after = milliseconds(200)}, kStart,
               kStart);
    }
    CHECK(told.size() == 2);
  }
}

}  // namespace toucandock::core::admission
