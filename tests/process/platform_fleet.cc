#include "process/platform_fleet.h"

#include <map>
#include <stdexcept>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "platform/log_protocol.h"

namespace toucandock::process {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kReadyLimit{30'000};
constexpr milliseconds kCallTimeout{2'000};

constexpr char kRule[] =
    R"({"name":"%s","routeType":"%s","targetLatency":"500ms","priority":1,)"
    R"("match":{"pathPrefix":"/%s/"},"action":{"service":"%s",)"
    R"("timeout":"%dms","maxAttempts":3}})";

}  // namespace

PlatformFleet::PlatformFleet(const PlatformFleetOptions& options)
    : options_(options) {
  store_address_ = folder_.StartStandIn("store", "standin_log", {}, store_);
  targets_.resize(options_.keyed_targets + options_.plain_targets);
  for (size_t n = 0; n < targets_.size(); ++n) {
    PlatformTarget& target = targets_[n];
    target.id = absl::StrCat("i-", n);
    target.keyed = n < options_.keyed_targets;
    target.journal_file = folder_.PathOf(target.id + ".journal");
    if (options_.relays) {
      StartRelay(absl::StrCat("relay-", target.id), target.relay_control,
                 target.listed_address, target.relay);
    }
    StartTarget(n);
  }
  hosts_.resize(options_.hosts);
  for (size_t n = 0; n < hosts_.size(); ++n) {
    hosts_[n].name = absl::StrCat("entry", n);
    hosts_[n].store_address = store_address_;
    if (options_.relays) {
      StartRelay(absl::StrCat("relay-", hosts_[n].name),
                 hosts_[n].relay_control, hosts_[n].store_address,
                 hosts_[n].relay);
      SetRelay(hosts_[n].relay_control, "to=" + store_address_);
    }
    StartHost(n);
  }
}

// Hosts are killed first, so that they do not observe the end of the stand-ins.
PlatformFleet::~PlatformFleet() {
  hosts_.clear();
  targets_.clear();
}

void PlatformFleet::StartRelay(const std::string& name,
                               std::string& control,
                               std::string& address,
                               std::unique_ptr<ChildProcess>& process) {
  const std::string file = folder_.PathOf(name + ".relay");
  control = folder_.StartStandIn(name, "standin_relay",
                                 {"--relay_address_file=" + file}, process);
  WaitUntil("relay address of " + name,
            [&] { return absl::EndsWith(ReadFile(file), "\n"); });
  address = ReadFile(file);
  address.pop_back();
}

void PlatformFleet::StartTarget(size_t n) {
  PlatformTarget& target = targets_.at(n);
  target.process.reset();
  target.address = folder_.StartStandIn(
      target.id, "standin_platform_target",
      {"--id=" + target.id, "--log=" + store_address_,
       "--journal=" + target.journal_file,
       "--listed_address=" + target.listed_address,
       absl::StrCat("--service=", target.keyed ? "callboard" : "lodger"),
       absl::StrCat("--keyed=", target.keyed), "--slots=8",
       absl::StrCat("--zone=lk-west-", n % 3)},
      target.process);
  if (options_.relays) {
    SetRelay(target.relay_control, "to=" + target.address);
  }
}

void PlatformFleet::StartHost(size_t n) {
  PlatformHost& host = hosts_.at(n);
  host.process.reset();
  const std::string settings = folder_.WriteFile(
      host.name + ".yaml",
      absl::StrCat("host_name: ", host.name, "\nfailure_domain: lk-west-",
                   n % 3, "\nip: 127.0.0.1\ncaller_address: 127.0.0.1:0\n",
                   "readiness_address: 127.0.0.1:0\nreport_port: 0\n",
                   "store_address: ", host.store_address,
                   "\naddress_file: ", folder_.PathOf(host.name + ".addresses"),
                   "\nmetrics_port: 0\n"));
  std::map<std::string, std::string> bound = folder_.StartWithPorts(
      host.name, {Program("toucandock-entry"), "--settings=" + settings},
      host.process);
  const std::lock_guard<std::mutex> lock(address_mutex_);
  host.caller_address = bound["caller"];
  host.readiness_address = bound["readiness"];
  host.metrics_address = bound["metrics"];
}

std::string PlatformFleet::CallerAddress(size_t n) {
  const std::lock_guard<std::mutex> lock(address_mutex_);
  return hosts_.at(n).caller_address;
}

bool PlatformFleet::PublishConfig(milliseconds timeout) {
  const auto timeout_ms = static_cast<int>(timeout.count());
  std::string rules =
      absl::StrFormat(kRule, "calls", "safe", "calls", "callboard", timeout_ms);
  absl::StrAppend(
      &rules, ",",
      absl::StrFormat(kRule, "look", "safe", "look", "lodger", timeout_ms), ",",
      absl::StrFormat(kRule, "lodge", "unsafe", "lodge", "lodger", timeout_ms));
  const std::string text = absl::StrFormat(
      R"({"version":"%08x","limits":{"maxHeaderBytes":16384,)"
      R"("maxBodyBytes":%d,"headerTimeout":"3000ms",)"
      R"("idleTimeout":"15000ms"},"listeners":[{"host":"a.example",)"
      R"("rules":[%s]}],"clusters":[{"name":"callboard","healthPath":)"
      R"("/healthz","maxConnections":130,"sharded":true},{"name":"lodger",)"
      R"("healthPath":"/healthz","maxConnections":130}]})",
      ++config_version_, options_.max_body_bytes, rules);
  return Append("keyed.op", "operator", "config", text);
}

bool PlatformFleet::WriteTargetEntry(const std::string& id,
                                     const std::string& text) {
  return Append("keyed.servers", "target", id, text);
}

bool PlatformFleet::SetEvacuated(const std::string& failure_domain,
                                 bool evacuated) {
  return Append("keyed.op", "operator",
                absl::StrCat("evacuate/", failure_domain),
                evacuated ? "{}" : "");
}

bool PlatformFleet::Append(const std::string& topic,
                           const std::string& writer,
                           const std::string& key,
                           const std::string& value) {
  const http::ExchangeResult result = client_.Exchange(
      store_address_,
      {.method = "POST",
       .path = "/log-append",
       .query = absl::StrCat("topic=", topic, "&part=0"),
       .headers = {{"Stand-In-Writer", writer}},
       .body = platform::EncodeFrame(
           platform::EncodeKeyedRecord({.key = key, .value = value}))},
      {.timeout = kCallTimeout});
  return result.progress == http::Progress::kComplete &&
         result.response.status == 200;
}

bool PlatformFleet::IsReady(size_t host) {
  const http::ExchangeResult result =
      client_.Exchange(hosts_.at(host).readiness_address, {.path = "/readyz"},
                       {.timeout = kCallTimeout});
  return result.progress == http::Progress::kComplete &&
         result.response.status == 200;
}

void PlatformFleet::WaitUntilReady() {
  for (size_t n = 0; n < hosts_.size(); ++n) {
    WaitUntil(
        hosts_[n].name + " is ready", [&] { return IsReady(n); }, kReadyLimit);
  }
}

std::string PlatformFleet::Metrics(size_t host) {
  return client_
      .Exchange(hosts_.at(host).metrics_address, {.path = "/metrics"}, {})
      .response.body;
}

bool PlatformFleet::Post(const std::string& address,
                         const std::string& path,
                         const std::string& query) {
  const http::ExchangeResult result = client_.Exchange(
      address, {.method = "POST", .path = path, .query = query},
      {.timeout = kCallTimeout});
  return result.progress == http::Progress::kComplete &&
         result.response.status == 200;
}

bool PlatformFleet::SetStoreFault(const std::string& query) {
  return Post(store_address_, "/fault", query);
}

bool PlatformFleet::SetTargetFault(size_t n, const std::string& query) {
  return Post(targets_.at(n).address, "/fault", query);
}

bool PlatformFleet::SetRelay(const std::string& relay_control,
                             const std::string& query) {
  return Post(relay_control, "/relay", query);
}

}  // namespace toucandock::process
