#include "daemon/work_pool.h"

#include <utility>

namespace toucandock::daemon {

WorkPool::WorkPool(size_t threads) {
  for (size_t n = 0; n < threads; ++n) {
    threads_.emplace_back([this] { Work(); });
  }
}

// Drops the work that has not started and waits for the work that is running.
WorkPool::~WorkPool() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
    queue_.clear();
  }
  available_.notify_all();
  for (std::thread& it : threads_) {
    it.join();
  }
}

void WorkPool::Run(std::function<void()> work) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    queue_.push_back(std::move(work));
  }
  available_.notify_one();
}

void WorkPool::Work() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_) {
    if (queue_.empty()) {
      available_.wait(lock);
      continue;
    }
    const std::function<void()> work = std::move(queue_.front());
    queue_.pop_front();
    lock.unlock();
    work();
    lock.lock();
  }
}

}  // namespace toucandock::daemon
