#ifndef TOUCANDOCK_STANDINS_LOG_GROUPS_H_
#define TOUCANDOCK_STANDINS_LOG_GROUPS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "http/message.h"

namespace toucandock::standins {

// Groups whose members share the partitions of a topic. Not thread-safe.
class LogGroups {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  // POST /log-join
  http::Response Join(const http::Request& request, TimePoint now);
  // POST /log-leave
  http::Response Leave(const http::Request& request, TimePoint now);
  // Assigns all partitions anew at once.
  void Rebalance();

 private:
  struct Member {
    TimePoint expires;
  };

  struct Group {
    std::string topic;
    std::uint64_t generation = 0;
    std::map<std::string, Member> members;
    // Who holds each partition now, and who is to hold it.
    std::vector<std::string> holders;
    std::vector<std::string> planned_holders;
    size_t rotation = 0;
  };

  static void Expire(Group& group, TimePoint now);
  static void Redistribute(Group& group);
  static void HandOver(Group& group, const std::string& member);

  std::map<std::string, Group> groups_;
};

}  // namespace toucandock::standins

#endif  // TOUCANDOCK_STANDINS_LOG_GROUPS_H_
