#ifndef TOUCANDOCK_DAEMON_DAEMON_H_
#define TOUCANDOCK_DAEMON_DAEMON_H_

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include "absl/status/status.h"
#include "daemon/attempt_service.h"
#include "daemon/control_clients.h"
#include "daemon/control_loop.h"
#include "daemon/control_trace.h"
#include "daemon/operator_handler.h"
#include "daemon/peer_link.h"
#include "daemon/poison_service.h"
#include "daemon/work_pool.h"
#include "http/client.h"
#include "http/server.h"
#include "observe/decision_history.h"
#include "observe/metrics.h"
#include "observe/ownership_watch.h"
#include "peer/json_rpc.h"
#include "platform/log_client.h"
#include "proxy/caller_handler.h"
#include "proxy/in_flight_table.h"
#include "proxy/key_meter.h"
#include "proxy/published_view.h"
#include "proxy/slot_gate.h"
#include "proxy/target_client.h"
#include "settings/settings.h"

namespace toucandock::daemon {

// One entry host: connects the control loop, the serving of callers, the peers
// and the platform's services, and owns all threads.
class Daemon {
 public:
  explicit Daemon(settings::Settings settings);
  ~Daemon();

  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  absl::Status Start();
  // Requests a planned stop. May be called from any thread.
  void RequestStop();
  // Blocks until a stop has been requested and completed.
  void WaitUntilStopped();

 private:
  absl::Status StartServers();
  absl::Status WriteAddresses() const;
  void StartControl();
  void StopGracefully();

  void Perform(const core::control::Action& action,
               const core::control::HostController& controller);
  void Send(const core::control::AppendAction& action);
  void Send(const core::control::SendRenewAction& action);
  void Send(const core::control::SendVoteAction& action);
  void Send(const core::control::FetchStateAction& action);
  void Send(const core::control::SendNotifyAction& action);
  void Send(const core::control::SendGrantAction& action);
  void Send(const core::control::SendProbeAction& action);
  void RecordDecision(const std::string& what, const std::string& cause);
  void AfterEvent(const core::control::HostController& controller,
                  core::TimePoint now);

  bool CountsAsObservation(const std::string& address,
                           const core::control::TargetAnswer& answer);

  std::vector<peer::Method> PeerMethods();
  http::Response ServePeer(const http::Request& request);
  OperatorHooks MakeOperatorHooks();
  observe::OwnershipHooks MakeOwnershipHooks();
  proxy::CallerHandlerHooks MakeCallerHandlerHooks();
  void StartRequestServices();
  ProbeResult ProbeForCrash(const std::string& address);
  void ReadLog();
  void ReadHostList();
  bool SleepUnlessStopping(std::chrono::nanoseconds duration);

  const settings::Settings settings_;
  const std::string host_id_;
  http::Client client_;
  observe::Metrics metrics_;
  ControlClients control_clients_;
  PeerLink peers_;
  observe::DecisionHistory history_;
  ControlTrace trace_;
  observe::OwnershipWatch ownership_;
  proxy::PublishedView view_;
  proxy::InFlightTable in_flight_;
  proxy::KeyMeter key_meter_;
  proxy::SlotGate gate_;
  proxy::TargetClient targets_;
  platform::LogClient log_;
  std::unique_ptr<AttemptService> attempts_;
  std::unique_ptr<PoisonService> poison_;
  std::unique_ptr<ControlLoop> control_;
  std::unique_ptr<proxy::CallerHandler> caller_handler_;
  std::unique_ptr<OperatorHandler> operator_handler_;
  std::unique_ptr<peer::JsonRpcServer> rpc_;
  std::unique_ptr<http::Server> caller_server_;
  std::unique_ptr<http::Server> peer_server_;
  std::unique_ptr<http::Server> operator_server_;
  std::thread log_thread_;
  std::thread host_list_thread_;

  // A stop has been requested; new requests of callers are refused.
  std::atomic<bool> stopping_ = false;
  // The stop is complete; the threads that read the log and the host list end.
  std::atomic<bool> ended_ = false;
  std::mutex stop_mutex_;
  std::mutex listed_mutex_;
  // Addresses in the latest host list.
  std::set<std::string> listed_addresses_;
  std::condition_variable stop_requested_;
  // Declared last, so that their threads end before the objects that they use
  // are destroyed.
  std::unique_ptr<WorkPool> request_pool_;
  std::unique_ptr<WorkPool> pool_;
};

}  // namespace toucandock::daemon

#endif  // TOUCANDOCK_DAEMON_DAEMON_H_
