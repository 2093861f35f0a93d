#include "daemon/poison_service.h"

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

#include "codec/attempt_json.h"

namespace toucandock::daemon {
namespace {

using core::control::HostInfo;
using core::request::CrashReport;
using core::request::PoisonKey;
using core::request::PoisonMatch;

// Delay before the second probe. A process that ends closes its sockets one by
// one, so the connection may break shortly before new connections are refused.
constexpr std::chrono::milliseconds kSecondProbeDelay{20};
// Maximum number of targets whose process is stored; a tenant has about 43.
constexpr size_t kMaxInstances = 16'384;

}  // namespace

PoisonService::PoisonService(core::HostId self,
                             const core::request::PoisonOptions& options,
                             PoisonHooks hooks)
    : self_(std::move(self)), hooks_(std::move(hooks)), registry_(options) {}

PoisonMatch PoisonService::FindMatch(const PoisonKey& key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return registry_.FindMatch(key, hooks_.now());
}

void PoisonService::OnBroken(const CrashReport& report,
                             const std::string& address) {
  if (!HasCrashed(report.target, address)) {
    return;
  }
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!registry_.Report(report, hooks_.now())) {
      return;
    }
  }
  const std::string params = codec::Encode(std::vector<CrashReport>{report});
  for (const HostInfo& host : hooks_.members()) {
    if (host.id != self_) {
      hooks_.run([this, address = host.peer_address, params] {
        hooks_.call_peer(address, "poison_report", params);
      });
    }
  }
}

void PoisonService::OnAnswer(const PoisonKey& key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  // The configuration of toucandockd has no software versions of targets, so
  // the version is left empty.
  registry_.MarkSafe(key, "", hooks_.now());
}

void PoisonService::OnInstance(const core::TargetId& target,
                               const std::string& instance) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (instance.empty()) {
    return;
  }
  if (instances_.size() >= kMaxInstances) {
    instances_.clear();
  }
  instances_[target] = instance;
}

void PoisonService::OnMembersChanged() {
  hooks_.run([this] { SendToNewMembers(); });
}

std::vector<peer::Method> PoisonService::PeerMethods() {
  return {{"poison_report", [this](const std::string& params) -> std::string {
             const auto reports = codec::ParseCrashReports(params);
             if (!reports.ok()) {
               return "";
             }
             const std::lock_guard<std::mutex> lock(mutex_);
             for (const CrashReport& it : *reports) {
               registry_.Report(it, hooks_.now());
             }
             return "{}";
           }}};
}

// A broken connection alone does not show a crash: the target may have closed
// it, or the network may have failed. The target has crashed when it refuses
// connections or when another process responds for it.
bool PoisonService::HasCrashed(const core::TargetId& target,
                               const std::string& address) {
  std::string known;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = instances_.find(target);
    known = it == instances_.end() ? "" : it->second;
  }
  for (const auto wait : {std::chrono::milliseconds(0), kSecondProbeDelay}) {
    std::this_thread::sleep_for(wait);
    const ProbeResult result = hooks_.probe(address);
    if (result.refused) {
      return true;
    }
    OnInstance(target, result.instance);
    if (!known.empty() && !result.instance.empty() &&
        result.instance != known) {
      return true;
    }
  }
  return false;
}

void PoisonService::SendToNewMembers() {
  const std::lock_guard<std::mutex> informing_lock(members_mutex_);
  const std::vector<HostInfo> members = hooks_.members();
  if (members == informed_members_) {
    return;
  }
  const std::vector<HostInfo> before =
      std::exchange(informed_members_, members);
  std::vector<CrashReport> reports;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    reports = registry_.Reports(hooks_.now());
  }
  if (reports.empty()) {
    return;
  }
  const std::string params = codec::Encode(reports);
  for (const HostInfo& host : members) {
    if (host.id != self_ &&
        std::find(before.begin(), before.end(), host) == before.end()) {
      hooks_.call_peer(host.peer_address, "poison_report", params);
    }
  }
}

}  // namespace toucandock::daemon
