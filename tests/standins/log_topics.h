#ifndef TOUCANDOCK_STANDINS_LOG_TOPICS_H_
#define TOUCANDOCK_STANDINS_LOG_TOPICS_H_

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

 private:
  struct Partition {
    std::uint64_t first = 0;
    std::deque<std::string> records;
    // For keyed topics: offset and value of the newest record of each key.
    std::map<std::string, std::pair<std::uint64_t, std::string>> newest;

    std::uint64_t end() const { return first + records.size(); }
  };

  Partition& PartitionOf(const http::Request& request);
  void Trim(Partition& partition) const;

  std::map<std::pair<std::string, std::uint64_t>, Partition> partitions_;
  size_t retained_ = 1'000'000;
};

// Returns the number in the query parameter, or `fallback_value` if the
// parameter is missing or not a number.
std::uint64_t NumberIn(const http::Request& request,
                       const char* name,
                       std::uint64_t fallback_value);

}  // namespace toucandock::standins

#endif  // TOUCANDOCK_STANDINS_LOG_TOPICS_H_
