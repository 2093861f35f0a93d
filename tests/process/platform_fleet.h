#ifndef TOUCANDOCK_PROCESS_PLATFORM_FLEET_H_
#define TOUCANDOCK_PROCESS_PLATFORM_FLEET_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "http/client.h"
#include "process/child_process.h"
#include "process/work_folder.h"

namespace toucandock::process {

struct PlatformFleetOptions {
  size_t hosts = 3;
  // Targets of the keyed service "callboard" and of the service "lodger", which
  // has no keys.
  size_t keyed_targets = 4;
  size_t plain_targets = 3;
  // Limit of a request's body in the configuration.
  size_t max_body_bytes = 1 << 20;
  // Each host reaches the store, and each target is reached, through a relay of
  // its own, so that a test can cut the connection.
  bool relays = false;
};

struct PlatformHost {
  std::string name;
  std::unique_ptr<ChildProcess> process;
  std::string caller_address;
  std::string readiness_address;
  std::string metrics_address;
  // Control address of the relay to the store.
  std::string relay_control;
  std::string store_address;
  std::unique_ptr<ChildProcess> relay;
};

struct PlatformTarget {
  std::string id;
  bool keyed = false;
  std::unique_ptr<ChildProcess> process;
  std::string address;
  std::string journal_file;
  std::string relay_control;
  // Address that the store lists: the relay's, or empty for the target's own.
  std::string listed_address;
  std::unique_ptr<ChildProcess> relay;
};

// Starts toucandock-entry hosts and stand-ins for the store and the targets of
// the users' platform, each as a process. The destructor kills the processes.
class PlatformFleet {
 public:
  explicit PlatformFleet(const PlatformFleetOptions& options);
  ~PlatformFleet();

  PlatformFleet(const PlatformFleet&) = delete;
  PlatformFleet& operator=(const PlatformFleet&) = delete;

  // Writes the next version of the configuration to the store.
  bool PublishConfig(std::chrono::milliseconds timeout);
  // Writes an entry to the store's list of targets as another writer would.
  bool WriteTargetEntry(const std::string& id, const std::string& text);
  // Evacuates a failure domain as the operator does, or revokes that.
  bool SetEvacuated(const std::string& failure_domain, bool evacuated);
  bool IsReady(size_t host);
  void WaitUntilReady();
  std::string Metrics(size_t host);

  size_t host_count() const { return hosts_.size(); }
  PlatformHost& host(size_t n) { return hosts_.at(n); }
  // Starts or restarts the process of the host.
  void StartHost(size_t n);
  // The current address: a restarted host has another port. Thread-safe.
  std::string CallerAddress(size_t n);

  size_t target_count() const { return targets_.size(); }
  PlatformTarget& target(size_t n) { return targets_.at(n); }
  // Starts a new process with the same id at another address.
  void StartTarget(size_t n);

  // Each of these returns whether the stand-in accepted the request.
  bool SetStoreFault(const std::string& query);
  bool SetTargetFault(size_t n, const std::string& query);
  bool SetRelay(const std::string& relay_control, const std::string& query);
  ChildProcess& store() { return *store_; }
  WorkFolder& folder() { return folder_; }

 private:
  void StartRelay(const std::string& name,
                  std::string& control,
                  std::string& address,
                  std::unique_ptr<ChildProcess>& process);
  bool Post(const std::string& address,
            const std::string& path,
            const std::string& query);
  bool Append(const std::string& topic,
              const std::string& writer,
              const std::string& key,
              const std::string& value);

  const PlatformFleetOptions options_;
  WorkFolder folder_;
  http::Client client_;
  std::unique_ptr<ChildProcess> store_;
  std::string store_address_;
  std::atomic<int> config_version_ = 0;
  std::vector<PlatformTarget> targets_;
  std::vector<PlatformHost> hosts_;
  std::mutex address_mutex_;
};

}  // namespace toucandock::process

#endif  // TOUCANDOCK_PROCESS_PLATFORM_FLEET_H_
