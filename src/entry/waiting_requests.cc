#include "entry/waiting_requests.h"

#include <set>
#include <utility>
#include <vector>

#include "entry/exchange.h"

namespace toucandock::entry {
namespace {

using core::TimePoint;
using core::admission::DisplacedWait;
using core::admission::RefusedWait;
using core::admission::Ticket;
using core::admission::WaitOffer;

// Number of requests at the head of a lane that are tried. A target with recent
// failures takes only requests that may be repeated, so the first one may have
// to wait while a later one can be sent.
constexpr size_t kMaxTried = 8;

}  // namespace

WaitingRequests::WaitingRequests(
    boost::asio::io_context& io,
    EntryMetrics& metrics,
    core::Duration dispatch_interval,
    const core::admission::WaitingListOptions& options,
    WaitingHooks hooks)
    : metrics_(metrics),
      dispatch_interval_(dispatch_interval),
      options_(options),
      hooks_(std::move(hooks)),
      timer_(io) {}

WaitingRequests::Service& WaitingRequests::ServiceFor(
    const std::string& service) {
  return services_.try_emplace(service, options_).first->second;
}

void WaitingRequests::SendOrAdd(const ExchangePtr& exchange, TimePoint now) {
  Service& service = ServiceFor(exchange->service);
  const std::string lane = hooks_.lane_of(*exchange);
  DispatchLane(exchange->service, lane, now);
  if (service.list.SizeOf(lane) == 0) {
    if (!hooks_.try_send(exchange, now)) {
      Add(service, exchange, lane, now);
    }
    return;
  }
  if (hooks_.end_if_unavailable(exchange, now)) {
    return;
  }
  Add(service, exchange, lane, now);
  if (exchange->ticket != 0) {
    DispatchLane(exchange->service, lane, now);
  }
}

void WaitingRequests::Add(Service& service,
                          const ExchangePtr& exchange,
                          const std::string& lane,
                          TimePoint now) {
  const WaitOffer offer =
      service.list.Offer({.caller = exchange->caller,
                          .lane = lane,
                          .priority = exchange->route->priority,
                          .returned = exchange->returned,
                          .may_have_run = exchange->may_have_run,
                          .goal_by = exchange->goal_by,
                          .answer_by = exchange->answer_by},
                         hooks_.outlook_of(*exchange, now), now);
  if (offer.ticket != 0) {
    exchange->ticket = offer.ticket;
    service.exchanges[offer.ticket] = exchange;
    metrics_.AddWaiting(exchange->service, service.list.RankOf(offer.ticket),
                        1);
    hooks_.set_timer(exchange, service.list.WaitUntil(offer.ticket));
    StartTimer();
  }
  RefuseDisplaced(service, offer.displaced);
  if (offer.ticket == 0) {
    Refuse(exchange, offer.refused);
  }
}

void WaitingRequests::Refuse(const ExchangePtr& exchange,
                             const RefusedWait& refused) {
  metrics_.CountWaitRefusal(exchange->service, refused.reason);
  hooks_.refuse(exchange, refused);
}

void WaitingRequests::RefuseDisplaced(
    Service& service,
    const std::vector<DisplacedWait>& displaced) {
  std::vector<std::pair<ExchangePtr, RefusedWait>> refused;
  for (const DisplacedWait& it : displaced) {
    const ExchangePtr exchange = service.exchanges.at(it.ticket);
    metrics_.AddWaiting(exchange->service, it.rank, -1);
    Forget(service, *exchange);
    refused.emplace_back(exchange, it.refused);
  }
  for (const auto& [exchange, reason] : refused) {
    Refuse(exchange, reason);
  }
}

void WaitingRequests::Forget(Service& service, Exchange& exchange) {
  service.exchanges.erase(exchange.ticket);
  exchange.ticket = 0;
}

void WaitingRequests::OnSent(Exchange& exchange, TimePoint now) {
  if (exchange.ticket == 0) {
    return;
  }
  Service& service = ServiceFor(exchange.service);
  if (const auto ended = service.list.OnSent(exchange.ticket, now)) {
    metrics_.AddWaiting(exchange.service, ended->rank, -1);
    metrics_.ObserveWait(exchange.service, ended->predicted, ended->actual);
  }
  Forget(service, exchange);
}

void WaitingRequests::Remove(Exchange& exchange) {
  if (exchange.ticket == 0) {
    return;
  }
  Service& service = ServiceFor(exchange.service);
  metrics_.AddWaiting(exchange.service, service.list.RankOf(exchange.ticket),
                      -1);
  service.list.Remove(exchange.ticket);
  Forget(service, exchange);
}

void WaitingRequests::OnTimeUp(const ExchangePtr& exchange, TimePoint now) {
  if (exchange->ticket == 0) {
    return;
  }
  Service& service = ServiceFor(exchange->service);
  const Ticket ticket = exchange->ticket;
  metrics_.AddWaiting(exchange->service, service.list.RankOf(ticket), -1);
  const auto refused =
      service.list.OnTimeUp(ticket, hooks_.outlook_of(*exchange, now), now);
  if (refused) {
    Forget(service, *exchange);
    Refuse(exchange, *refused);
    return;
  }
  metrics_.AddWaiting(exchange->service, service.list.RankOf(ticket), 1);
  hooks_.set_timer(exchange, service.list.WaitUntil(ticket));
}

void WaitingRequests::Dispatch(const std::string& service, TimePoint now) {
  for (const std::string& lane : ServiceFor(service).list.Lanes()) {
    DispatchLane(service, lane, now);
  }
}

void WaitingRequests::DispatchLane(const std::string& service,
                                   const std::string& lane,
                                   TimePoint now) {
  const Service& it = ServiceFor(service);
  size_t skipped = 0;
  while (skipped < kMaxTried) {
    const Ticket ticket = it.list.At(lane, skipped);
    if (ticket == 0) {
      return;
    }
    const ExchangePtr exchange = it.exchanges.at(ticket);
    hooks_.try_send(exchange, now);
    if (exchange->ticket == ticket) {
      ++skipped;
    }
  }
}

void WaitingRequests::OnViewChanged(TimePoint now) {
  for (auto& [name, service] : services_) {
    std::set<std::string> changed;
    for (const auto& [ticket, exchange] : service.exchanges) {
      const std::string lane = hooks_.lane_of(*exchange);
      if (lane != service.list.LaneOf(ticket)) {
        service.list.MoveTo(ticket, lane, now);
        changed.insert(lane);
      }
    }
    Dispatch(name, now);
    // The moved requests were accepted by the time of a move alone, and the
    // new owner may have less room than they need.
    for (const std::string& lane : changed) {
      if (const Ticket first = service.list.At(lane, 0); first != 0) {
        const ExchangePtr exchange = service.exchanges.at(first);
        RefuseDisplaced(
            service,
            service.list.Trim(lane, hooks_.outlook_of(*exchange, now), now));
      }
    }
  }
}

// Tries the first requests of all lanes at regular intervals, because targets
// also become available without an event: pauses end and reported loads expire.
void WaitingRequests::StartTimer() {
  if (is_timer_running_) {
    return;
  }
  is_timer_running_ = true;
  timer_.expires_after(dispatch_interval_);
  timer_.async_wait([this](const boost::system::error_code& ec) {
    if (ec) {
      return;
    }
    is_timer_running_ = false;
    const TimePoint now = std::chrono::steady_clock::now();
    bool has_waiting = false;
    for (const auto& [name, service] : services_) {
      Dispatch(name, now);
      has_waiting = has_waiting || service.list.size() > 0;
    }
    if (has_waiting) {
      StartTimer();
    }
  });
}

}  // namespace toucandock::entry
