#include "entry/stream_follower.h"

#include <algorithm>
#include <utility>

#include "entry/clock.h"

namespace toucandock::entry {
namespace {

using std::chrono::milliseconds;

// A read that follows a pause waits for less time, so that the store responds
// as often as without the pause, but not so often that it is loaded by it.
constexpr std::chrono::milliseconds kMinPollWait{100};

}  // namespace

StreamFollower::StreamFollower(boost::asio::io_context& io,
                               const PlatformHooks& platform,
                               Stream stream,
                               FollowerOptions options,
                               FollowerHooks hooks)
    : platform_(platform),
      stream_(stream),
      options_(options),
      hooks_(std::move(hooks)),
      timer_(io) {}

void StreamFollower::Start(std::chrono::milliseconds wait) {
  waits_for_peer_ = wait > std::chrono::milliseconds(0);
  if (waits_for_peer_) {
    ScheduleRead(wait);
  } else {
    ReadNewest();
  }
}

void StreamFollower::OnStoreEra(core::Era era, std::chrono::milliseconds wait) {
  if (!has_newest_ || core::EraOf(next_) >= era) {
    return;
  }
  // The response to a read in flight would be of no use.
  ++read_id_;
  is_reading_now_ = false;
  restarts_after_read_ = false;
  has_newest_ = false;
  waits_for_peer_ = true;
  ScheduleRead(wait);
}

void StreamFollower::EndWait() {
  if (waits_for_peer_) {
    ScheduleRead(std::chrono::milliseconds(0));
  }
}

void StreamFollower::DeliverNewest(const ReadResult& result) {
  if (has_newest_ && core::EraOf(result.end) <= core::EraOf(next_)) {
    return;
  }
  // A read of the store that is in flight is no longer needed.
  ++read_id_;
  is_reading_now_ = false;
  waits_for_peer_ = false;
  next_ = result.end;
  has_newest_ = true;
  hooks_.on_newest(result);
  ScheduleRead(std::chrono::milliseconds(0));
}

void StreamFollower::ReadNewest() {
  waits_for_peer_ = false;
  is_reading_now_ = true;
  platform_.read_newest(stream_,
                        [self = shared_from_this(), read = ++read_id_,
                         sent = LeaseClockNow()](const ReadResult& result) {
                          if (read == self->read_id_) {
                            self->is_reading_now_ = false;
                            self->OnNewest(result, sent);
                          }
                        });
}

void StreamFollower::ReadNext() {
  const auto pause =
      std::exchange(pause_before_read_, std::chrono::milliseconds(0));
  const auto wait = std::exchange(skip_poll_wait_, false)
                        ? std::chrono::milliseconds(0)
                        : std::max(poll_wait_ - pause, kMinPollWait);
  is_reading_now_ = wait == std::chrono::milliseconds(0);
  platform_.read(stream_, next_, wait,
                 [self = shared_from_this(), read = ++read_id_,
                  due = LeaseClockNow() + wait](const ReadResult& result) {
                   if (read == self->read_id_) {
                     self->is_reading_now_ = false;
                     self->OnRead(result, due);
                   }
                 });
}

void StreamFollower::OnNewest(const ReadResult& result, core::TimePoint sent) {
  if (result.status != StoreStatus::kOk) {
    PauseAfterFailure();
    return;
  }
  failures_ = 0;
  restarts_after_read_ = false;
  hooks_.on_answer();
  // A response whose end lies before the records that were read already is
  // outdated.
  if (result.end >= next_) {
    next_ = result.end;
    has_newest_ = true;
    hooks_.on_newest(result);
    hooks_.on_complete(sent);
    ScheduleRead(std::chrono::milliseconds(0));
    return;
  }
  ScheduleRead(std::chrono::milliseconds(200));
}

// The store responds by `response_due`. A response that arrives later, such as
// after a pause of this process, says nothing about the time in between.
void StreamFollower::OnRead(const ReadResult& result,
                            core::TimePoint response_due) {
  if (result.status == StoreStatus::kHistoryLost) {
    failures_ = 0;
    hooks_.on_answer();
    has_newest_ = false;
    hooks_.on_history_lost();
    ScheduleRead(std::chrono::milliseconds(0));
    return;
  }
  if (result.status != StoreStatus::kOk) {
    PauseAfterFailure();
    return;
  }
  failures_ = 0;
  restarts_after_read_ = false;
  hooks_.on_answer();
  const core::TimePoint as_of = std::min(LeaseClockNow(), response_due);
  const bool has_records = TakeRecords(result);
  if (result.has_more) {
    skip_poll_wait_ = true;
    ReadNext();
    return;
  }
  hooks_.on_complete(as_of);
  pause_before_read_ = has_records ? batch_pause_ : milliseconds(0);
  ScheduleRead(pause_before_read_);
}

// Passes on the records that are not known yet. A response that arrives late
// may start with records that a peer has delivered meanwhile, together with
// newer ones of the same keys.
bool StreamFollower::TakeRecords(const ReadResult& result) {
  ReadResult unknown = result;
  std::erase_if(unknown.records,
                [this](const StoredRecord& it) { return it.offset < next_; });
  next_ = std::max(next_, result.end);
  if (unknown.records.empty()) {
    return false;
  }
  next_ = std::max(next_, unknown.records.back().offset + 1);
  hooks_.on_records(unknown);
  return true;
}

void StreamFollower::PauseAfterFailure() {
  if (std::exchange(restarts_after_read_, false)) {
    ScheduleRead(milliseconds(0));
    return;
  }
  if (++failures_ == 1) {
    ScheduleRead(options_.initial_retry_delay);
    return;
  }
  hooks_.on_failure();
  ScheduleRead(options_.retry_delay);
}

void StreamFollower::SetRelayed(bool relayed) {
  if (relayed == relayed_ || (relayed && !has_newest_)) {
    return;
  }
  relayed_ = relayed;
  if (relayed) {
    // A read in flight goes on. No other follows it.
    timer_.cancel();
    return;
  }
  skip_poll_wait_ = true;
  Restart(std::chrono::milliseconds(0));
}

void StreamFollower::Deliver(const ReadResult& result) {
  TakeRecords(result);
}

void StreamFollower::ReadOnce() {
  if (has_newest_ && !is_reading_now_) {
    timer_.cancel();
    skip_poll_wait_ = true;
    ReadNext();
  }
}

void StreamFollower::Restart(std::chrono::milliseconds delay) {
  if (is_reading_now_) {
    restarts_after_read_ = true;
    return;
  }
  ++read_id_;
  ScheduleRead(delay);
}

void StreamFollower::ScheduleRead(std::chrono::milliseconds delay) {
  // While the stream is relayed, the store is read only if the newest records
  // are missing, since the records of a peer can only be added to them.
  if (relayed_ && has_newest_) {
    return;
  }
  timer_.expires_after(delay);
  timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& ec) {
        if (ec || self->is_reading_now_) {
          return;
        }
        if (self->has_newest_) {
          self->ReadNext();
        } else {
          self->ReadNewest();
        }
      });
}

}  // namespace toucandock::entry
