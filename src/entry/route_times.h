#ifndef TOUCANDOCK_ENTRY_ROUTE_TIMES_H_
#define TOUCANDOCK_ENTRY_ROUTE_TIMES_H_

#include <algorithm>
#include <chrono>

#include "core/admission/service_times.h"
#include "core/routing/route_table.h"
#include "core/time.h"

namespace toucandock::entry {

// Mean response times of the routes of one service.
class RouteTimes {
 public:
  // `has_queue`: requests waited at the target when it responded.
  void Add(const core::routing::Route& route,
           core::Duration taken,
           bool has_queue) {
    answers_.Add(route.name, taken);
    if (!has_queue) {
      work_.Add(route.name, taken);
    }
  }
  // Time from sending a request to its response.
  core::Duration AnswerTime(const core::routing::Route& route) const {
    return Known(answers_.Mean(route.name), route);
  }
  // The same without a queue at the target.
  core::Duration WorkTime(const core::routing::Route& route) const {
    return Known(work_.Mean(route.name), route);
  }

 private:
  // Before the first response, a short time is assumed, so that no request is
  // refused that could be served.
  static core::Duration Known(core::Duration mean,
                              const core::routing::Route& route) {
    constexpr core::Duration kAssumed = std::chrono::milliseconds(200);
    return mean > core::Duration{} ? mean
                                   : std::min(kAssumed, route.latency_goal / 2);
  }

  core::admission::ServiceTimes answers_;
  core::admission::ServiceTimes work_;
};

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_ROUTE_TIMES_H_
