#include "proxy/in_flight_table.h"

#include <utility>

namespace toucandock::proxy {
namespace {

template <typename Key>
void Decrement(std::map<Key, std::uint32_t>& counts, const Key& key) {
  const auto it = counts.find(key);
  if (--it->second == 0) {
    counts.erase(it);
  }
}

}  // namespace

InFlightTable::Ticket::Ticket(InFlightTable& table,
                              std::uint64_t sequence,
                              std::optional<core::TargetId> target,
                              std::optional<core::Unit> unit)
    : table_(table),
      sequence_(sequence),
      target_(std::move(target)),
      unit_(std::move(unit)) {
  const std::lock_guard<std::mutex> lock(table_.mutex_);
  table_.sending_.insert(sequence_);
  if (target_) {
    ++table_.targets_[*target_];
  }
  if (unit_) {
    ++table_.units_[*unit_];
  }
}

InFlightTable::Ticket::~Ticket() {
  MarkSent();
  const std::lock_guard<std::mutex> lock(table_.mutex_);
  if (target_) {
    Decrement(table_.targets_, *target_);
  }
  if (unit_) {
    Decrement(table_.units_, *unit_);
  }
}

void InFlightTable::Ticket::MarkSent() {
  if (sent_) {
    return;
  }
  sent_ = true;
  const std::lock_guard<std::mutex> lock(table_.mutex_);
  table_.sending_.erase(table_.sending_.find(sequence_));
}

std::optional<std::uint64_t> InFlightTable::OldestSending() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (sending_.empty()) {
    return std::nullopt;
  }
  return *sending_.begin();
}

std::vector<core::Unit> InFlightTable::BusyUnits() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<core::Unit> units;
  for (const auto& [unit, count] : units_) {
    units.push_back(unit);
  }
  return units;
}

std::uint32_t InFlightTable::CountFor(const core::TargetId& target) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = targets_.find(target);
  return it == targets_.end() ? 0 : it->second;
}

}  // namespace toucandock::proxy
