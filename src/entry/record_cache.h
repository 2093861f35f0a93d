#ifndef TOUCANDOCK_ENTRY_RECORD_CACHE_H_
#define TOUCANDOCK_ENTRY_RECORD_CACHE_H_

#include <deque>
#include <optional>

#include "entry/platform_hooks.h"

namespace toucandock::entry {

// The latest records of one stream, without gaps, for peers that do not read
// the store themselves.
class RecordCache {
 public:
  void Add(const ReadResult& result);
  // The stream was read anew; what lies between is not known.
  void StartAt(core::Offset next);
  // Records from an offset on; nothing if some of them are not kept.
  std::optional<ReadResult> From(core::Offset offset) const;
  // Where the stream was read to.
  core::Offset next() const { return next_; }

 private:
  std::deque<StoredRecord> records_;
  // Records from here on are kept.
  core::Offset first_ = 0;
  core::Offset next_ = 0;
  size_t bytes_ = 0;
};

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_RECORD_CACHE_H_
