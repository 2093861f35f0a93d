#include "core/request/attempt_placement.h"

#include <algorithm>
#include <cstdint>
#include <map>

#include "absl/strings/str_cat.h"
#include "util/hash.h"

namespace toucandock::core::request {
namespace {

using control::HostInfo;

constexpr size_t kCopies = 2;

bool Contains(const std::vector<HostInfo>& hosts, const HostId& id) {
  return std::any_of(hosts.begin(), hosts.end(),
                     [&](const HostInfo& it) { return it.id == id; });
}

}  // namespace

// Returns the hosts that keep the attempt records of this request, highest
// rendezvous hash first: two hosts, or one if the fleet has only one. When one
// member joins or leaves, at most one of these hosts changes.
std::vector<HostInfo> RegistryHosts(const std::vector<HostInfo>& members,
                                    absl::string_view service,
                                    absl::string_view request_id) {
  const std::uint64_t seed =
      util::Hash64(absl::StrCat(service, "/", request_id));
  std::vector<std::pair<std::uint64_t, const HostInfo*>> ranks;
  ranks.reserve(members.size());
  for (const HostInfo& it : members) {
    ranks.emplace_back(util::Hash64(it.id, seed), &it);
  }
  const size_t n = std::min(kCopies, ranks.size());
  std::partial_sort(ranks.begin(), ranks.begin() + n, ranks.end(),
                    [](const auto& a, const auto& b) {
                      return a.first != b.first ? a.first > b.first
                                                : a.second->id < b.second->id;
                    });
  std::vector<HostInfo> hosts;
  for (size_t k = 0; k < n; ++k) {
    hosts.push_back(*ranks[k].second);
  }
  return hosts;
}

// Returns which records have to be sent to which hosts after a change of
// membership. A record is sent to each host that keeps it from now on and did
// not keep it before.
std::vector<Handover> PlanHandover(const std::vector<AttemptRecord>& records,
                                   const std::vector<HostInfo>& before,
                                   const std::vector<HostInfo>& after,
                                   const HostId& self) {
  std::map<HostId, Handover> plan;
  for (const AttemptRecord& record : records) {
    const std::string& service = record.key.service;
    const std::string& id = record.key.request_id;
    const std::vector<HostInfo> old_hosts = RegistryHosts(before, service, id);
    for (const HostInfo& host : RegistryHosts(after, service, id)) {
      if (host.id != self && !Contains(old_hosts, host.id)) {
        Handover& handover = plan[host.id];
        handover.to = host;
        handover.records.push_back(record);
      }
    }
  }
  std::vector<Handover> result;
  result.reserve(plan.size());
  for (auto& [id, handover] : plan) {
    result.push_back(std::move(handover));
  }
  return result;
}

}  // namespace toucandock::core::request
