#ifndef TOUCANDOCK_CORE_WARMUP_PERMIT_POOL_H_
#define TOUCANDOCK_CORE_WARMUP_PERMIT_POOL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "core/discovery/target_directory.h"
#include "core/time.h"
#include "core/warmup/permit.h"

namespace toucandock::core::warmup {

struct PoolOptions {
  // A question without an answer is repeated after this time. Answers take some
  // milliseconds.
  Duration ask_again = std::chrono::milliseconds(60);
  // While the leader has no permits, it is asked at least this often, so that
  // it knows that this host still waits (IssuerOptions::waiting_lifetime).
  Duration max_ask_again = std::chrono::milliseconds(200);
  // A leader that has answered nothing for this long is taken to be lost. Four
  // questions in a row are hardly lost by chance.
  Duration silence_limit = std::chrono::milliseconds(250);
  // The earliest time at which a successor of a lost leader issues permits
  // (IssuerOptions::takeover_wait).
  Duration takeover_wait = std::chrono::milliseconds(3'200);
  // What the leader said about a target, and its silence, are forgotten after
  // this time, so that the leader is asked again.
  Duration knowledge_lifetime = std::chrono::seconds(1);
};

// Numbers of permits since the start.
struct PermitCounts {
  std::uint64_t asked = 0;
  std::uint64_t issued = 0;
  // Wanted but not issued, by answer of the leader.
  std::uint64_t refused = 0;
  // Issued but not used in time.
  std::uint64_t expired = 0;

  bool operator==(const PermitCounts&) const = default;
};

// The permits of one host, and its requests that wait for some.
class PermitPool {
 public:
  // Questions are numbered from `first_question` on, which should be a random
  // number.
  PermitPool(const PoolOptions& options, std::uint64_t first_question)
      : options_(options), next_question_(first_question) {}

  // One more request waits for a permit for the instance, or one less.
  void Await(const discovery::TargetInstance& instance);
  void StopAwaiting(const discovery::TargetInstance& instance);

  // Uses up one permit. Returns the time before which the request must be sent,
  // or nothing if there is no permit.
  std::optional<TimePoint> Take(const discovery::TargetInstance& instance,
                                TimePoint now);
  bool HasPermit(const discovery::TargetInstance& instance,
                 TimePoint now) const;
  // Returns the questions to be sent to the leader now.
  std::vector<PermitQuestion> Wanted(TimePoint now);
  // Returns the earliest time at which Wanted() may return questions.
  std::optional<TimePoint> NextQuestionAt() const;
  // Returns the instance for which permits have arrived, if any. Answers to
  // unknown or expired questions and second answers have no effect.
  std::optional<discovery::TargetInstance> OnGranted(const PermitAnswer& answer,
                                                     TimePoint now);
  // Returns when a permit is expected for a request before which `ahead` others
  // of this host wait. `requests_per_second` is the target's rate.
  TimePoint DueAt(const discovery::TargetInstance& instance,
                  std::uint32_t ahead,
                  double requests_per_second,
                  TimePoint now) const;
  std::uint32_t CountWaiting(const discovery::TargetInstance& instance) const;
  // Whether the leader has answered none of the recent questions.
  bool IsLeaderSilent(TimePoint now) const;
  const PermitCounts& counts() const { return counts_; }

 private:
  struct Entry {
    std::uint32_t waiting = 0;
    // Permits that a question without an answer asks for.
    std::uint32_t asked = 0;
    // Ends of the permits, the earliest first.
    std::deque<TimePoint> permits;
    TimePoint next_question_at{};
    // The leader's last answer.
    std::optional<TimePoint> due_at;
    TimePoint answered_at{};
  };
  struct OpenQuestion {
    discovery::TargetInstance instance;
    std::uint32_t wanted = 0;
    TimePoint asked_at{};
  };

  void Expire(TimePoint now);

  const PoolOptions options_;
  std::uint64_t next_question_;
  std::map<discovery::TargetInstance, Entry> entries_;
  std::map<std::uint64_t, OpenQuestion> questions_;
  // The instance that was asked for last, so that each has its turn.
  discovery::TargetInstance last_asked_;
  TimePoint last_asked_at_{};
  // The first of the recent questions, if none of them was answered.
  std::optional<TimePoint> unanswered_since_;
  PermitCounts counts_;
};

}  // namespace toucandock::core::warmup

#endif  // TOUCANDOCK_CORE_WARMUP_PERMIT_POOL_H_
