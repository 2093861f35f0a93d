#ifndef TOUCANDOCK_PROCESS_CALLER_THREADS_H_
#define TOUCANDOCK_PROCESS_CALLER_THREADS_H_

#include <atomic>
#include <cstddef>
#include <functional>
#include <thread>
#include <vector>

namespace toucandock::process {

// Threads that send requests through the hosts of a fleet until Stop().
// Stop() waits for them, and so does the destructor.
class CallerThreads {
 public:
  CallerThreads() = default;
  ~CallerThreads() { Stop(); }

  CallerThreads(const CallerThreads&) = delete;
  CallerThreads& operator=(const CallerThreads&) = delete;

  // Calls `run` on each thread with the index of its host and the index of the
  // thread among the threads of that host. `run` must return soon after
  // stopping() becomes true.
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
