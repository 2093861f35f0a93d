#include "core/keyspace/admitted_list.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "util/hash.h"

namespace toucandock::core::keyspace {
namespace {

std::uint32_t VersionOf(const AdmittedLists& lists) {
  if (lists.empty()) {
    return 0;
  }
  std::string text;
  for (const auto& [service, ranges] : lists) {
    absl::StrAppend(&text, service, "\n");
    for (const AdmittedRange& it : ranges) {
      absl::StrAppend(&text, it.keys.first, ",", it.keys.last, ",", it.fraction,
                      "\n");
    }
  }
  return std::max(1U, static_cast<std::uint32_t>(util::Hash64(text)));
}

}  // namespace

void AdmittedList::SetComputed(AdmittedLists lists, TimePoint now) {
  std::erase_if(lists, [](const auto& it) { return it.second.empty(); });
  lists_ = std::move(lists);
  version_ = VersionOf(lists_);
  computed_at_ = now;
}

bool AdmittedList::OnUpdate(const AdmittedUpdate& update,
                            TimePoint received_at) {
  const TimePoint computed_at =
      received_at - std::max(Duration::zero(), update.age);
  // An update that took another way may be older than what is known.
  if (update.age >= lifetime_ || computed_at < computed_at_) {
    return false;
  }
  if (update.version == 0) {
    lists_.clear();
  } else if (update.lists) {
    lists_ = *update.lists;
  } else if (update.version != version_) {
    return false;
  }
  version_ = update.version;
  computed_at_ = computed_at;
  return true;
}

std::optional<AdmittedUpdate> AdmittedList::MakeUpdate(
    std::uint32_t known_version,
    TimePoint now) const {
  if (!IsValid(now)) {
    return std::nullopt;
  }
  AdmittedUpdate update{.version = version_, .age = now - computed_at_};
  if (version_ != 0 && known_version != version_) {
    update.lists = lists_;
  }
  return update;
}

bool AdmittedList::IsValid(TimePoint now) const {
  return computed_at_ != TimePoint{} && now < valid_until();
}

}  // namespace toucandock::core::keyspace
