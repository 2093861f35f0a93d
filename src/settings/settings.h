#ifndef TOUCANDOCK_SETTINGS_SETTINGS_H_
#define TOUCANDOCK_SETTINGS_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "core/lease/lease.h"
#include "core/time.h"

namespace toucandock::settings {

// Limits on the requests and connections of callers and peers.
struct Limits {
  std::uint32_t body_bytes = 1 << 20;
  std::uint32_t header_bytes = 16 << 10;
  std::uint32_t answer_bytes = 8 << 20;
  std::uint32_t key_bytes = 512;
  std::uint32_t request_id_bytes = 128;
  std::uint32_t caller_connections = 1'024;
  // Connections for the control calls of peers and for forwarded requests,
  // which wait for a slot.
  std::uint32_t peer_connections = 1'024;
};

// Settings of one daemon.
struct Settings {
  std::string host_name;
  std::string failure_domain;
  // "IP:PORT"; port 0 lets the kernel choose.
  std::string caller_address = "127.0.0.1:0";
  std::string peer_address = "127.0.0.1:0";
  std::string operator_address = "127.0.0.1:0";
  // "IP:PORT" at which peers reach this host when it differs from the address
  // that the peer port is bound to. When empty, the bound address is used.
  std::string advertised_peer_address;
  std::string log_address;
  std::string log_stream = "toucandock";
  std::string host_list_address;
  core::Duration host_list_interval = std::chrono::seconds(1);
  core::Duration probe_timeout = std::chrono::milliseconds(200);
  core::Duration peer_timeout = std::chrono::milliseconds(200);
  core::Duration stop_limit = std::chrono::seconds(30);
  // Failed contacts with a target count only after the host list no longer
  // contains it. Kept as the baseline that loss detection is measured against.
  bool detect_by_host_list_only = false;
  // Peers that are asked for the state while the log cannot be read.
  std::vector<std::string> seed_peers;
  // File to which the bound addresses are written; empty for none.
  std::string address_file;
  // File to which all events of the control thread are written for "toucandock
  // replay"; empty for none. For diagnosis only, as the control thread writes
  // it.
  std::string trace_file;
  // Maximum size of the trace file.
  std::uint64_t trace_limit_bytes = 256 << 20;
  std::string log_level = "info";
  core::lease::LeaseOptions lease;
  Limits limits;
};

absl::StatusOr<Settings> ParseSettings(const std::string& file,
                                       const std::string& text);

}  // namespace toucandock::settings

#endif  // TOUCANDOCK_SETTINGS_SETTINGS_H_
