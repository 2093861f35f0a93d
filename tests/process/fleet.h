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
  // Each host's peer port is reached through a relay that can be cut.
  bool relays = false;
  // Lines added to the settings of each host.
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

// Stand-ins and entry hosts as processes of their own, in a temporary folder
// of their own. Everything ends with the object.
class Fleet {
 public:
  // The one service of the fleet's configuration.
  static constexpr const char* kService = "callboard";

  explicit Fleet(FleetOptions options);
  ~Fleet();

  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Publishes the fleet's configuration and waits until all hosts are ready.
  void PublishAndWait();

  size_t host_count() const { return hosts_.size(); }
  EntryHost& host(size_t n) { return *hosts_.at(n); }
  size_t AddHost(const std::vector<std::string>& seed_peers = {});
  void StartHost(size_t n, const std::vector<std::string>& seed_peers = {});
  bool IsReady(size_t n);
  void WaitUntilReady(const std::vector<size_t>& hosts);
  Json::Value Status(size_t n);
  std::string Metrics(size_t n);
  size_t Leader(const std::vector<size_t>& asked);
  std::vector<size_t> HostsExcept(size_t n) const;

  TargetProcess& target(size_t n) { return targets_.at(n); }
  size_t target_count() const { return targets_.size(); }
  size_t TargetNamed(const std::string& name) const;
  void RestartTarget(size_t n);
  std::string OwnerOf(size_t host, const std::string& key);

  ToolResult RunTool(const std::vector<std::string>& words);
  std::string ConfigText(const std::string& extra_service = "") const;
  std::string WriteFile(const std::string& name, const std::string& text);

  void SetLogFault(const std::string& query);
  void AppendToLog(const std::string& record);
  std::uint64_t FirstRetained();
  void SetTargetFault(size_t n, const std::string& query);
  void SetHostList(const std::string& json);
  void Cut(size_t a, size_t b, const std::string& mode);
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
