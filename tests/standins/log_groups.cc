#include "standins/log_groups.h"

#include <utility>

#include "absl/strings/match.h"
#include "codec/json.h"
#include "platform/wire_time.h"

namespace toucandock::standins {
namespace {

constexpr size_t kPartitions = 24;

}  // namespace

// A partition moves from its holder to another member only when the holder
// joins with the newest generation, which shows that it knows about the change.
http::Response LogGroups::Join(const http::Request& request, TimePoint now) {
  const auto value = codec::ParseJson(request.body);
  absl::Status status = value.status();
  const Json::Value body = value.ok() ? *value : Json::Value();
  codec::ObjectReader fields(body, status);
  const std::string name = fields.String("member");
  const std::string group_name = fields.String("group");
  const core::Duration ttl = platform::ReadTime(fields, "ttl_time");
  const std::uint64_t known = fields.Uint("generation");
  const Json::Value& topics = fields.Array("topics");
  if (!status.ok() || topics.empty()) {
    return http::JsonResponse(400, "{}");
  }
  Group& group = groups_[group_name];
  group.topic = topics[0].asString();
  group.holders.resize(kPartitions);
  Expire(group, now);
  const bool is_new = !group.members.contains(name);
  group.members[name].expires = now + ttl;
  if (is_new) {
    Redistribute(group);
  } else if (known >= group.generation) {
    HandOver(group, name);
  }
  Json::Value answer;
  answer["generation"] = codec::Uint(group.generation);
  answer["parts"] = Json::Value(Json::arrayValue);
  for (size_t n = 0; n < kPartitions; ++n) {
    if (group.holders[n].empty()) {
      group.holders[n] = group.planned_holders[n];
    }
    if (group.holders[n] == name && group.planned_holders[n] == name) {
      Json::Value row(Json::arrayValue);
      row.append(group.topic);
      row.append(static_cast<Json::UInt>(n));
      row.append(0);
      answer["parts"].append(std::move(row));
    }
  }
  return http::JsonResponse(200, codec::WriteJson(answer));
}

http::Response LogGroups::Leave(const http::Request& request, TimePoint now) {
  const auto value = codec::ParseJson(request.body);
  if (!value.ok()) {
    return http::JsonResponse(400, "{}");
  }
  Group& group = groups_[(*value)["group"].asString()];
  const auto it = group.members.find((*value)["member"].asString());
  if (it != group.members.end()) {
    it->second.expires = now;
    Expire(group, now);
  }
  return http::JsonResponse(200, "{}");
}

void LogGroups::Rebalance() {
  for (auto& [name, group] : groups_) {
    ++group.rotation;
    Redistribute(group);
    group.holders = group.planned_holders;
  }
}

void LogGroups::Expire(Group& group, TimePoint now) {
  const auto expired = std::erase_if(group.members, [now](const auto& it) {
    return it.second.expires <= now;
  });
  if (expired == 0) {
    return;
  }
  for (std::string& it : group.holders) {
    if (!group.members.contains(it)) {
      it.clear();
    }
  }
  Redistribute(group);
}

// Partitions stay with their holders as far as an equal share for each member
// allows, unless Rebalance() asked for a rotation.
void LogGroups::Redistribute(Group& group) {
  ++group.generation;
  group.planned_holders.assign(group.holders.size(), "");
  if (group.members.empty()) {
    return;
  }
  const size_t share =
      (group.holders.size() + group.members.size() - 1) / group.members.size();
  std::map<std::string, size_t> counts;
  for (size_t n = 0; n < group.holders.size() && group.rotation == 0; ++n) {
    const std::string& holder = group.holders[n];
    if (group.members.contains(holder) && counts[holder] < share) {
      group.planned_holders[n] = holder;
      ++counts[holder];
    }
  }
  auto next = group.members.begin();
  std::advance(next, group.rotation % group.members.size());
  for (std::string& it : group.planned_holders) {
    while (it.empty()) {
      if (counts[next->first] < share) {
        it = next->first;
        ++counts[next->first];
      }
      if (++next == group.members.end()) {
        next = group.members.begin();
      }
    }
  }
  group.rotation = 0;
}

void LogGroups::HandOver(Group& group, const std::string& member) {
  for (size_t n = 0; n < group.holders.size(); ++n) {
    if (group.holders[n] == member && group.planned_holders[n] != member) {
      group.holders[n] = group.planned_holders[n];
    }
  }
}

}  // namespace toucandock::standins
