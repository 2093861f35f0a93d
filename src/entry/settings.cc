#include "entry/settings.h"

#include "codec/yaml_reader.h"
#include "util/text_check.h"

namespace toucandock::entry {
namespace {

// Limits of `caller_read_limit`. Below the first, a lost packet would end an
// answer; the kernel takes the time in milliseconds as an int.
constexpr std::chrono::seconds kMinReadLimit{1};
constexpr std::chrono::hours kMaxReadLimit{1};

void ReadRetries(codec::YamlMap& map,
                 core::balance::RetryWindowOptions& options) {
  map.Read("ratio", options.ratio);
  map.Read("slack", options.slack);
  map.Read("window", options.window);
}

void ReadWarmUp(codec::YamlMap& map, core::warmup::ColdBound& bound) {
  map.Read("overage", bound.overage);
  map.Read("tolerance", bound.tolerance);
}

}  // namespace

// Parses the settings of one host. All errors are reported at once, each with
// file and line; unknown members are errors.
absl::StatusOr<EntrySettings> ParseEntrySettings(const std::string& file,
                                                 const std::string& text) {
  YAML::Node root;
  const absl::Status loaded = codec::LoadYaml(file, text, root);
  if (!loaded.ok()) {
    return loaded;
  }
  codec::YamlErrors errors(file);
  EntrySettings settings;
  std::uint32_t report_port = 0;
  std::uint32_t metrics_port = 0;
  {
    codec::YamlMap map(root, "", errors);
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
    map.Read("longest_lease", settings.max_lease);
    map.Read("stop_limit", settings.stop_limit);
    map.Read("caller_read_limit", settings.caller_read_limit);
    map.Read("shortest_membership", settings.min_membership);
    map.Read("store_partitions", settings.store_partitions);
    map.Read("processors", settings.processors);
    map.Read("link_mbps", settings.link_mbps);
    map.Read("change_limit", settings.change_limit);
    map.Read("fleet_starts", settings.fleet_starts);
    map.ReadMap("retries", [&settings](codec::YamlMap& retries) {
      ReadRetries(retries, settings.retries);
    });
    map.ReadMap("warm_up", [&settings](codec::YamlMap& warm_up) {
      ReadWarmUp(warm_up, settings.warm_up);
    });
    map.Read("evacuation_limit", settings.evacuation_limit);
  }
  const auto check_address = [&errors](const char* name,
                                       const std::string& address,
                                       util::PortRule rule) {
    if (!errors.HasErrorAt(name) && !util::IsAddress(address, rule)) {
      errors.Add(errors.LineOf(name), name, "'" + address + "' is not IP:PORT");
    }
  };
  check_address("caller_address", settings.caller_address,
                util::PortRule::kZeroAllowed);
  check_address("readiness_address", settings.readiness_address,
                util::PortRule::kZeroAllowed);
  check_address("store_address", settings.store_address,
                util::PortRule::kNonZero);
  if (report_port > 65'535) {
    errors.Add(errors.LineOf("report_port"), "report_port", "is above 65535");
  }
  if (metrics_port > 65'535) {
    errors.Add(errors.LineOf("metrics_port"), "metrics_port", "is above 65535");
  }
  if (settings.store_partitions < 1) {
    errors.Add(errors.LineOf("store_partitions"), "store_partitions",
               "is below 1");
  }
  const auto check_positive = [&errors](const char* name, double value) {
    if (!errors.HasErrorAt(name) && !(value > 0)) {
      errors.Add(errors.LineOf(name), name, "is not above 0");
    }
  };
  check_positive("processors", settings.processors);
  check_positive("link_mbps", settings.link_mbps);
  if (!errors.HasErrorAt("change_limit") &&
      settings.change_limit <= core::Duration::zero()) {
    errors.Add(errors.LineOf("change_limit"), "change_limit", "is not above 0");
  }
  if (!errors.HasErrorAt("evacuation_limit") &&
      settings.evacuation_limit <= core::Duration::zero()) {
    errors.Add(errors.LineOf("evacuation_limit"), "evacuation_limit",
               "is not above 0");
  }
  if (!errors.HasErrorAt("warm_up") &&
      !(settings.warm_up.overage >= 1 && settings.warm_up.tolerance >= 0)) {
    errors.Add(errors.LineOf("warm_up"), "warm_up",
               "needs an overage of at least 1 and a tolerance of at least 0");
  }
  if (settings.caller_read_limit < kMinReadLimit ||
      settings.caller_read_limit > kMaxReadLimit) {
    errors.Add(errors.LineOf("caller_read_limit"), "caller_read_limit",
               "is not between 1s and 1h");
  }
  if (!errors.empty()) {
    return errors.ToStatus();
  }
  settings.report_port = static_cast<std::uint16_t>(report_port);
  settings.metrics_port = static_cast<std::uint16_t>(metrics_port);
  return settings;
}

SettingsChange ApplyChanges(const EntrySettings& new_settings,
                            EntrySettings& current) {
  SettingsChange change;
  const auto apply = [&](const char* name, auto member) {
    if (current.*member != new_settings.*member) {
      current.*member = new_settings.*member;
      change.applied.emplace_back(name);
    }
  };
  const auto compare = [&](const char* name, auto member) {
    if (current.*member != new_settings.*member) {
      change.needs_restart.emplace_back(name);
    }
  };
  apply("stop_limit", &EntrySettings::stop_limit);
  apply("caller_read_limit", &EntrySettings::caller_read_limit);
  apply("retries", &EntrySettings::retries);
  compare("warm_up", &EntrySettings::warm_up);
  compare("evacuation_limit", &EntrySettings::evacuation_limit);
  compare("host_name", &EntrySettings::host_name);
  compare("failure_domain", &EntrySettings::failure_domain);
  compare("ip", &EntrySettings::ip);
  compare("caller_address", &EntrySettings::caller_address);
  compare("readiness_address", &EntrySettings::readiness_address);
  compare("store_address", &EntrySettings::store_address);
  compare("report_port", &EntrySettings::report_port);
  compare("metrics_port", &EntrySettings::metrics_port);
  compare("address_file", &EntrySettings::address_file);
  compare("longest_lease", &EntrySettings::max_lease);
  compare("shortest_membership", &EntrySettings::min_membership);
  compare("store_partitions", &EntrySettings::store_partitions);
  compare("processors", &EntrySettings::processors);
  compare("link_mbps", &EntrySettings::link_mbps);
  compare("change_limit", &EntrySettings::change_limit);
  compare("fleet_starts", &EntrySettings::fleet_starts);
  return change;
}

}  // namespace toucandock::entry
