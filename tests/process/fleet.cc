#include "process/fleet.h"

#include <algorithm>
#include <map>
#include <stdexcept>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "platform/log_protocol.h"

namespace toucandock::process {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kReadyLimit{30'000};
constexpr milliseconds kToolLimit{30'000};

}  // namespace

// Starts all stand-ins and hosts and returns when all hosts have bound their
// ports.
Fleet::Fleet(FleetOptions options) : options_(std::move(options)) {
  log_address_ = folder_.StartStandIn("log", "standin_log", {}, log_);
  host_list_address_ =
      folder_.StartStandIn("host_list", "standin_host_list", {}, host_list_);
  targets_.resize(options_.targets);
  for (size_t n = 0; n < targets_.size(); ++n) {
    targets_[n].name = absl::StrCat("target", n);
    targets_[n].journal_file = folder_.PathOf(targets_[n].name + ".journal");
    StartTarget(n, "127.0.0.1:0");
  }
  for (size_t n = 0; n < options_.hosts; ++n) {
    AddHost();
  }
}

Fleet::~Fleet() {
  hosts_.clear();
  relays_.clear();
  targets_.clear();
  host_list_.reset();
  log_.reset();
}

void Fleet::StartTarget(size_t n, const std::string& address) {
  TargetProcess& target = targets_[n];
  target.address = folder_.StartStandIn(
      target.name, "standin_target",
      {absl::StrCat("--name=", target.name),
       absl::StrCat("--address=", address),
       absl::StrCat("--journal=", target.journal_file),
       absl::StrCat("--checks_fences=",
                    options_.checks_fences ? "true" : "false"),
       "--slots=64"},
      target.process);
}

void Fleet::RestartTarget(size_t n) {
  targets_[n].process.reset();
  StartTarget(n, targets_[n].address);
}

void Fleet::StartRelay() {
  RelayProcess relay;
  const std::string name = absl::StrCat("relay", relays_.size());
  const std::string file = folder_.PathOf(name + ".relay");
  relay.control_address = folder_.StartStandIn(
      name, "standin_relay", {absl::StrCat("--relay_address_file=", file)},
      relay.process);
  WaitUntil("relay address of " + name,
            [&] { return absl::EndsWith(ReadFile(file), "\n"); });
  relay.address = ReadFile(file);
  relay.address.pop_back();
  relays_.push_back(std::move(relay));
}

size_t Fleet::AddHost(const std::vector<std::string>& seed_peers) {
  const size_t n = hosts_.size();
  hosts_.push_back(std::make_unique<EntryHost>());
  hosts_[n]->name = absl::StrCat("entry", n);
  if (options_.relays) {
    StartRelay();
  }
  StartHost(n, seed_peers);
  return n;
}

void Fleet::StartHost(size_t n, const std::vector<std::string>& seed_peers) {
  EntryHost& host = *hosts_[n];
  host.process.reset();
  WriteSettings(host, n, seed_peers);
  std::map<std::string, std::string> bound = folder_.StartWithPorts(
      host.name,
      {Program("toucandockd"),
       absl::StrCat("--settings=", folder_.PathOf(host.name + ".yaml"))},
      host.process);
  host.caller_address = bound["caller"];
  host.peer_address = bound["peer"];
  host.operator_address = bound["operator"];
  if (options_.relays) {
    Post(relays_[n].control_address, "/relay",
         absl::StrCat("to=", host.peer_address));
  }
}

void Fleet::WriteSettings(const EntryHost& host,
                          size_t n,
                          const std::vector<std::string>& seed_peers) {
  std::string text =
      absl::StrCat("host_name: ", host.name, "\nfailure_domain: lk-west-",
                   n % 4 + 1, "\nlog_address: ", log_address_,
                   "\nhost_list_address: ", host_list_address_,
                   "\naddress_file: ", folder_.PathOf(host.name + ".addresses"),
                   "\n", options_.settings);
  if (options_.relays) {
    absl::StrAppend(&text, "advertised_peer_address: ", relays_[n].address,
                    "\n");
  }
  if (!seed_peers.empty()) {
    absl::StrAppend(&text, "seed_peers: [\"",
                    absl::StrJoin(seed_peers, "\", \""), "\"]\n");
  }
  WriteFile(absl::StrCat(host.name, ".yaml"), text);
}

std::string Fleet::WriteFile(const std::string& name, const std::string& text) {
  return folder_.WriteFile(name, text);
}

std::string Fleet::ConfigText(const std::string& extra_service) const {
  std::string targets;
  for (size_t n = 0; n < targets_.size(); ++n) {
    absl::StrAppend(
        &targets, "      - {address: \"", targets_[n].address,
        "\", failure_domain: lk-west-", n % 4 + 1,
        ", checks_fences: ", options_.checks_fences ? "true" : "false", "}\n");
  }
  std::string text = absl::StrCat(
      "services:\n  - name: ", kService,
      "\n    keyed: true\n    slots: 64\n    shards: ", options_.shards,
      "\n    targets:\n", targets);
  if (!extra_service.empty()) {
    absl::StrAppend(&text, "  - name: ", extra_service, "\n    targets:\n",
                    targets);
  }
  return text;
}

ToolResult Fleet::RunTool(const std::vector<std::string>& words) {
  const std::string output =
      folder_.PathOf(absl::StrCat("tool", ++tool_run_count_, ".out"));
  std::vector<std::string> command = {Program("toucandock"),
                                      absl::StrCat("--log=", log_address_)};
  command.insert(command.end(), words.begin(), words.end());
  ChildProcess tool(command, output);
  const int exit_code =
      tool.WaitForExit(absl::StrCat("toucandock ", words[0]), kToolLimit);
  return {exit_code, ReadFile(output)};
}

void Fleet::PublishAndWait() {
  const std::string file = WriteFile("services.yaml", ConfigText());
  const ToolResult result = RunTool({"publish", file});
  if (result.exit_code != 0) {
    throw std::runtime_error("publish failed: " + result.output);
  }
  std::vector<size_t> all;
  for (size_t n = 0; n < hosts_.size(); ++n) {
    all.push_back(n);
  }
  WaitUntilReady(all);
  WaitUntil(
      "an odd number of voters, at least 3 when there are as many hosts",
      [&] {
        return Status(0)["voters"].asUInt64() >=
               std::min<size_t>(3, hosts_.size());
      },
      kReadyLimit);
  WaitUntil(
      "an owner for each unit",
      [&] { return Status(0)["moves_under_way"].asUInt64() == 0; },
      kReadyLimit);
}

bool Fleet::IsReady(size_t n) {
  return client_
             .Exchange(hosts_[n]->operator_address, {.path = "/ready"},
                       {.timeout = milliseconds(1'000)})
             .response.status == 200;
}

void Fleet::WaitUntilReady(const std::vector<size_t>& hosts) {
  for (const size_t n : hosts) {
    WaitUntil(
        absl::StrCat(hosts_[n]->name, " is ready"), [&] { return IsReady(n); },
        kReadyLimit);
  }
}

Json::Value Fleet::Status(size_t n) {
  const http::ExchangeResult result =
      client_.Exchange(hosts_[n]->operator_address, {.path = "/status"},
                       {.timeout = milliseconds(1'000)});
  if (result.progress != http::Progress::kComplete) {
    return {};
  }
  const auto value = codec::ParseJson(result.response.body);
  return value.ok() ? *value : Json::Value();
}

std::string Fleet::Metrics(size_t n) {
  return client_
      .Exchange(hosts_[n]->operator_address, {.path = "/metrics"},
                {.timeout = milliseconds(2'000)})
      .response.body;
}

size_t Fleet::Leader(const std::vector<size_t>& asked) {
  size_t leader = 0;
  WaitUntil("a leader", [&] {
    for (const size_t n : asked) {
      const Json::Value status = Status(n);
      if (status.isObject() && status["is_leader"].asBool() &&
          status["has_lease"].asBool()) {
        leader = n;
        return true;
      }
    }
    return false;
  });
  return leader;
}

std::vector<size_t> Fleet::HostsExcept(size_t n) const {
  std::vector<size_t> result;
  for (size_t k = 0; k < hosts_.size(); ++k) {
    if (k != n) {
      result.push_back(k);
    }
  }
  return result;
}

size_t Fleet::TargetNamed(const std::string& name) const {
  for (size_t n = 0; n < targets_.size(); ++n) {
    if (targets_[n].name == name) {
      return n;
    }
  }
  throw std::runtime_error("no target is named '" + name + "'");
}

// Asks the operators' port rather than sending a request through the host, so
// that no request of this function appears in the journals of the targets.
std::string Fleet::OwnerOf(size_t host, const std::string& key) {
  std::string owner;
  WaitUntil("an owner of " + key, [&] {
    const http::ExchangeResult result = client_.Exchange(
        hosts_[host]->operator_address,
        {.path = "/explain",
         .query = absl::StrCat("service=", kService, "&key=", key)},
        {.timeout = milliseconds(2'000)});
    const auto value = codec::ParseJson(result.response.body);
    if (result.response.status != 200 || !value.ok()) {
      return false;
    }
    const std::string text = (*value)["owner"].asString();
    for (const TargetProcess& it : targets_) {
      if (absl::StrContains(text, it.address + " ")) {
        owner = it.name;
      }
    }
    return !owner.empty();
  });
  return owner;
}

void Fleet::Post(const std::string& address,
                 const std::string& path,
                 const std::string& query) {
  const http::ExchangeResult result = client_.Exchange(
      address, {.method = "POST", .path = path, .query = query}, {});
  if (result.progress != http::Progress::kComplete ||
      result.response.status != 200) {
    throw std::runtime_error(
        absl::StrCat("POST ", path, "?", query, " failed"));
  }
}

void Fleet::SetLogFault(const std::string& query) {
  Post(log_address_, "/fault", query);
}

void Fleet::AppendToLog(const std::string& record) {
  client_.Exchange(log_address_,
                   {.method = "POST",
                    .path = "/log-append",
                    .query = "topic=toucandock&part=0",
                    .body = platform::EncodeFrame(record)},
                   {});
}

std::uint64_t Fleet::FirstRetained() {
  const http::ExchangeResult result = client_.Exchange(
      log_address_,
      {.path = "/log-read", .query = "topic=toucandock&part=0&from=0"}, {});
  if (result.response.status == 410) {
    const auto value = codec::ParseJson(result.response.body);
    return value.ok() ? (*value)["first"].asUInt64() : 0;
  }
  const auto page = platform::DecodePage(result.response.body);
  return page.ok() ? page->first : 0;
}

void Fleet::SetTargetFault(size_t n, const std::string& query) {
  Post(targets_[n].address, "/fault", query);
}

void Fleet::SetHostList(const std::string& json) {
  client_.Exchange(host_list_address_,
                   {.method = "PUT", .path = "/hosts", .body = json}, {});
}

// A relay recognizes the connections of the other host by that host's id, which
// appears in the data that it sends.
void Fleet::Cut(size_t a, size_t b, const std::string& mode) {
  const std::string id_a = Status(a)["host"].asString();
  const std::string id_b = Status(b)["host"].asString();
  Post(relays_[a].control_address, "/relay",
       absl::StrCat("from=", id_b, "&mode=", mode));
  Post(relays_[b].control_address, "/relay",
       absl::StrCat("from=", id_a, "&mode=", mode));
}

void Fleet::Heal() {
  for (const RelayProcess& it : relays_) {
    Post(it.control_address, "/relay", "mode=pass");
  }
}

}  // namespace toucandock::process
