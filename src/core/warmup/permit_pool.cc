#include "core/warmup/permit_pool.h"

#include <algorithm>

namespace toucandock::core::warmup {

using discovery::TargetInstance;

void PermitPool::Await(const TargetInstance& instance) {
  entries_[instance].waiting++;
}

void PermitPool::StopAwaiting(const TargetInstance& instance) {
  const auto it = entries_.find(instance);
  if (it != entries_.end() && it->second.waiting > 0) {
    it->second.waiting--;
  }
}

std::optional<TimePoint> PermitPool::Take(const TargetInstance& instance,
                                          TimePoint now) {
  Expire(now);
  const auto it = entries_.find(instance);
  if (it == entries_.end() || it->second.permits.empty()) {
    return std::nullopt;
  }
  const TimePoint send_by = it->second.permits.front();
  it->second.permits.pop_front();
  return send_by;
}

bool PermitPool::HasPermit(const TargetInstance& instance,
                           TimePoint now) const {
  const auto it = entries_.find(instance);
  return it != entries_.end() && !it->second.permits.empty() &&
         now < it->second.permits.back();
}

std::vector<PermitQuestion> PermitPool::Wanted(TimePoint now) {
  Expire(now);
  std::vector<PermitQuestion> wanted;
  std::uint32_t left = kMaxPermitsWanted;
  for (const auto& [instance, entry] : entries_) {
    left -= std::min(left, entry.asked);
  }
  const TargetInstance last = last_asked_;
  const auto ask = [&](const TargetInstance& instance, Entry& entry) {
    const auto known =
        static_cast<std::uint32_t>(entry.permits.size()) + entry.asked;
    if (entry.waiting <= known || left == 0 || now < entry.next_question_at) {
      return;
    }
    const std::uint32_t n = std::min(entry.waiting - known, left);
    left -= n;
    entry.asked += n;
    entry.next_question_at = now + options_.ask_again;
    counts_.asked += n;
    last_asked_ = instance;
    questions_[next_question_] = {
        .instance = instance, .wanted = n, .asked_at = now};
    wanted.push_back(
        {.id = next_question_++, .instance = instance, .wanted = n});
  };
  const auto middle = entries_.upper_bound(last);
  for (auto it = middle; it != entries_.end(); ++it) {
    ask(it->first, it->second);
  }
  for (auto it = entries_.begin(); it != middle; ++it) {
    ask(it->first, it->second);
  }
  if (!wanted.empty()) {
    if (!unanswered_since_ ||
        now - last_asked_at_ >= options_.knowledge_lifetime) {
      unanswered_since_ = now;
    }
    last_asked_at_ = now;
  }
  return wanted;
}

std::optional<TimePoint> PermitPool::NextQuestionAt() const {
  std::uint32_t asked = 0;
  for (const auto& [instance, entry] : entries_) {
    asked += entry.asked;
  }
  // At the limit, nothing is asked before an earlier question has been
  // answered or has to be repeated.
  const bool is_at_limit = asked >= kMaxPermitsWanted;
  std::optional<TimePoint> next;
  for (const auto& [instance, entry] : entries_) {
    if (entry.waiting > entry.permits.size() &&
        (entry.asked > 0 || !is_at_limit)) {
      next = std::min(next.value_or(TimePoint::max()), entry.next_question_at);
    }
  }
  return next;
}

std::optional<TargetInstance> PermitPool::OnGranted(const PermitAnswer& answer,
                                                    TimePoint now) {
  Expire(now);
  const auto it = questions_.find(answer.question);
  if (it == questions_.end()) {
    return std::nullopt;
  }
  const OpenQuestion question = it->second;
  questions_.erase(it);
  unanswered_since_.reset();
  Entry& entry = entries_[question.instance];
  if (now < question.asked_at + options_.ask_again) {
    entry.asked -= std::min(entry.asked, question.wanted);
  }
  const std::uint32_t issued = std::min(answer.issued, question.wanted);
  counts_.issued += issued;
  counts_.refused += question.wanted - issued;
  entry.due_at = now + answer.next_due;
  entry.answered_at = now;
  entry.next_question_at =
      issued == question.wanted
          ? now
          : question.asked_at + std::clamp(answer.next_due, options_.ask_again,
                                           options_.max_ask_again);
  if (issued == 0) {
    return std::nullopt;
  }
  entry.permits.insert(entry.permits.end(), issued,
                       question.asked_at + kPermitLifetime);
  std::sort(entry.permits.begin(), entry.permits.end());
  return question.instance;
}

TimePoint PermitPool::DueAt(const TargetInstance& instance,
                            std::uint32_t ahead,
                            double requests_per_second,
                            TimePoint now) const {
  if (!(requests_per_second > 0)) {
    return TimePoint::max();
  }
  if (IsLeaderSilent(now)) {
    return std::max(now, *unanswered_since_ + options_.takeover_wait);
  }
  const auto it = entries_.find(instance);
  if (it == entries_.end() || !it->second.due_at ||
      now - it->second.answered_at >= options_.knowledge_lifetime) {
    return now;
  }
  const Entry& entry = it->second;
  const auto held = static_cast<std::uint32_t>(entry.permits.size());
  if (ahead < held) {
    return now;
  }
  // Rates may be tiny; the sum must not overflow.
  const FloatSeconds wait =
      std::min(FloatSeconds((ahead - held) / requests_per_second),
               FloatSeconds(std::chrono::hours(1)));
  return std::max(now,
                  *entry.due_at + std::chrono::duration_cast<Duration>(wait));
}

std::uint32_t PermitPool::CountWaiting(const TargetInstance& instance) const {
  const auto it = entries_.find(instance);
  return it == entries_.end() ? 0 : it->second.waiting;
}

bool PermitPool::IsLeaderSilent(TimePoint now) const {
  return unanswered_since_ &&
         now - *unanswered_since_ >= options_.silence_limit &&
         now - last_asked_at_ < options_.knowledge_lifetime;
}

// Drops permits whose time has ended, and questions whose answers would come
// too late.
void PermitPool::Expire(TimePoint now) {
  std::erase_if(questions_, [now](const auto& it) {
    return now >= it.second.asked_at + kPermitLifetime;
  });
  for (auto it = entries_.begin(); it != entries_.end();) {
    Entry& entry = it->second;
    while (!entry.permits.empty() && entry.permits.front() <= now) {
      entry.permits.pop_front();
      counts_.expired++;
    }
    if (now >= entry.next_question_at) {
      entry.asked = 0;
    }
    const bool is_idle = entry.waiting == 0 && entry.permits.empty() &&
                         now >= entry.next_question_at &&
                         now - entry.answered_at >= options_.knowledge_lifetime;
    it = is_idle ? entries_.erase(it) : std::next(it);
  }
}

}  // namespace toucandock::core::warmup
