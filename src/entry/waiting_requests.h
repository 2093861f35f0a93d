#ifndef TOUCANDOCK_ENTRY_WAITING_REQUESTS_H_
#define TOUCANDOCK_ENTRY_WAITING_REQUESTS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "core/admission/waiting_list.h"
#include "core/time.h"
#include "entry/entry_metrics.h"

namespace toucandock::entry {

class Exchange;

struct WaitingHooks {
  // Sends or ends the request if that is possible now. Returns false if it has
  // to wait.
  std::function<bool(const std::shared_ptr<Exchange>&, core::TimePoint)>
      try_send;
  // Ends the request if no target can take it in time. Returns whether it has.
  std::function<bool(const std::shared_ptr<Exchange>&, core::TimePoint)>
      end_if_unavailable;
  // Names the capacity that the request waits for.
  std::function<std::string(const Exchange&)> lane_of;
  std::function<core::admission::LaneOutlook(const Exchange&, core::TimePoint)>
      outlook_of;
  // Asks for a call of OnTimeUp() at the time.
  std::function<void(const std::shared_ptr<Exchange>&, core::TimePoint)>
      set_timer;
  std::function<void(const std::shared_ptr<Exchange>&,
                     const core::admission::RefusedWait&)>
      refuse;
};

// The requests for which no target has room, with one waiting list for each
// service. Used on the traffic thread only.
class WaitingRequests {
 public:
  WaitingRequests(boost::asio::io_context& io,
                  EntryMetrics& metrics,
                  core::Duration dispatch_interval,
                  const core::admission::WaitingListOptions& options,
                  WaitingHooks hooks);

  // Sends the request at once if a target has room and no other one waits for
  // it. Otherwise the request waits or is refused.
  void SendOrAdd(const std::shared_ptr<Exchange>& exchange,
                 core::TimePoint now);
  // These do nothing if the request does not wait.
  void OnSent(Exchange& exchange, core::TimePoint now);
  void Remove(Exchange& exchange);
  void OnTimeUp(const std::shared_ptr<Exchange>& exchange, core::TimePoint now);

  // Sends what can be sent of all lanes of the service, or of one lane.
  void Dispatch(const std::string& service, core::TimePoint now);
  void DispatchLane(const std::string& service,
                    const std::string& lane,
                    core::TimePoint now);
  // Targets or the owners of keys have changed.
  void OnViewChanged(core::TimePoint now);

 private:
  using ExchangePtr = std::shared_ptr<Exchange>;
  // Waiting requests of one service.
  struct Service {
    explicit Service(const core::admission::WaitingListOptions& options)
        : list(options) {}

    core::admission::WaitingList list;
    absl::flat_hash_map<core::admission::Ticket, ExchangePtr> exchanges;
  };

  Service& ServiceFor(const std::string& service);
  void Add(Service& service,
           const ExchangePtr& exchange,
           const std::string& lane,
           core::TimePoint now);
  void Refuse(const ExchangePtr& exchange,
              const core::admission::RefusedWait& refused);
  void RefuseDisplaced(
      Service& service,
      const std::vector<core::admission::DisplacedWait>& displaced);
  void Forget(Service& service, Exchange& exchange);
  void StartTimer();

  EntryMetrics& metrics_;
  const core::Duration dispatch_interval_;
  const core::admission::WaitingListOptions options_;
  const WaitingHooks hooks_;
  std::map<std::string, Service> services_;
  boost::asio::steady_timer timer_;
  bool is_timer_running_ = false;
};

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_WAITING_REQUESTS_H_
