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

// Topics of the stand-in log with their partitions. Not thread-safe.
class LogTopics {
 public:
  // POST /log-append
  http::Response Append(const http::Request& request);
  // GET /log-read, without waiting.
  http::Response Read(const http::Request& request);
  // GET /log-newest
  http::Response Newest(const http::Request& request);

  // Whether a read from this request's offset has something to return.
  bool HasRecords(const http::Request& request);
  // Keeps at most this many records of each partition from now on.
  void SetRetained(size_t records);
  // Drops all records; the newest of each key stay readable.
  void ForgetHistory();

 private:
  struct Partition {
    std::uint64_t first = 0;
    std::deque<std::string> records;
    // Of keyed topics: the newest record of each key, and its offset.
    std::map<std::string, std::pair<std::uint64_t, std::string>> newest;

    std::uint64_t end() const { return first + records.size(); }
  };

  Partition& PartitionOf(const http::Request& request);
  void Trim(Partition& partition) const;

  std::map<std::pair<std::string, std::uint64_t>, Partition> partitions_;
  size_t retained_ = 1'000'000;
};

std::uint64_t NumberIn(const http::Request& request,
                       const char* name,
                       std::uint64_t fallback_value);

}  // namespace toucandock::standins

#endif  // TOUCANDOCK_STANDINS_LOG_TOPICS_H_
