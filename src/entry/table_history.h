#ifndef TOUCANDOCK_ENTRY_TABLE_HISTORY_H_
#define TOUCANDOCK_ENTRY_TABLE_HISTORY_H_

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "core/keyspace/ownership.h"
#include "entry/peer_json.h"

namespace toucandock::entry {

// The latest tables of owners of each service, from which hosts that are a
// little behind are brought up to date.
class TableHistory {
 public:
  void Add(core::keyspace::OwnershipTable table);
  // What a host lacks that has read all records before `from`; nothing if its
  // table is no longer known.
  std::optional<OwnershipUpdate> UpdateFrom(core::Offset from,
                                            core::Offset end) const;
  // The table that the delta leads to; nothing if its base is not known.
  std::optional<core::keyspace::OwnershipTable> Apply(
      const core::keyspace::OwnershipDelta& delta) const;

 private:
  std::map<std::string, std::deque<core::keyspace::OwnershipTable>> tables_;
};

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_TABLE_HISTORY_H_
