#ifndef TOUCANDOCK_ENTRY_TABLE_HISTORY_H_
#define TOUCANDOCK_ENTRY_TABLE_HISTORY_H_

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "core/keyspace/ownership.h"
#include "entry/peer_json.h"

namespace toucandock::entry {

// Keeps the latest ownership tables of each service, from which it computes the
// changes for hosts that lag a little.
class TableHistory {
 public:
  void Add(core::keyspace::OwnershipTable table);
  // Returns the changes for a host that has read all records before `from`, or
  // nothing if the table of that host is no longer kept.
  std::optional<OwnershipUpdate> UpdateFrom(core::Offset from,
                                            core::Offset end) const;
  // Returns the newest table of each service as records of a stream that ends
  // at `end`.
  ReadResult Newest(core::Offset end) const;
  // Applies the delta to the newest table. Returns nothing if the delta is
  // based on another table.
  std::optional<core::keyspace::OwnershipTable> Apply(
      const core::keyspace::OwnershipDelta& delta) const;

 private:
  std::map<std::string, std::deque<core::keyspace::OwnershipTable>> tables_;
};

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_TABLE_HISTORY_H_
