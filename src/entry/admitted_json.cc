#include "entry/admitted_json.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace toucandock::entry {
namespace {

using core::keyspace::AdmittedLists;
using core::keyspace::AdmittedRange;
using core::keyspace::AdmittedRanges;
using core::keyspace::AdmittedUpdate;
using std::chrono::milliseconds;

// Fractions are sent in whole thousandths, rounded down.
constexpr double kFractionUnits = 1'000;
constexpr Json::ArrayIndex kMaxServices = 64;
// Of all services together, so that a reply stays far below the size of a
// datagram: about 20 bytes for each range.
constexpr size_t kMaxRanges = 256;

// A range is an array: first key, last key, thousandths.
std::optional<AdmittedRanges> DecodeRanges(const Json::Value& value) {
  if (!value.isArray() || value.size() > kMaxRanges) {
    return std::nullopt;
  }
  AdmittedRanges ranges;
  for (const Json::Value& it : value) {
    if (!it.isArray() || it.size() != 3 || !it[0].isUInt() || !it[1].isUInt() ||
        !it[2].isUInt()) {
      return std::nullopt;
    }
    const AdmittedRange range{
        .keys = {.first = it[0].asUInt(), .last = it[1].asUInt()},
        .fraction = it[2].asUInt() / kFractionUnits};
    const bool is_sorted =
        ranges.empty() || ranges.back().keys.last < range.keys.first;
    if (!is_sorted || range.keys.first > range.keys.last ||
        range.keys.last > core::keyspace::kLastKey || range.fraction > 1) {
      return std::nullopt;
    }
    ranges.push_back(range);
  }
  return ranges;
}

}  // namespace

// The update is an array: version, age in milliseconds and, if the receiver
// needs them, the ranges by service.
Json::Value EncodeAdmitted(const AdmittedUpdate& update) {
  Json::Value value(Json::arrayValue);
  value.append(update.version);
  value.append(Json::Int64(
      std::chrono::duration_cast<milliseconds>(update.age).count()));
  if (!update.lists) {
    return value;
  }
  Json::Value lists(Json::objectValue);
  size_t n = 0;
  for (const auto& [service, ranges] : *update.lists) {
    Json::Value& list = lists[service] = Json::Value(Json::arrayValue);
    for (const AdmittedRange& it : ranges) {
      if (n++ >= kMaxRanges) {
        break;
      }
      Json::Value range(Json::arrayValue);
      range.append(it.keys.first);
      range.append(it.keys.last);
      range.append(static_cast<Json::UInt>(std::clamp(it.fraction, 0.0, 1.0) *
                                           kFractionUnits));
      list.append(std::move(range));
    }
  }
  value.append(std::move(lists));
  return value;
}

std::optional<AdmittedUpdate> DecodeAdmitted(const Json::Value& value) {
  if (!value.isArray() || value.size() < 2 || !value[0].isUInt() ||
      !value[1].isUInt()) {
    return std::nullopt;
  }
  AdmittedUpdate update{.version = value[0].asUInt(),
                        .age = milliseconds(value[1].asUInt())};
  if (value.size() == 2) {
    return update;
  }
  const Json::Value& lists = value[2];
  if (!lists.isObject() || lists.size() > kMaxServices) {
    return std::nullopt;
  }
  update.lists.emplace();
  size_t n = 0;
  for (const std::string& service : lists.getMemberNames()) {
    auto ranges = DecodeRanges(lists[service]);
    if (!ranges) {
      return std::nullopt;
    }
    n += ranges->size();
    (*update.lists)[service] = *std::move(ranges);
  }
  return n <= kMaxRanges ? std::optional(std::move(update)) : std::nullopt;
}

}  // namespace toucandock::entry
