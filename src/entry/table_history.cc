#include "entry/table_history.h"

#include <algorithm>
#include <utility>

#include "core/position.h"

namespace toucandock::entry {
namespace {

// Hosts ask several times a second, and a table is written at most eight times
// a second.
constexpr size_t kMaxTables = 12;

}  // namespace

void TableHistory::Add(core::keyspace::OwnershipTable table) {
  auto& tables = tables_[table.service];
  if (!tables.empty() && tables.back().offset >= table.offset) {
    return;
  }
  tables.push_back(std::move(table));
  if (tables.size() > kMaxTables) {
    tables.pop_front();
  }
}

std::optional<OwnershipUpdate> TableHistory::UpdateFrom(
    core::Offset from,
    core::Offset end) const {
  OwnershipUpdate update{.end = end};
  for (const auto& [service, tables] : tables_) {
    if (tables.back().offset < from) {
      continue;
    }
    const auto base =
        std::find_if(tables.rbegin(), tables.rend(),
                     [from](const auto& table) { return table.offset < from; });
    // After a restore of the store, hosts may know different tables with the
    // same position of the earlier era.
    if (base == tables.rend() ||
        core::EraOf(base->offset) != core::EraOf(tables.back().offset)) {
      return std::nullopt;
    }
    update.deltas.push_back(core::keyspace::ComputeDelta(*base, tables.back()));
  }
  return update;
}

ReadResult TableHistory::Newest(core::Offset end) const {
  ReadResult result{.status = StoreStatus::kOk, .end = end};
  for (const auto& [service, tables] : tables_) {
    const core::keyspace::OwnershipTable& table = tables.back();
    result.records.push_back(
        {.offset = table.offset,
         .key = service,
         .table =
             std::make_shared<const core::keyspace::OwnershipTable>(table)});
  }
  std::sort(result.records.begin(), result.records.end(),
            [](const StoredRecord& a, const StoredRecord& b) {
              return a.offset < b.offset;
            });
  return result;
}

std::optional<core::keyspace::OwnershipTable> TableHistory::Apply(
    const core::keyspace::OwnershipDelta& delta) const {
  const auto tables = tables_.find(delta.changes.service);
  if (tables == tables_.end()) {
    return std::nullopt;
  }
  return core::keyspace::ApplyDelta(tables->second.back(), delta);
}

}  // namespace toucandock::entry
