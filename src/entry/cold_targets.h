#ifndef TOUCANDOCK_ENTRY_COLD_TARGETS_H_
#define TOUCANDOCK_ENTRY_COLD_TARGETS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/routing/route_table.h"
#include "core/time.h"
#include "core/warmup/permit_pool.h"
#include "core/warmup/target_returns.h"
#include "entry/entry_metrics.h"
#include "entry/routing_view.h"
#include "entry/target_connection.h"
#include "entry/target_handle.h"
#include "net/header_names.h"

namespace toucandock::entry {

struct ColdTargetHooks {
  // Sends questions to the leader.
  std::function<void(const std::vector<core::warmup::PermitQuestion>&)> ask;
  // Called when more requests can be sent to the target than before.
  std::function<void(const core::discovery::TargetInstance&)> on_available;
};

// Limits the requests of this host to cold targets of services with a limit.
// Used on the traffic thread only.
class ColdTargets {
 public:
  ColdTargets(boost::asio::io_context& io,
              const net::HeaderNames& names,
              std::shared_ptr<AnswerMemory> memory,
              EntryMetrics& metrics,
              ColdTargetHooks hooks);

  void OnView(const RoutingView& view);
  // Returns until when the target may receive requests only with a permit;
  // nothing if it may receive any number.
  std::optional<core::TimePoint> ColdUntil(
      const core::discovery::ListedTarget& target,
      core::TimePoint now) const;
  // Uses up a permit. Returns the time before which the request must be sent.
  std::optional<core::TimePoint> TakePermit(
      const core::discovery::ListedTarget& target,
      core::TimePoint now);
  bool HasPermit(const core::discovery::TargetInstance& target,
                 core::TimePoint now) const {
    return permits_.HasPermit(target, now);
  }
  // One more request waits for a permit for the target, or one less.
  void Await(const core::discovery::TargetInstance& target);
  void StopAwaiting(const core::discovery::TargetInstance& target);
  std::uint32_t CountWaiting(
      const core::discovery::TargetInstance& target) const {
    return permits_.CountWaiting(target);
  }
  // Returns when a request before which `ahead` others wait for permits can be
  // sent to a target that is cold until `cold_until`: when the target is warm
  // or a permit is expected.
  core::TimePoint AvailableAt(const core::discovery::ListedTarget& target,
                              core::TimePoint cold_until,
                              std::uint32_t ahead,
                              core::TimePoint now) const;
  void OnPermits(const std::vector<core::warmup::PermitAnswer>& answers);

  // A connection to the target was refused, or not accepted in time.
  void OnUnreachable(const core::discovery::TargetEntry& target);
  // The target has accepted a connection.
  void OnAccepted(const TargetHandle& handle, core::TimePoint now);

 private:
  // A health request that waits for a permit.
  struct PendingHealth {
    net::Tcp::endpoint endpoint;
    std::string path;
  };

  const core::routing::RoutedService* LimitedService(
      const std::string& service) const;
  void ScheduleQuestions();
  void AskForPermits();
  void SendHealth(const core::discovery::TargetInstance& target,
                  core::TimePoint now);
  void DropSettledReturns(core::TimePoint now);

  boost::asio::io_context& io_;
  const net::HeaderNames& names_;
  const std::shared_ptr<AnswerMemory> memory_;
  EntryMetrics& metrics_;
  const ColdTargetHooks hooks_;
  std::shared_ptr<const core::routing::RouteTable> routes_;
  core::warmup::PermitPool permits_;
  core::warmup::TargetReturns returns_;
  std::map<core::discovery::TargetInstance, PendingHealth> pending_health_;
  boost::asio::steady_timer question_timer_;
};

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_COLD_TARGETS_H_
