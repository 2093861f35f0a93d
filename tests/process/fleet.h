#ifndef TOUCANDOCK_PROCESS_FLEET_H_
#define TOUCANDOCK_PROCESS_FLEET_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "codec/json.h"
#include "http/client.h"
#include "process/child_process.h"
#include "process/work_folder.h"

namespace toucandock::process {

struct FleetOptions {
  size_t hosts = 3;
  size_t targets = 4;
  bool checks_fences = true;
  std::uint32_t shards = 16;
  // Hosts reach each other's peer ports through relays, so that a test can cut
  // the connections between two hosts.
  bool relays = false;
  // YAML lines that are appended to the settings of each host.
  std::string settings;
};

struct EntryHost {
  std::string name;
  std::unique_ptr<ChildProcess> process;
  std::string caller_address;
  std::string peer_address;
  std::string operator_address;
};

struct TargetProcess {
  std::string name;
  std::unique_ptr<ChildProcess> process;
  std::string address;
  std::string journal_file;
};

struct RelayProcess {
  std::unique_ptr<ChildProcess> process;
  std::string address;
  std::string control_address;
};

struct ToolResult {
  int exit_code = 0;
  std::string output;
};

// Starts entry hosts (toucandockd), stand-ins for the log, the host list and
// the targets, each as a process, with their files in a temporary folder. The
// destructor kills the processes and removes the folder.
class Fleet {
 public:
  // Name of the only service in the fleet's configuration.
  static constexpr const char* kService = "callboard";

  explicit Fleet(FleetOptions options);
  ~Fleet();

  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Publishes the fleet's configuration and waits until all hosts are ready,
  // the voters are chosen and each unit has an owner.
  void PublishAndWait();

  size_t host_count() const { return hosts_.size(); }
  EntryHost& host(size_t n) { return *hosts_.at(n); }
  // Returns the index of the new host.
  size_t AddHost(const std::vector<std::string>& seed_peers = {});
  // Starts or restarts the process of the host. The process keeps no state, so
  // it joins as a new member.
  void StartHost(size_t n, const std::vector<std::string>& seed_peers = {});
  bool IsReady(size_t n);
  void WaitUntilReady(const std::vector<size_t>& hosts);
  // Null when the host does not respond.
  Json::Value Status(size_t n);
  std::string Metrics(size_t n);
  // Waits until one of the hosts reports that it is the leader and has a lease.
  size_t Leader(const std::vector<size_t>& asked);
  std::vector<size_t> HostsExcept(size_t n) const;

  TargetProcess& target(size_t n) { return targets_.at(n); }
  size_t target_count() const { return targets_.size(); }
  size_t TargetNamed(const std::string& name) const;
  // Starts a new process at the same address, as the platform does.
  void RestartTarget(size_t n);
  // Waits until the host knows an owner of the key and returns the target's
  // name.
  std::string OwnerOf(size_t host, const std::string& key);

  ToolResult RunTool(const std::vector<std::string>& words);
  // `extra_service` names a second, unused service, so that the text differs
  // from that of other versions.
  std::string ConfigText(const std::string& extra_service = "") const;
  std::string WriteFile(const std::string& name, const std::string& text);

  void SetLogFault(const std::string& query);
  // Appends a record that hosts cannot parse and therefore skip.
  void AppendToLog(const std::string& record);
  // Offset of the oldest record that the log still has.
  std::uint64_t FirstRetained();
  void SetTargetFault(size_t n, const std::string& query);
  void SetHostList(const std::string& json);
  // Cuts the connections between two hosts in both directions. `mode` is a mode
  // of the stand-in relay: "drop" closes them, "hold" keeps them open without
  // forwarding data. Needs FleetOptions::relays.
  void Cut(size_t a, size_t b, const std::string& mode);
  // Ends all cuts.
  void Heal();

  http::Client& client() { return client_; }
  const std::string& log_address() const { return log_address_; }

 private:
  void StartTarget(size_t n, const std::string& address);
  void StartRelay();
  void WriteSettings(const EntryHost& host,
                     size_t n,
                     const std::vector<std::string>& seed_peers);
  void Post(const std::string& address,
            const std::string& path,
            const std::string& query);

  const FleetOptions options_;
  WorkFolder folder_;
  http::Client client_;
  std::unique_ptr<ChildProcess> log_;
  std::string log_address_;
  std::unique_ptr<ChildProcess> host_list_;
  std::string host_list_address_;
  std::vector<TargetProcess> targets_;
  std::vector<RelayProcess> relays_;
  std::vector<std::unique_ptr<EntryHost>> hosts_;
  std::atomic<int> tool_run_count_ = 0;
};

}  // namespace toucandock::process

#endif  // TOUCANDOCK_PROCESS_FLEET_H_
