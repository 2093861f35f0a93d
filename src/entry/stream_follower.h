#ifndef TOUCANDOCK_ENTRY_STREAM_FOLLOWER_H_
#define TOUCANDOCK_ENTRY_STREAM_FOLLOWER_H_

#include "net/socket.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <vector>

#include "entry/platform_hooks.h"

namespace toucandock::entry {

struct FollowerHooks {
  // The newest record of every key, to replace what was known.
  std::function<void(const ReadResult&)> on_newest;
  std::function<void(const ReadResult&)> on_records;
  std::function<void()> on_answer;
  std::function<void()> on_failure;
};

struct FollowerOptions {
  // After a single failure, such as a connection that broke.
  std::chrono::milliseconds initial_retry_delay{100};
  // After further ones the follower waits for Restart(), at most this long.
  std::chrono::milliseconds retry_delay{5'000};
};

// Reads one stream of the store from its newest records on, for good. Lives on
// one context's thread.
class StreamFollower : public std::enable_shared_from_this<StreamFollower> {
 public:
  StreamFollower(boost::asio::io_context& io,
                 const PlatformHooks& platform,
                 Stream stream,
                 FollowerOptions options,
                 FollowerHooks hooks);

  void Start();
  // Gives up the read under way and starts another: it may never be answered.
  void Restart(std::chrono::milliseconds delay);
  void SetPollWait(std::chrono::milliseconds wait) { poll_wait_ = wait; }
  // Shortest time between two reads that bring records.
  void SetBatchPause(std::chrono::milliseconds pause) { batch_pause_ = pause; }
  // While relayed, records come from a peer by Deliver() and the store is not
  // read.
  void SetRelayed(bool relayed);
  void Deliver(const ReadResult& result);
  // Reads what is there from the store once, also while relayed.
  void ReadOnce();
  bool has_newest() const { return has_newest_; }
  // Offset of the next record to be read.
  core::Offset next() const { return next_; }

 private:
  void ReadNewest();
  void ReadNext();
  void OnNewest(const ReadResult& result);
  void OnRead(const ReadResult& result);
  void PauseAfterFailure();
  void ScheduleRead(std::chrono::milliseconds delay);

  const PlatformHooks& platform_;
  const Stream stream_;
  const FollowerOptions options_;
  const FollowerHooks hooks_;
  boost::asio::steady_timer timer_;
  std::chrono::milliseconds batch_pause_{0};
  // The next read is not held, so that its answer shows how old the rest is.
  bool skip_poll_wait_ = false;
  // How long the store may hold a read that finds nothing new.
  std::chrono::milliseconds poll_wait_{8'000};
  bool has_newest_ = false;
  bool relayed_ = false;
  int failures_ = 0;
  // Counts reads; an answer to an earlier one is ignored.
  std::uint64_t read_id_ = 0;
  core::Offset next_ = 0;
};

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_STREAM_FOLLOWER_H_
