#include "core/detection/loss_detector.h"

#include <set>
#include <string>

#include "absl/strings/str_cat.h"

namespace toucandock::core::detection {
namespace {

std::string WitnessOf(const HostId& observer,
                      SignalSource source,
                      size_t observers) {
  const bool independent =
      source == SignalSource::kHostList || source == SignalSource::kLease;
  if (independent || observers < 2) {
    return absl::StrCat(observer, "/", static_cast<int>(source));
  }
  return observer;
}

}  // namespace

void LossDetector::Report(const Signal& signal, TimePoint now) {
  const Origin origin{signal.observer, signal.source};
  if (signal.kind == SignalKind::kAlive) {
    const auto it = bad_.find(signal.target);
    if (it != bad_.end()) {
      it->second.erase(origin);
    }
    return;
  }
  Bad& bad = bad_[signal.target][origin];
  if (now - bad.reported > terms_.signal_lifetime) {
    bad = Bad{};
  }
  bad.reported = now;
  if (signal.kind == SignalKind::kRefused) {
    bad.refused = true;
  } else {
    ++bad.timeouts;
  }
}

// A target is lost when at least one probe or grant failed and two witnesses
// agree: two hosts, or one host and the host list or an ended grant. Slow
// requests alone make traffic time out without any loss, and a cut link looks
// like a loss to the one host behind it. A fleet with one observer has no
// second host, so there two sources of the same host suffice.
Verdict LossDetector::VerdictOn(const TargetId& target,
                                size_t observers,
                                TimePoint now) const {
  const auto found = bad_.find(target);
  if (found == bad_.end()) {
    return Verdict::kAlive;
  }
  std::set<std::string> witnesses;
  bool probed = false;
  for (const auto& [origin, bad] : found->second) {
    if (now - bad.reported > terms_.signal_lifetime) {
      continue;
    }
    if (!bad.refused && bad.timeouts < terms_.timeouts_needed) {
      continue;
    }
    witnesses.insert(WitnessOf(origin.first, origin.second, observers));
    probed = probed || origin.second == SignalSource::kProbe ||
             origin.second == SignalSource::kGrant;
  }
  if (witnesses.empty()) {
    return Verdict::kAlive;
  }
  return witnesses.size() >= 2 && probed ? Verdict::kLost : Verdict::kSuspect;
}

void LossDetector::Forget(const TargetId& target) {
  bad_.erase(target);
}

absl::string_view ToString(Verdict verdict) {
  switch (verdict) {
    case Verdict::kAlive:
      return "alive";
    case Verdict::kSuspect:
      return "suspect";
    case Verdict::kLost:
      return "lost";
  }
  return "alive";
}

}  // namespace toucandock::core::detection
