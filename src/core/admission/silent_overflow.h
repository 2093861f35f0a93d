#ifndef TOUCANDOCK_CORE_ADMISSION_SILENT_OVERFLOW_H_
#define TOUCANDOCK_CORE_ADMISSION_SILENT_OVERFLOW_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "core/balance/reported_load.h"
#include "core/time.h"

namespace toucandock::core::admission {

struct SilentOverflowOptions {
  // The behaviour counts as seen after this many requests without an answer at
  // busy targets within the time below, since a single one may have another
  // cause.
  size_t min_unanswered = 2;
  Duration unanswered_window = std::chrono::seconds(30);
  // Without another such request, it counts as seen for this long.
  Duration lifetime = std::chrono::seconds(60);
  // A target was busy if it reported that all slots were in use at most this
  // long before the request was sent.
  Duration busy_memory = std::chrono::seconds(2);
  // A request without an answer for this multiple of the usual time is not
  // queued. A full queue of four times the slots delays an answer to five times
  // the time of the work, but the usual time includes the usual queue.
  double usual_time_factor = 4.0;
  Duration min_silence = std::chrono::milliseconds(500);
  // The number of requests at a target stays below this fraction of the largest
  // number that a target of the service is known to hold.
  double max_held_fraction = 0.7;
  // A refusal with this many waiting requests for each slot comes from a full
  // queue.
  double full_queue_factor = 2.0;
};

// Recognizes that the targets of one service do not answer requests that they
// cannot queue, so that their silence means that they are full. Without signs
// of it, nothing changes.
class SilentOverflow {
 public:
  explicit SilentOverflow(const SilentOverflowOptions& options)
      : options_(options) {}

  // A request was not answered until its deadline, although the target accepted
  // it; `was_busy`: the target is known to have had many requests.
  void OnUnanswered(bool was_busy, TimePoint now);
  // A target refused a request that it could not queue.
  void OnRefusal(const std::optional<balance::ReportedLoad>& load,
                 std::uint32_t listed_slots);
  // A target answered a request after its silence had been taken for overflow.
  void OnLateAnswer();
  void OnReport(const balance::ReportedLoad& load, std::uint32_t listed_slots);

  bool IsSeen(TimePoint now) const { return now < seen_until_; }
  // Returns whether the target was busy at a time that explains the silence of
  // a request sent at `sent_at`.
  bool WasBusy(TimePoint reported_busy_at, TimePoint sent_at) const;
  // Returns how long a request may be without an answer.
  Duration SilenceLimit(FloatSeconds usual_time) const;
  // Returns the number of requests that a target of the service may have before
  // this host sends no more; empty if the behaviour is not seen.
  std::optional<double> MaxRequests(std::uint32_t slots, TimePoint now) const;

 private:
  const SilentOverflowOptions options_;
  std::deque<TimePoint> unanswered_;
  TimePoint seen_until_{};
  // Largest number of requests, for each slot, that a target has reported while
  // it answered another one.
  double largest_held_ = 0;
};

}  // namespace toucandock::core::admission

#endif  // TOUCANDOCK_CORE_ADMISSION_SILENT_OVERFLOW_H_
