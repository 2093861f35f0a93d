#ifndef TOUCANDOCK_ENTRY_SETTINGS_H_
#define TOUCANDOCK_ENTRY_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "core/balance/retry_window.h"
#include "core/time.h"
#include "core/warmup/cold_bound.h"

namespace toucandock::entry {

// Settings of one entry host.
struct EntrySettings {
  std::string host_name;
  std::string failure_domain;
  // IPv4 address at which the host opens its own ports.
  std::string ip;
  // Addresses of the form "IP:PORT".
  std::string caller_address;
  std::string readiness_address;
  std::string store_address;
  // Port for the other hosts, which use UDP and TCP. 0 lets the kernel choose.
  std::uint16_t report_port = 0;
  // 0 disables the metrics port.
  std::uint16_t metrics_port = 0;
  // File to which the addresses are written; none if empty.
  std::string address_file;
  // Longest lease that targets accept.
  core::Duration max_lease = std::chrono::seconds(10);
  // A stopping process is killed after this time.
  core::Duration stop_limit = std::chrono::seconds(6);
  // A caller that takes nothing of its answer for this long loses it. Several
  // times the deadline of 4 s on the users' pages, so that it has given up.
  core::Duration caller_read_limit = std::chrono::seconds(15);
  core::Duration min_membership = std::chrono::seconds(1);
  int store_partitions = 24;
  // Number of processors that the host may use, and bandwidth of its link in
  // megabits per second. In large fleets, hosts with more of both relay control
  // messages.
  double processors = 1;
  double link_mbps = 1'000;
  // Time in which hosts must apply changes of the configuration and stop using
  // targets that leave.
  core::Duration change_limit = std::chrono::seconds(2);
  // The whole fleet starts for the first time.
  bool fleet_starts = false;
  core::balance::RetryWindowOptions retries;
  // Bound on the requests that a cold target may receive in any one second, if
  // the configuration limits them.
  core::warmup::ColdBound warm_up;
  // Time after which no request may reach the targets of an evacuated failure
  // domain.
  core::Duration evacuation_limit = std::chrono::seconds(5);
};

// Names of the settings that differ.
struct SettingsChange {
  std::vector<std::string> applied;
  // Addresses, names and the settings on which leases depend do not change
  // while the host runs.
  std::vector<std::string> needs_restart;
};

// Copies the settings that can change while the host runs to `current`.
SettingsChange ApplyChanges(const EntrySettings& new_settings,
                            EntrySettings& current);

absl::StatusOr<EntrySettings> ParseEntrySettings(const std::string& file,
                                                 const std::string& text);

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_SETTINGS_H_
