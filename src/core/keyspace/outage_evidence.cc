#include "core/keyspace/outage_evidence.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace toucandock::core::keyspace {
namespace {

// Longer than a successor waits for the leases of earlier leaders, so that a
// host that is silent by then is of no further use.
constexpr std::chrono::seconds kForgetAfter{120};

}  // namespace

void OutageEvidence::OnReport(const HostReport& report, TimePoint now) {
  std::erase_if(hosts_, [now](const auto& it) {
    return now - it.second.last_received > kForgetAfter;
  });
  HostState& state = hosts_[report.host];
  state.last_received = now;
  // A host that follows another leader may be the successor or depend on it.
  state.lost_after = report.store_lost && report.follows_receiver
                         ? report.sent_after
                         : std::nullopt;
  if (report.records_end > taken_over_at_) {
    // The host has read the record with which this one took over, so its
    // reports no longer count at an earlier leader. Before, they did not while
    // the host had the store.
    const TimePoint since = report.store_lost ? now : now - report.store_up;
    state.follows_since = std::min(state.follows_since.value_or(since), since);
  }
}

void OutageEvidence::OnTakeover(Offset offset) {
  taken_over_at_ = offset;
  for (auto& [host, state] : hosts_) {
    state.follows_since = std::nullopt;
  }
}

size_t OutageEvidence::RequiredReports(const HostList& list) const {
  return static_cast<size_t>(
      std::ceil(options_.min_fraction * static_cast<double>(list.size())));
}

TimePoint OutageEvidence::OutageEnd(const std::vector<HostList>& lists) const {
  std::optional<TimePoint> end;
  for (const HostList& list : lists) {
    const size_t required = RequiredReports(list);
    std::vector<TimePoint> times;
    for (const std::string& it : list) {
      const auto found = hosts_.find(it);
      if (found != hosts_.end() && found->second.lost_after) {
        times.push_back(*found->second.lost_after);
      }
    }
    if (required == 0 || times.size() < required) {
      return TimePoint{};
    }
    std::sort(times.begin(), times.end(), std::greater<>());
    const TimePoint until = times[required - 1] + options_.report_lifetime;
    end = std::min(end.value_or(until), until);
  }
  return end.value_or(TimePoint{});
}

std::optional<TimePoint> OutageEvidence::ExcludedSince(
    const std::vector<HostList>& lists,
    const std::string& own_address,
    TimePoint own_store_up_since) const {
  std::optional<TimePoint> excluded_since;
  for (const HostList& list : lists) {
    if (list.empty()) {
      // Without other hosts, no leader acts without the store.
      continue;
    }
    const size_t required = list.size() - RequiredReports(list) + 1;
    std::vector<TimePoint> times;
    for (const std::string& it : list) {
      const auto found = hosts_.find(it);
      if (it == own_address) {
        times.push_back(own_store_up_since);
      } else if (found != hosts_.end() && found->second.follows_since) {
        times.push_back(*found->second.follows_since);
      }
    }
    if (times.size() < required) {
      return std::nullopt;
    }
    std::sort(times.begin(), times.end());
    const TimePoint since = times[required - 1];
    excluded_since = std::max(excluded_since.value_or(since), since);
  }
  return excluded_since.value_or(TimePoint{});
}

HostList OutageEvidence::Hosts(TimePoint now) const {
  HostList hosts;
  for (const auto& [host, state] : hosts_) {
    if (now - state.last_received <= options_.host_lifetime) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

}  // namespace toucandock::core::keyspace
