#ifndef TOUCANDOCK_PROCESS_CALLER_THREADS_H_
#define TOUCANDOCK_PROCESS_CALLER_THREADS_H_

#include <atomic>
#include <cstddef>
#include <functional>
#include <thread>
#include <vector>

namespace toucandock::process {

// Threads that call through the hosts of a fleet until Stop().
class CallerThreads {
 public:
  CallerThreads() = default;
  ~CallerThreads() { Stop(); }

  CallerThreads(const CallerThreads&) = delete;
  CallerThreads& operator=(const CallerThreads&) = delete;

  // Each thread gets the number of its host, and its own among that host's.
  void Start(size_t hosts,
             size_t threads_per_host,
             const std::function<void(size_t host, size_t thread)>& run) {
    for (size_t host = 0; host < hosts; ++host) {
      for (size_t n = 0; n < threads_per_host; ++n) {
        threads_.emplace_back([run, host, n] { run(host, n); });
      }
    }
  }

  void Stop() {
    stopping_ = true;
    for (std::thread& it : threads_) {
      it.join();
    }
    threads_.clear();
  }

  bool stopping() const { return stopping_; }

 private:
  std::atomic<bool> stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace toucandock::process

#endif  // TOUCANDOCK_PROCESS_CALLER_THREADS_H_
