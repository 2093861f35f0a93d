#include "daemon/attempt_service.h"

#include <algorithm>
#include <utility>

#include "codec/attempt_json.h"
#include "core/request/attempt_placement.h"

namespace toucandock::daemon {
namespace {

using core::control::HostInfo;
using core::request::AttemptKey;
using core::request::AttemptRecord;
using core::request::BeginResult;
using core::request::FinishResult;
using core::request::RecordResult;

// Maximum number of outcomes that wait to be written. Further ones are not
// written; a resend is then answered with "unknown" instead of "ran".
constexpr int kMaxPending = 1'024;
// Records in one handover call. A record has about 300 bytes, so a call stays
// far below the size limit of a peer message.
constexpr size_t kRecordsPerCall = 256;
constexpr int kHandoverTries = 3;
// How long a host that has joined waits before it confirms attempts. Within
// this time the previous registry hosts, which learn of it in one or two
// renewals, hand their records over to it.
constexpr core::Duration kWarmUp = std::chrono::seconds(1);

bool Contains(const std::vector<HostInfo>& hosts, const core::HostId& id) {
  return std::any_of(hosts.begin(), hosts.end(),
                     [&](const HostInfo& it) { return it.id == id; });
}

}  // namespace

AttemptService::AttemptService(core::HostId self,
                               const core::request::RegistryLimits& limits,
                               AttemptHooks hooks)
    : self_(std::move(self)), hooks_(std::move(hooks)), registry_(limits) {}

// Records the attempt on both registry hosts. When a request arrives twice,
// through any two hosts, at most one of the calls returns kRecorded: both need
// the confirmation of every registry host in their view, a host confirms only
// one token, and views that differ by one change of membership share a registry
// host. Views that differ by more are excluded by the registry host: it
// confirms only while it holds a serving lease and is a registry host in its
// own view, and only after records have reached it (BeginHere). The hosts are
// called in the order of their rank, so that one of two concurrent arrivals
// fails at the first host and the other one succeeds.
RecordResult AttemptService::Begin(const AttemptKey& key) {
  const Hosts hosts = HostsOf(key);
  if (hosts.empty()) {
    return RecordResult::kFailed;
  }
  for (const HostInfo& host : hosts) {
    const BeginResult result = BeginAt(host, key);
    if (result == BeginResult::kBegun) {
      continue;
    }
    if (result == BeginResult::kRefused) {
      return RecordResult::kFailed;
    }
    // The first host may have confirmed this attempt.
    FinishEverywhere(key, FinishResult::kWithdrawn);
    if (result == BeginResult::kStarted) {
      return RecordResult::kDuplicate;
    }
    return result == BeginResult::kRan ? RecordResult::kDuplicateRan
                                       : RecordResult::kReusedId;
  }
  return RecordResult::kRecorded;
}

// A withdrawal has reached the registry hosts when this returns, because the
// caller may resend its request immediately. An outcome is written later: until
// then, a resend is answered with "unknown", which is also correct.
void AttemptService::Finish(const AttemptKey& key, FinishResult result) {
  if (result == FinishResult::kWithdrawn) {
    FinishEverywhere(key, result);
    return;
  }
  if (pending_.fetch_add(1) >= kMaxPending) {
    --pending_;
    return;
  }
  hooks_.run([this, key, result] {
    FinishEverywhere(key, result);
    --pending_;
  });
}

void AttemptService::OnMembersChanged() {
  hooks_.run([this] { HandOver(); });
}

std::vector<peer::Method> AttemptService::PeerMethods() {
  return {
      {"attempt_begin",
       [this](const std::string& params) -> std::string {
         const auto key = codec::ParseAttemptKey(params);
         return key.ok() ? codec::Encode(BeginHere(*key)) : "";
       }},
      {"attempt_finish",
       [this](const std::string& params) -> std::string {
         const auto call = codec::ParseFinishCall(params);
         if (!call.ok()) {
           return "";
         }
         FinishHere(call->key, call->result);
         return "{}";
       }},
      {"attempt_handover", [this](const std::string& params) -> std::string {
         const auto records = codec::ParseAttemptRecords(params);
         if (!records.ok()) {
           return "";
         }
         const std::lock_guard<std::mutex> lock(mutex_);
         for (const AttemptRecord& it : *records) {
           registry_.Adopt(it, hooks_.now());
         }
         return "{}";
       }}};
}

BeginResult AttemptService::BeginAt(const HostInfo& host,
                                    const AttemptKey& key) {
  if (host.id == self_) {
    return BeginHere(key);
  }
  const auto result = codec::ParseBeginResult(
      hooks_.call_peer(host.peer_address, "attempt_begin", codec::Encode(key)));
  return result.ok() ? *result : BeginResult::kRefused;
}

// Confirms the attempt only with a valid serving lease. A host that was
// evicted, or that does not know that another host has replaced it, must not
// confirm: its lease has ended before others are confirmed without it. The
// check and the record are one step under the mutex, so each record is either
// made under the view that HandOver() starts from or handed over by it.
BeginResult AttemptService::BeginHere(const AttemptKey& key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const core::TimePoint now = hooks_.now();
  const Hosts hosts =
      core::request::RegistryHosts(members_, key.service, key.request_id);
  if (now < confirms_from_ || !hooks_.has_lease() || !Contains(hosts, self_)) {
    return BeginResult::kRefused;
  }
  return registry_.Begin(key, now);
}

void AttemptService::FinishEverywhere(const AttemptKey& key,
                                      FinishResult result) {
  for (const HostInfo& host : HostsOf(key)) {
    if (host.id == self_) {
      FinishHere(key, result);
    } else {
      hooks_.call_peer(host.peer_address, "attempt_finish",
                       codec::Encode(codec::FinishCall{key, result}));
    }
  }
}

void AttemptService::FinishHere(const AttemptKey& key, FinishResult result) {
  const std::lock_guard<std::mutex> lock(mutex_);
  registry_.Finish(key, result, hooks_.now());
}

// Copies records to the hosts that have become their registry hosts through a
// change of membership.
void AttemptService::HandOver() {
  const std::lock_guard<std::mutex> handover_lock(handover_mutex_);
  Hosts before;
  Hosts after;
  std::vector<AttemptRecord> records;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    after = hooks_.members();
    if (after == members_) {
      return;
    }
    before = std::exchange(members_, after);
    if (!Contains(before, self_)) {
      confirms_from_ = Contains(after, self_) ? hooks_.now() + kWarmUp
                                              : core::TimePoint::max();
    }
    records = registry_.Records(hooks_.now());
  }
  for (const core::request::Handover& it :
       core::request::PlanHandover(records, before, after, self_)) {
    int tries = 0;
    for (size_t n = 0; n < it.records.size() && tries < kHandoverTries;) {
      const auto begin = it.records.begin() + n;
      const auto end =
          it.records.begin() + std::min(n + kRecordsPerCall, it.records.size());
      const std::string params =
          codec::Encode(std::vector<AttemptRecord>(begin, end));
      if (hooks_.call_peer(it.to.peer_address, "attempt_handover", params)
              .empty()) {
        ++tries;
        continue;
      }
      n += kRecordsPerCall;
    }
  }
}

AttemptService::Hosts AttemptService::HostsOf(const AttemptKey& key) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return core::request::RegistryHosts(members_, key.service, key.request_id);
}

}  // namespace toucandock::daemon
