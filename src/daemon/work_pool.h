#ifndef TOUCANDOCK_DAEMON_WORK_POOL_H_
#define TOUCANDOCK_DAEMON_WORK_POOL_H_

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace toucandock::daemon {

// Runs blocking calls on a fixed number of threads, so that the calling thread
// does not wait for them.
class WorkPool {
 public:
  explicit WorkPool(size_t threads);
  ~WorkPool();

  WorkPool(const WorkPool&) = delete;
  WorkPool& operator=(const WorkPool&) = delete;

  void Run(std::function<void()> work);

 private:
  void Work();

  std::mutex mutex_;
  std::condition_variable available_;
  std::deque<std::function<void()>> queue_;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace toucandock::daemon

#endif  // TOUCANDOCK_DAEMON_WORK_POOL_H_
