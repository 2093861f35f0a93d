#include "entry/poison_json.h"

#include <algorithm>

#include "codec/json.h"

namespace toucandock::entry {
namespace {

using codec::ObjectReader;
using core::request::CrashReport;
using std::chrono::milliseconds;

// First byte of the datagram, which distinguishes it from the others, which are
// JSON.
constexpr char kPoisonUpdateTag = 'P';
// Longer ids, names and versions of other hosts are not accepted.
constexpr size_t kMaxTextBytes = 300;
// Crashes that are older than this are not accepted.
constexpr milliseconds kMaxAge{std::chrono::hours(24)};

// A crash is an array: fingerprint, target, service, version of its software,
// and a time in milliseconds.
constexpr Json::ArrayIndex kCrashSize = 5;

Json::Value ToJson(const CrashReport& crash, std::int64_t time_ms) {
  Json::Value value(Json::arrayValue);
  value.append(crash.key.fingerprint);
  value.append(crash.target);
  value.append(crash.target_version.service);
  value.append(crash.target_version.version);
  value.append(Json::Int64(time_ms));
  return value;
}

bool IsShortText(const Json::Value& value) {
  return value.isString() && value.asString().size() <= kMaxTextBytes;
}

// Returns the last member in `time_ms`. The caller has to set the age of the
// crash, since the member is an age in messages and a time of day in records.
absl::StatusOr<CrashReport> ParseCrash(const Json::Value& value,
                                       std::int64_t& time_ms) {
  if (!value.isArray() || value.size() != kCrashSize ||
      !value[kCrashSize - 1].isInt64()) {
    return absl::InvalidArgumentError(
        "a crash must be an array of 4 strings and a time");
  }
  for (Json::ArrayIndex n = 0; n + 1 < kCrashSize; ++n) {
    if (!IsShortText(value[n])) {
      return absl::InvalidArgumentError(
          "a member of a crash is not a string or is too long");
    }
  }
  if (value[0].asString().empty() || value[1].asString().empty()) {
    return absl::InvalidArgumentError(
        "a crash must name a request and a target");
  }
  time_ms = value[kCrashSize - 1].asInt64();
  return CrashReport{.key = {.fingerprint = value[0].asString()},
                     .target = value[1].asString(),
                     .crash_limit = kCrashLimit,
                     .target_version = {.service = value[2].asString(),
                                        .version = value[3].asString()}};
}

milliseconds AgeOf(const CrashReport& crash) {
  return std::chrono::duration_cast<milliseconds>(crash.age);
}

milliseconds SinceEpoch(WallTime at) {
  return std::chrono::duration_cast<milliseconds>(at.time_since_epoch());
}

}  // namespace

bool IsPoisonUpdate(const std::string& text) {
  return !text.empty() && text.front() == kPoisonUpdateTag;
}

std::string EncodePoisonUpdate(const PoisonUpdate& update) {
  Json::Value value;
  Json::Value& crashes = value["crashes"] = Json::Value(Json::arrayValue);
  for (const CrashReport& it : update.crashes) {
    crashes.append(ToJson(it, AgeOf(it).count()));
  }
  Json::Value& safe_reports = value["proofs"] = Json::Value(Json::arrayValue);
  for (const SafeReport& it : update.safe_reports) {
    Json::Value safe_report(Json::arrayValue);
    safe_report.append(it.fingerprint);
    safe_report.append(it.version);
    safe_reports.append(std::move(safe_report));
  }
  return kPoisonUpdateTag + codec::WriteJson(value);
}

// One entry that cannot be read makes the whole update invalid: it comes from a
// peer, which sends all of it again.
absl::StatusOr<PoisonUpdate> DecodePoisonUpdate(const std::string& text) {
  if (!IsPoisonUpdate(text)) {
    return absl::InvalidArgumentError(
        "the datagram does not hold reports about crashes");
  }
  return codec::ReadObject<PoisonUpdate>(
      text.substr(1), [](ObjectReader& fields, absl::Status& status) {
        PoisonUpdate update;
        const Json::Value& crashes = fields.Array("crashes");
        const Json::Value& safe_reports = fields.Array("proofs");
        if (crashes.size() > kMaxUpdateReports ||
            safe_reports.size() > kMaxUpdateReports) {
          fields.Fail("more crashes or safe reports than a message may hold");
          return update;
        }
        for (const Json::Value& it : crashes) {
          std::int64_t age_ms = 0;
          auto crash = ParseCrash(it, age_ms);
          if (!crash.ok() || age_ms < 0 || age_ms > kMaxAge.count()) {
            fields.Fail("'crashes' holds an invalid entry");
            status.Update(crash.status());
            return update;
          }
          crash->age = milliseconds(age_ms);
          update.crashes.push_back(*std::move(crash));
        }
        for (const Json::Value& it : safe_reports) {
          if (!it.isArray() || it.size() != 2 || !IsShortText(it[0]) ||
              !IsShortText(it[1])) {
            fields.Fail("'proofs' must hold pairs of fingerprint and version");
            return update;
          }
          update.safe_reports.push_back(
              {.fingerprint = it[0].asString(), .version = it[1].asString()});
        }
        return update;
      });
}

std::string EncodePoisonRecord(const std::vector<CrashReport>& crashes,
                               WallTime now) {
  Json::Value value;
  Json::Value& list = value["crashes"] = Json::Value(Json::arrayValue);
  for (const CrashReport& it : crashes) {
    if (list.size() >= kMaxStoredCrashes) {
      break;
    }
    list.append(ToJson(it, (SinceEpoch(now) - AgeOf(it)).count()));
  }
  return codec::WriteJson(value);
}

// Skips entries that cannot be read. The clocks of hosts differ by seconds and
// may jump, so a crash whose time lies in the future gets age zero.
absl::StatusOr<std::vector<CrashReport>> DecodePoisonRecord(
    const std::string& text,
    WallTime now) {
  using Crashes = std::vector<CrashReport>;
  return codec::ReadObject<Crashes>(
      text, [now](ObjectReader& fields, absl::Status&) {
        Crashes crashes;
        for (const Json::Value& it : fields.Array("crashes")) {
          std::int64_t at_ms = 0;
          auto crash = ParseCrash(it, at_ms);
          const std::int64_t now_ms = SinceEpoch(now).count();
          if (!crash.ok() || at_ms < now_ms - kMaxAge.count()) {
            continue;
          }
          crash->age = milliseconds(std::max<std::int64_t>(0, now_ms - at_ms));
          crashes.push_back(*std::move(crash));
        }
        return crashes;
      });
}

}  // namespace toucandock::entry
