#include "settings/settings.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "codec/yaml_reader.h"
#include "util/duration.h"
#include "util/text_check.h"

namespace toucandock::settings {
namespace {

using codec::YamlErrors;
using codec::YamlMap;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using util::PortRule;

constexpr const char* kLogLevels[] = {"trace",   "debug", "info",
                                      "warning", "error", "off"};

void ReadLease(YamlMap& map, core::lease::LeaseOptions& options) {
  map.Read("renew_interval", options.renew_interval);
  map.Read("serving", options.serving);
  map.Read("support", options.support);
  map.Read("grant", options.grant);
  map.Read("election", options.election);
  map.Read("election_step", options.election_step);
  map.Read("drift_permille", options.drift_permille);
  map.Read("margin", options.margin);
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

// Checks that values are in their ranges and consistent with each other. A
// member that could not be read is skipped, since its value here is not the one
// in the file.
class Checker {
 public:
  Checker(const Settings& settings, YamlErrors& errors)
      : settings_(settings), errors_(errors) {}

  void Run() {
    CheckNames();
    CheckAddresses();
    CheckDurations();
    CheckLimits();
    CheckLease(settings_.lease);
  }

 private:
  void Require(bool is_satisfied,
               const std::string& field,
               const std::string& message) {
    if (!is_satisfied && !errors_.HasErrorAt(field)) {
      errors_.Add(errors_.LineOf(field), field, message);
    }
  }

  void CheckNames() {
    const std::vector<std::pair<const char*, std::string>> names = {
        {"host_name", settings_.host_name},
        {"failure_domain", settings_.failure_domain},
        {"log_stream", settings_.log_stream}};
    for (const auto& [field, name] : names) {
      Require(util::IsName(name), field,
              absl::StrCat("'", name,
                           "' is not a name; use 1 to 63 of a-z, 0-9, -"));
    }
    Require(std::find(std::begin(kLogLevels), std::end(kLogLevels),
                      settings_.log_level) != std::end(kLogLevels),
            "log_level",
            absl::StrCat("'", settings_.log_level, "' is not one of ",
                         absl::StrJoin(kLogLevels, ", ")));
  }

  void CheckAddress(const std::string& field,
                    const std::string& address,
                    PortRule rule) {
    Require(util::IsAddress(address, rule), field,
            absl::StrCat("'", address,
                         "' is not an address; write IP:PORT, such as "
                         "10.0.0.7:7001"));
  }

  void CheckAddresses() {
    CheckAddress("caller_address", settings_.caller_address,
                 PortRule::kZeroAllowed);
    CheckAddress("peer_address", settings_.peer_address,
                 PortRule::kZeroAllowed);
    CheckAddress("operator_address", settings_.operator_address,
                 PortRule::kZeroAllowed);
    CheckAddress("log_address", settings_.log_address, PortRule::kNonZero);
    // Other hosts connect to these addresses.
    for (const auto& [field, address] :
         {std::pair("caller_address", settings_.caller_address),
          std::pair("peer_address", settings_.peer_address)}) {
      Require(!absl::StartsWith(address, "0.0.0.0:"), field,
              "other hosts cannot reach 0.0.0.0; write this host's own IP");
    }
    if (!settings_.host_list_address.empty()) {
      CheckAddress("host_list_address", settings_.host_list_address,
                   PortRule::kNonZero);
    }
    for (size_t n = 0; n < settings_.seed_peers.size(); ++n) {
      CheckAddress(absl::StrCat("seed_peers[", n, "]"), settings_.seed_peers[n],
                   PortRule::kNonZero);
    }
  }

  void CheckRange(const std::string& field,
                  core::Duration value,
                  core::Duration min,
                  core::Duration max) {
    Require(value >= min && value <= max, field,
            absl::StrCat(util::FormatDuration(value), " is outside ",
                         util::FormatDuration(min), " to ",
                         util::FormatDuration(max)));
  }

  void CheckDurations() {
    CheckRange("host_list_interval", settings_.host_list_interval,
               milliseconds(100), minutes(1));
    CheckRange("probe_timeout", settings_.probe_timeout, milliseconds(1),
               seconds(10));
    CheckRange("peer_timeout", settings_.peer_timeout, milliseconds(1),
               seconds(10));
    CheckRange("stop_limit", settings_.stop_limit, seconds(1), hours(1));
  }

  void CheckLimit(const std::string& name,
                  std::uint64_t value,
                  std::uint64_t min,
                  std::uint64_t max) {
    Require(value >= min && value <= max, name,
            absl::StrCat(value, " is outside ", min, " to ", max));
  }

  void CheckLimits() {
    const Limits& it = settings_.limits;
    constexpr std::uint64_t kMiB = 1 << 20;
    CheckLimit("limits.body_bytes", it.body_bytes, 1, 64 * kMiB);
    CheckLimit("limits.header_bytes", it.header_bytes, 1'024, kMiB);
    CheckLimit("limits.answer_bytes", it.answer_bytes, 1, 64 * kMiB);
    CheckLimit("limits.key_bytes", it.key_bytes, 1, 8'192);
    CheckLimit("limits.request_id_bytes", it.request_id_bytes, 1, 1'024);
    CheckLimit("limits.caller_connections", it.caller_connections, 1, 65'536);
    CheckLimit("limits.peer_connections", it.peer_connections, 1, 65'536);
    CheckLimit("trace_limit_bytes", settings_.trace_limit_bytes, 4'096,
               16'384 * kMiB);
  }

  void CheckLease(const core::lease::LeaseOptions& options) {
    const core::Duration two_renewals = 2 * options.renew_interval;
    CheckRange("lease.renew_interval", options.renew_interval, milliseconds(10),
               seconds(10));
    Require(options.serving >= two_renewals, "lease.serving",
            "must be at least two renewal intervals");
    Require(options.support >= two_renewals, "lease.support",
            "must be at least two renewal intervals");
    Require(options.grant >= two_renewals, "lease.grant",
            "must be at least two renewal intervals");
    Require(options.election > options.support, "lease.election",
            "must be longer than lease.support");
    CheckRange("lease.election_step", options.election_step, milliseconds(1),
               seconds(10));
    CheckRange("lease.margin", options.margin, milliseconds(1), seconds(1));
    CheckLimit("lease.drift_permille", options.drift_permille, 1, 200);
  }

  const Settings& settings_;
  YamlErrors& errors_;
};

}  // namespace

// Reads and checks all settings. On failure, the status message has one line
// for each error: "file:line: field: what is wrong".
absl::StatusOr<Settings> ParseSettings(const std::string& file,
                                       const std::string& text) {
  YAML::Node root;
  if (absl::Status status = codec::LoadYaml(file, text, root); !status.ok()) {
    return status;
  }
  YamlErrors errors(file);
  Settings settings;
  {
    YamlMap map(root, "", errors);
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
    map.Read("trace_file", settings.trace_file);
    map.Read("trace_limit_bytes", settings.trace_limit_bytes);
    map.Read("log_level", settings.log_level);
    map.ReadMap("lease", [&](YamlMap& it) { ReadLease(it, settings.lease); });
    map.ReadMap("limits",
                [&](YamlMap& it) { ReadLimits(it, settings.limits); });
  }
  Checker(settings, errors).Run();
  if (!errors.empty()) {
    return errors.ToStatus();
  }
  return settings;
}

}  // namespace toucandock::settings
