#ifndef TOUCANDOCK_STANDINS_LOG_TOPICS_H_
#define TOUCANDOCK_STANDINS_LOG_TOPICS_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "http/message.h"
#include "platform/log_protocol.h"

namespace toucandock::standins {

// The topics of the stand-in log and their partitions. Not thread-safe.
class LogTopics {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  // Handles POST /log-append.
  http::Response Append(const http::Request& request);
  // Handles GET /log-read, but does not wait for records.
  http::Response Read(const http::Request& request);
  // Handles GET /log-newest.
  http::Response Newest(const http::Request& request);

  // Whether there are records at or after the offset of this read request.
  bool HasRecords(const http::Request& request);
  // Limits the number of records that each partition keeps.
  void SetRetained(size_t records);
  // Drops all records; the newest of each key stay readable.
  void ForgetHistory();
  // Takes back all appends since `from`, so that their offsets are assigned
  // again. Those of operators and targets wait for WriteAgain().
  void GoBackTo(TimePoint from);
  // Appends what operators and targets had written, as they do after a restore.
  void WriteAgain();

 private:
  using NewestRecord = std::pair<std::uint64_t, std::string>;

  // How to take an append of one record back.
  struct Undo {
    TimePoint at;
    std::string record;
    std::string key;
    // What the key's newest record was before.
    std::optional<NewestRecord> previous;
  };

  struct Partition {
    std::uint64_t first = 0;
    std::deque<std::string> records;
    // For keyed topics: offset and value of the newest record of each key.
    std::map<std::string, NewestRecord> newest;
    std::deque<Undo> undo;

    std::uint64_t end() const { return first + records.size(); }
  };

  Partition& PartitionOf(const http::Request& request);
  void AppendRecord(const std::string& topic,
                    Partition& partition,
                    const std::string& record);
  static void TakeBack(Partition& partition);
  void Trim(Partition& partition) const;

  std::map<std::pair<std::string, std::uint64_t>, Partition> partitions_;
  // Topics and records to be written again.
  std::vector<std::pair<std::string, std::string>> lost_;
  size_t retained_ = 1'000'000;
};

// Returns the number in the query parameter, or `fallback_value` if the
// parameter is missing or not a number.
std::uint64_t NumberIn(const http::Request& request,
                       const char* name,
                       std::uint64_t fallback_value);

}  // namespace toucandock::standins

#endif  // TOUCANDOCK_STANDINS_LOG_TOPICS_H_
