#include "core/relay/relay_tree.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <tuple>

#include "absl/strings/str_cat.h"
#include "util/hash.h"

namespace toucandock::core::relay {
namespace {

// Several times the time after which a host that is not heard is not counted.
constexpr Duration kSizeWindow = std::chrono::seconds(10);

bool Contains(const std::vector<Relay>& relays, const std::string& address) {
  return std::any_of(relays.begin(), relays.end(),
                     [&](const Relay& it) { return it.address == address; });
}

// Adds a count and removes those that are older than the window.
void AddCount(int count,
              TimePoint now,
              Duration window,
              std::deque<std::pair<TimePoint, int>>& counts) {
  counts.emplace_back(now, count);
  while (counts.front().first + window < now) {
    counts.pop_front();
  }
}

bool HasSmallerCount(const std::pair<TimePoint, int>& a,
                     const std::pair<TimePoint, int>& b) {
  return a.second < b.second;
}

size_t WantedRelays(size_t present, int hosts, const TreeOptions& options) {
  const double limit = options.max_direct_hosts *
                       (present > 0 ? options.dismissal_fraction : 1.0);
  if (hosts <= limit) {
    return 0;
  }
  const auto wanted = static_cast<size_t>(std::ceil(std::sqrt(hosts)));
  // A few relays too many cost less than the change of their hosts to others.
  const size_t kept = present <= 2 * wanted ? present : 0;
  return std::min(std::max(wanted, kept), options.max_relays);
}

}  // namespace

std::vector<Relay> AppointRelays(const std::vector<Relay>& present,
                                 const std::vector<RelayCandidate>& candidates,
                                 int hosts,
                                 const TreeOptions& options) {
  std::vector<Relay> relays;
  std::map<std::string, int> relays_in_domain;
  std::vector<const RelayCandidate*> others;
  for (const RelayCandidate& it : candidates) {
    relays_in_domain.try_emplace(it.relay.failure_domain, 0);
    if (it.capacity <= 0) {
      continue;
    }
    if (Contains(present, it.relay.address)) {
      relays.push_back(it.relay);
      ++relays_in_domain[it.relay.failure_domain];
    } else {
      others.push_back(&it);
    }
  }
  const size_t wanted = WantedRelays(relays.size(), hosts, options);
  if (wanted == 0) {
    return {};
  }
  while (relays.size() < wanted && !others.empty()) {
    const auto best = std::min_element(
        others.begin(), others.end(),
        [&](const RelayCandidate* a, const RelayCandidate* b) {
          return std::tuple(relays_in_domain[a->relay.failure_domain],
                            -a->capacity, a->relay.address) <
                 std::tuple(relays_in_domain[b->relay.failure_domain],
                            -b->capacity, b->relay.address);
        });
    ++relays_in_domain[(*best)->relay.failure_domain];
    relays.push_back((*best)->relay);
    others.erase(best);
  }
  std::sort(relays.begin(), relays.end(), [](const Relay& a, const Relay& b) {
    return a.address < b.address;
  });
  if (relays.size() > wanted) {
    relays.resize(wanted);
  }
  return relays;
}

int FleetSize::Add(int count, TimePoint now) {
  // Longer than the lifetime of a heartbeat, 2 s.
  constexpr Duration kCountWindow = std::chrono::milliseconds(2'500);
  if (counts_.empty() || counts_.back().first + kCountWindow < now) {
    counted_since_ = now;
  }
  AddCount(count, now, kCountWindow, counts_);
  const int size =
      std::min_element(counts_.begin(), counts_.end(), HasSmallerCount)->second;
  AddCount(size, now, kSizeWindow, sizes_);
  return size;
}

int FleetSize::largest() const {
  return sizes_.empty()
             ? 0
             : std::max_element(sizes_.begin(), sizes_.end(), HasSmallerCount)
                   ->second;
}

bool FleetSize::HasSettled() const {
  return !counts_.empty() &&
         counts_.back().first - counted_since_ >= kSizeWindow;
}

bool FleetSize::HasDropped() const {
  return !sizes_.empty() && 2 * sizes_.back().second < largest();
}

void RelayChoice::SetRelays(std::vector<Relay> relays) {
  relays_ = std::move(relays);
  std::erase_if(avoided_until_, [this](const auto& it) {
    return !Contains(relays_, it.first);
  });
}

void RelayChoice::OnAsked(TimePoint now) {
  const auto current = Current(now);
  if (!current) {
    unanswered_since_ = std::nullopt;
    return;
  }
  if (!unanswered_since_) {
    unanswered_since_ = now;
  } else if (now - *unanswered_since_ >= options_.relay_timeout) {
    avoided_until_[*current] = now + options_.relay_backoff;
    unanswered_since_ = std::nullopt;
  }
}

void RelayChoice::OnAnswer(const std::string& relay,
                           bool fresh,
                           TimePoint now) {
  if (fresh && Current(now) == relay) {
    unanswered_since_ = std::nullopt;
  }
}

std::optional<std::string> RelayChoice::Current(TimePoint now) const {
  if (IsRelay()) {
    return std::nullopt;
  }
  // Rendezvous hashing: each host ranks the relays in its own order.
  const Relay* best = nullptr;
  std::pair<bool, std::uint64_t> best_rank;
  for (const Relay& it : relays_) {
    const std::pair<bool, std::uint64_t> rank(
        it.failure_domain == self_.failure_domain,
        util::Hash64(absl::StrCat(self_.address, "|", it.address)));
    if (!IsAvoided(it.address, now) && (best == nullptr || rank > best_rank)) {
      best = &it;
      best_rank = rank;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->address);
}

bool RelayChoice::IsAmongRelays(const std::string& address) const {
  return Contains(relays_, address);
}

bool RelayChoice::IsAvoided(const std::string& relay, TimePoint now) const {
  const auto it = avoided_until_.find(relay);
  return it != avoided_until_.end() && now < it->second;
}

}  // namespace toucandock::core::relay
