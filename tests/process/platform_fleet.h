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
  // Of the keyed service "callboard" and of "lodger", which has no keys.
  size_t keyed_targets = 4;
  size_t plain_targets = 3;
  // Hosts reach the store, and targets are reached, through relays that can be
  // cut.
  bool relays = false;
};

struct PlatformHost {
  std::string name;
  std::unique_ptr<ChildProcess> process;
  std::string caller_address;
  std::string readiness_address;
  std::string metrics_address;
  // Of the relay to the store.
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
  std::string listed_address;
  std::unique_ptr<ChildProcess> relay;
};

// toucandock-entry hosts, and stand-ins for the store and the targets of the
// users' platform, as processes of their own. Everything ends with the object.
class PlatformFleet {
 public:
  explicit PlatformFleet(const PlatformFleetOptions& options);
  ~PlatformFleet();

  PlatformFleet(const PlatformFleet&) = delete;
  PlatformFleet& operator=(const PlatformFleet&) = delete;

  // Writes the next version of the configuration to the store.
  bool PublishConfig(std::chrono::milliseconds timeout);
  // Writes an entry to the list of targets, as another writer.
  bool WriteTargetEntry(const std::string& id, const std::string& text);
  bool IsReady(size_t host);
  void WaitUntilReady();
  std::string Metrics(size_t host);

  size_t host_count() const { return hosts_.size(); }
  PlatformHost& host(size_t n) { return hosts_.at(n); }
  void StartHost(size_t n);
  // As it is now: a restarted host has another port. From any thread.
  std::string CallerAddress(size_t n);

  size_t target_count() const { return targets_.size(); }
  PlatformTarget& target(size_t n) { return targets_.at(n); }
  // A new process with the same id, at another address.
  void StartTarget(size_t n);

  // Each returns whether the stand-in took it.
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
