#include "entry/settings.h"

#include "codec/yaml_reader.h"
#include "util/text_check.h"

namespace toucandock::entry {
namespace {

void ReadRetries(codec::YamlMap& map, core::balance::RetryWindowTerms& terms) {
  map.Read("ratio", terms.ratio);
  map.Read("slack", terms.slack);
  map.Read("window", terms.window);
}

}  // namespace

// Parses the settings of one host. All faults are reported at once, each with
// file and line; unknown members are faults.
absl::StatusOr<EntrySettings> ParseEntrySettings(const std::string& file,
                                                 const std::string& text) {
  YAML::Node root;
  const absl::Status loaded = codec::LoadYaml(file, text, root);
  if (!loaded.ok()) {
    return loaded;
  }
  codec::YamlFaults faults(file);
  EntrySettings settings;
  std::uint32_t report_port = 0;
  std::uint32_t metrics_port = 0;
  {
    codec::YamlMap map(root, "", faults);
    for (const char* name :
         {"host_name", "failure_domain", "ip", "caller_address",
          "readiness_address", "store_address", "report_port"}) {
      map.Require(name);
    }
    map.Read("host_name", settings.host_name);
    map.Read("failure_domain", settings.failure_domain);
    map.Read("ip", settings.ip);
    map.Read("caller_address", settings.caller_address);
    map.Read("readiness_address", settings.readiness_address);
    map.Read("store_address", settings.store_address);
    map.Read("report_port", report_port);
    map.Read("metrics_port", metrics_port);
    map.Read("address_file", settings.address_file);
    map.Read("longest_lease", settings.longest_lease);
    map.Read("stop_limit", settings.stop_limit);
    map.Read("shortest_membership", settings.shortest_membership);
    map.Read("store_partitions", settings.store_partitions);
    map.Read("fleet_starts", settings.fleet_starts);
    map.ReadMap("retries", [&settings](codec::YamlMap& retries) {
      ReadRetries(retries, settings.retries);
    });
  }
  const auto check_address = [&faults](const char* name,
                                       const std::string& address,
                                       util::PortRule rule) {
    if (!faults.HasFaultAt(name) && !util::IsAddress(address, rule)) {
      faults.Add(faults.LineOf(name), name, "'" + address + "' is not IP:PORT");
    }
  };
  check_address("caller_address", settings.caller_address,
                util::PortRule::kOrChosen);
  check_address("readiness_address", settings.readiness_address,
                util::PortRule::kOrChosen);
  check_address("store_address", settings.store_address,
                util::PortRule::kGiven);
  if (report_port > 65'535) {
    faults.Add(faults.LineOf("report_port"), "report_port", "is above 65535");
  }
  if (metrics_port > 65'535) {
    faults.Add(faults.LineOf("metrics_port"), "metrics_port", "is above 65535");
  }
  if (settings.store_partitions < 1) {
    faults.Add(faults.LineOf("store_partitions"), "store_partitions",
               "is below 1");
  }
  if (!faults.empty()) {
    return faults.ToStatus();
  }
  settings.report_port = static_cast<std::uint16_t>(report_port);
  settings.metrics_port = static_cast<std::uint16_t>(metrics_port);
  return settings;
}

SettingsChange CompareSettings(const EntrySettings& running,
                               const EntrySettings& wanted) {
  SettingsChange change;
  const auto compare = [](std::vector<std::string>& names, const char* name,
                          const auto& a, const auto& b) {
    if (a != b) {
      names.emplace_back(name);
    }
  };
  compare(change.applied, "stop_limit", running.stop_limit, wanted.stop_limit);
  compare(change.applied, "retries", running.retries, wanted.retries);
  std::vector<std::string>& later = change.at_next_start;
  compare(later, "host_name", running.host_name, wanted.host_name);
  compare(later, "failure_domain", running.failure_domain,
          wanted.failure_domain);
  compare(later, "ip", running.ip, wanted.ip);
  compare(later, "caller_address", running.caller_address,
          wanted.caller_address);
  compare(later, "readiness_address", running.readiness_address,
          wanted.readiness_address);
  compare(later, "store_address", running.store_address, wanted.store_address);
  compare(later, "report_port", running.report_port, wanted.report_port);
  compare(later, "metrics_port", running.metrics_port, wanted.metrics_port);
  compare(later, "address_file", running.address_file, wanted.address_file);
  compare(later, "longest_lease", running.longest_lease, wanted.longest_lease);
  compare(later, "shortest_membership", running.shortest_membership,
          wanted.shortest_membership);
  compare(later, "store_partitions", running.store_partitions,
          wanted.store_partitions);
  compare(later, "fleet_starts", running.fleet_starts, wanted.fleet_starts);
  return change;
}

}  // namespace toucandock::entry
