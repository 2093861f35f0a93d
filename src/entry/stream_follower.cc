#include "entry/stream_follower.h"

#include <algorithm>
#include <utility>

namespace toucandock::entry {

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

void StreamFollower::Start() {
  ReadNewest();
}

void StreamFollower::ReadNewest() {
  platform_.read_newest(stream_, [self = shared_from_this(),
                                  read = ++read_](const ReadResult& result) {
    if (read == self->read_) {
      self->OnNewest(result);
    }
  });
}

void StreamFollower::ReadOn() {
  const auto wait = std::exchange(read_at_once_, false)
                        ? std::chrono::milliseconds(0)
                        : poll_wait_;
  platform_.read(
      stream_, next_, wait,
      [self = shared_from_this(), read = ++read_](const ReadResult& result) {
        if (read == self->read_) {
          self->OnRead(result);
        }
      });
}

void StreamFollower::OnNewest(const ReadResult& result) {
  if (result.status != StoreStatus::kOk) {
    PauseAfterFailure();
    return;
  }
  failures_ = 0;
  hooks_.on_answer();
  // An answer that ends before what was read already is a stale one.
  if (result.end >= next_) {
    next_ = result.end;
    has_newest_ = true;
    hooks_.on_newest(result);
    Continue(std::chrono::milliseconds(0));
    return;
  }
  Continue(std::chrono::milliseconds(200));
}

void StreamFollower::OnRead(const ReadResult& result) {
  if (result.status == StoreStatus::kHistoryLost) {
    failures_ = 0;
    hooks_.on_answer();
    has_newest_ = false;
    Continue(std::chrono::milliseconds(0));
    return;
  }
  if (result.status != StoreStatus::kOk) {
    PauseAfterFailure();
    return;
  }
  failures_ = 0;
  hooks_.on_answer();
  if (result.records.empty()) {
    next_ = std::max(next_, result.end);
    Continue(std::chrono::milliseconds(0));
    return;
  }
  next_ = std::max(next_, result.records.back().offset + 1);
  hooks_.on_records(result);
  Continue(batch_pause_);
}

void StreamFollower::PauseAfterFailure() {
  if (++failures_ == 1) {
    Continue(options_.first_retry);
    return;
  }
  hooks_.on_failure();
  Continue(options_.failure_pause);
}

void StreamFollower::SetRelayed(bool relayed) {
  if (relayed == relayed_ || (relayed && !has_newest_)) {
    return;
  }
  relayed_ = relayed;
  if (relayed) {
    // An answer that still comes is ignored.
    ++read_;
    timer_.cancel();
    return;
  }
  read_at_once_ = true;
  Restart(std::chrono::milliseconds(0));
}

void StreamFollower::Deliver(const ReadResult& result) {
  const bool has_records =
      !result.records.empty() && result.records.back().offset >= next_;
  next_ = std::max(next_, result.end);
  if (has_records) {
    hooks_.on_records(result);
  }
}

void StreamFollower::ReadOnce() {
  if (has_newest_) {
    read_at_once_ = true;
    ReadOn();
  }
}

void StreamFollower::Restart(std::chrono::milliseconds delay) {
  ++read_;
  Continue(delay);
}

void StreamFollower::Continue(std::chrono::milliseconds delay) {
  // Without the newest records, those of a peer cannot be added to them.
  if (relayed_ && has_newest_) {
    return;
  }
  timer_.expires_after(delay);
  timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& ec) {
        if (ec) {
          return;
        }
        if (self->has_newest_) {
          self->ReadOn();
        } else {
          self->ReadNewest();
        }
      });
}

}  // namespace toucandock::entry
