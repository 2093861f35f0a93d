#include "settings/settings.h"

#include "absl/strings/str_cat.h"
#include "codec/yaml_reader.h"

namespace toucandock::settings {
namespace {

using codec::YamlFaults;
using codec::YamlMap;

void ReadLease(YamlMap& map, core::lease::LeaseTerms& terms) {
  std::uint32_t drift = terms.drift_permille;
  map.Read("renew_interval", terms.renew_interval);
  map.Read("serving", terms.serving);
  map.Read("support", terms.support);
  map.Read("grant", terms.grant);
  map.Read("election", terms.election);
  map.Read("election_step", terms.election_step);
  map.Read("drift_permille", drift);
  map.Read("margin", terms.margin);
  terms.drift_permille = static_cast<int>(drift);
}

void ReadLimits(YamlMap& map, Limits& limits) {
  map.Read("body_bytes", limits.body_bytes);
  map.Read("header_bytes", limits.header_bytes);
  map.Read("answer_bytes", limits.answer_bytes);
  map.Read("key_bytes", limits.key_bytes);
  map.Read("request_id_bytes", limits.request_id_bytes);
  map.Read("caller_connections", limits.caller_connections);
  map.Read("peer_connections", limits.peer_connections);
}

void CheckLease(const core::lease::LeaseTerms& terms, YamlFaults& faults) {
  const auto require = [&](bool holds, const char* field, const char* message) {
    if (!holds) {
      faults.Add(faults.LineOf(absl::StrCat("lease.", field)),
                 absl::StrCat("lease.", field), message);
    }
  };
  require(terms.renew_interval > core::Duration::zero(), "renew_interval",
          "must be longer than 0");
  require(terms.serving >= 2 * terms.renew_interval, "serving",
          "must be at least two renewal intervals");
  require(terms.support >= 2 * terms.renew_interval, "support",
          "must be at least two renewal intervals");
  require(terms.grant >= 2 * terms.renew_interval, "grant",
          "must be at least two renewal intervals");
  require(terms.election > terms.support, "election",
          "must be longer than the support period");
  require(terms.drift_permille >= 1 && terms.drift_permille <= 200,
          "drift_permille", "is outside 1 to 200");
}

}  // namespace

// Reads and checks all settings at once. The error has one line for each
// fault: "file:line: field: what is wrong".
absl::StatusOr<Settings> ParseSettings(const std::string& file,
                                       const std::string& text) {
  YAML::Node root;
  if (absl::Status status = codec::LoadYaml(file, text, root); !status.ok()) {
    return status;
  }
  YamlFaults faults(file);
  Settings settings;
  {
    YamlMap map(root, "", faults);
    for (const char* name : {"host_name", "failure_domain", "log_address"}) {
      map.Require(name);
    }
    map.Read("host_name", settings.host_name);
    map.Read("failure_domain", settings.failure_domain);
    map.Read("caller_address", settings.caller_address);
    map.Read("peer_address", settings.peer_address);
    map.Read("operator_address", settings.operator_address);
    map.Read("advertised_peer_address", settings.advertised_peer_address);
    map.Read("log_address", settings.log_address);
    map.Read("log_stream", settings.log_stream);
    map.Read("host_list_address", settings.host_list_address);
    map.Read("host_list_interval", settings.host_list_interval);
    map.Read("probe_timeout", settings.probe_timeout);
    map.Read("peer_timeout", settings.peer_timeout);
    map.Read("stop_limit", settings.stop_limit);
    map.Read("detect_by_host_list_only", settings.detect_by_host_list_only);
    map.Read("seed_peers", settings.seed_peers);
    map.Read("address_file", settings.address_file);
    map.Read("log_level", settings.log_level);
    map.ReadMap("lease", [&](YamlMap& it) { ReadLease(it, settings.lease); });
    map.ReadMap("limits",
                [&](YamlMap& it) { ReadLimits(it, settings.limits); });
  }
  CheckLease(settings.lease, faults);
  if (!faults.empty()) {
    return faults.ToStatus();
  }
  return settings;
}

}  // namespace toucandock::settings
