#ifndef TOUCANDOCK_ENTRY_RECORD_CACHE_H_
#define TOUCANDOCK_ENTRY_RECORD_CACHE_H_

#include <deque>
#include <optional>

#include "entry/platform_hooks.h"

namespace toucandock::entry {

// About the number of bytes that the record takes as text.
size_t EncodedBytes(const StoredRecord& record);

// Keeps the latest records of one stream, without gaps, for peers that do not
// read the store themselves.
class RecordCache {
 public:
  void Add(const ReadResult& result);
  // Discards all records. Must be called when the stream was read again from
  // its newest records, since the records in between are not known.
  void StartAt(core::Offset next);
  // Returns the records from an offset on, or nothing if some of them are no
  // longer kept.
  std::optional<ReadResult> From(core::Offset offset) const;
  // Offset up to which the stream was read.
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
