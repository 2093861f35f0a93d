#ifndef TOUCANDOCK_ENTRY_STREAM_FOLLOWER_H_
#define TOUCANDOCK_ENTRY_STREAM_FOLLOWER_H_

#include "net/socket.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <vector>

#include "core/time.h"
#include "entry/platform_hooks.h"

namespace toucandock::entry {

struct FollowerHooks {
  // Called with the newest record of every key. They replace all records that
  // were known before.
  std::function<void(const ReadResult&)> on_newest;
  std::function<void(const ReadResult&)> on_records;
  std::function<void()> on_answer;
  // Called when a response of the store shows that all records which the stream
  // held at `as_of` are known. The records have been passed on before.
  std::function<void(core::TimePoint as_of)> on_complete;
  // Called when the records that were read are no longer continued by those
  // that the store keeps.
  std::function<void()> on_history_lost;
  std::function<void()> on_failure;
};

struct FollowerOptions {
  // Delay after a single failure, such as a broken connection.
  std::chrono::milliseconds initial_retry_delay{100};
  // Delay after further failures, unless Restart() is called earlier.
  std::chrono::milliseconds retry_delay{5'000};
};

// Reads one stream of the store continuously, starting with its newest records.
// All calls must be made on the thread of the io_context.
class StreamFollower : public std::enable_shared_from_this<StreamFollower> {
 public:
  StreamFollower(boost::asio::io_context& io,
                 const PlatformHooks& platform,
                 Stream stream,
                 FollowerOptions options,
                 FollowerHooks hooks);

  // Reads the newest records of the store, unless a peer has delivered them
  // within `wait`.
  void Start(std::chrono::milliseconds wait);
  // The store is in this era. If the records are of an earlier one, reads the
  // newest records as Start() does: from the store, unless a peer has delivered
  // them within `wait`.
  void OnStoreEra(core::Era era, std::chrono::milliseconds wait);
  // Takes the newest records from a peer, if they have not been read yet or
  // belong to an earlier era of the store.
  void DeliverNewest(const ReadResult& result);
  // Reads the newest records without waiting for a peer any longer.
  void EndWait();
  // Abandons a read that waits for new records, which may never be answered,
  // and starts another after the delay. A read without waiting goes on; if it
  // fails, another follows at once.
  void Restart(std::chrono::milliseconds delay);
  void SetPollWait(std::chrono::milliseconds wait) { poll_wait_ = wait; }
  // Sets the pause after a read that returned records.
  void SetBatchPause(std::chrono::milliseconds pause) { batch_pause_ = pause; }
  // While the stream is relayed, its records come from a peer through Deliver()
  // and the store is not read.
  void SetRelayed(bool relayed);
  void Deliver(const ReadResult& result);
  // Reads the existing records from the store without delay, even while the
  // stream is relayed. Replaces a read that waits for new records, which may
  // never be answered. Has no effect until the newest records have been read,
  // or while a read without waiting is in flight: a large response takes longer
  // than the time between two announcements of a record.
  void ReadOnce();
  bool is_relayed() const { return relayed_; }
  // Whether a read is in flight that ends without waiting for new records.
  bool is_reading_now() const { return is_reading_now_; }
  bool has_newest() const { return has_newest_; }
  // Offset of the next record to be read.
  core::Offset next() const { return next_; }

 private:
  void ReadNewest();
  void ReadNext();
  void OnNewest(const ReadResult& result, core::TimePoint sent);
  void OnRead(const ReadResult& result, core::TimePoint response_due);
  bool TakeRecords(const ReadResult& result);
  void PauseAfterFailure();
  void ScheduleRead(std::chrono::milliseconds delay);

  const PlatformHooks& platform_;
  const Stream stream_;
  const FollowerOptions options_;
  const FollowerHooks hooks_;
  boost::asio::steady_timer timer_;
  std::chrono::milliseconds batch_pause_{0};
  // The pause that the next read follows.
  std::chrono::milliseconds pause_before_read_{0};
  // The next read does not wait for new records, so that its response shows at
  // once whether the known records are up to date.
  bool skip_poll_wait_ = false;
  // How long the store may delay the response to a read that finds nothing new.
  std::chrono::milliseconds poll_wait_{8'000};
  bool has_newest_ = false;
  // The newest records may still come from a peer.
  bool waits_for_peer_ = false;
  bool relayed_ = false;
  // A read in flight ends soon, because the store was not asked to wait for new
  // records. It is never replaced by another: if something that recurs replaced
  // it, no response would ever be used over a slow link.
  bool is_reading_now_ = false;
  // Restart() was called during such a read.
  bool restarts_after_read_ = false;
  int failures_ = 0;
  // Number of the latest read. The response to an earlier read is ignored.
  std::uint64_t read_id_ = 0;
  core::Offset next_ = 0;
};

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_STREAM_FOLLOWER_H_
