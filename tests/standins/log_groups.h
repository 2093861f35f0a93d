#ifndef TOUCANDOCK_STANDINS_LOG_GROUPS_H_
#define TOUCANDOCK_STANDINS_LOG_GROUPS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "http/message.h"

namespace toucandock::standins {

// Consumer groups: the members of a group share the partitions of a topic. Not
// thread-safe.
class LogGroups {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  // Handles POST /log-join: adds or renews a member and returns its partitions.
  http::Response Join(const http::Request& request, TimePoint now);
  // Handles POST /log-leave: removes a member.
  http::Response Leave(const http::Request& request, TimePoint now);
  // Reassigns all partitions immediately, without waiting for their holders.
  void Rebalance();
  // All members have to join again, and generations start again.
  void Forget() { groups_.clear(); }

 private:
  struct Member {
    TimePoint expires;
  };

  struct Group {
    std::string topic;
    std::uint64_t generation = 0;
    std::map<std::string, Member> members;
    // For each partition, the member that holds it now and the member that will
    // hold it after the current reassignment.
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
