#include "core/request/safe_contents.h"

#include <utility>

#include "util/hash.h"

namespace toucandock::core::request {
namespace {

std::uint64_t HashOf(const std::string& content, const std::string& version) {
  return util::Hash64(content, util::Hash64(version));
}

}  // namespace

void SafeContents::Add(const std::string& content,
                       const std::string& version,
                       TimePoint now) {
  Expire(now);
  if (recent_.size() >= options_.max_entries) {
    earlier_ = std::exchange(recent_, {});
    recent_since_ = now;
  }
  recent_.insert(HashOf(content, version));
}

bool SafeContents::Contains(const std::string& content,
                            const std::string& version,
                            TimePoint now) {
  Expire(now);
  const std::uint64_t hash = HashOf(content, version);
  return recent_.contains(hash) || earlier_.contains(hash);
}

void SafeContents::Expire(TimePoint now) {
  if (now - recent_since_ >= 2 * options_.lifetime) {
    recent_.clear();
  }
  if (now - recent_since_ >= options_.lifetime) {
    earlier_ = std::exchange(recent_, {});
    recent_since_ = now;
  }
}

}  // namespace toucandock::core::request
