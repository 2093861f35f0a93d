// Measures the latency that an entry host adds to a request, and the requests
// per second and core, against requests that are sent to the target directly.
#include <algorithm>
#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "bench.h"
#include "process/fleet.h"

namespace toucandock::bench {
namespace {

using process::ChildProcess;
using process::Fleet;
using std::chrono::steady_clock;

constexpr int kRuns = 5;
constexpr int kSequentialRequests = 500;
constexpr size_t kThreads = 4;
constexpr std::chrono::milliseconds kThroughputTime{2'000};

http::Request MakeRequest(const std::string& path) {
  return {.path = path, .headers = {{"Toucandock-Key", "key-1"}}};
}

// Sends requests one after the other and returns their latencies in
// milliseconds, sorted.
std::vector<double> Latencies(http::Client& client,
                              const std::string& address,
                              const std::string& path) {
  std::vector<double> values;
  for (int n = 0; n < kSequentialRequests; ++n) {
    const auto start = steady_clock::now();
    const http::ExchangeResult result =
        client.Exchange(address, MakeRequest(path), {});
    const std::chrono::duration<double, std::milli> taken =
        steady_clock::now() - start;
    if (result.response.status == 200) {
      values.push_back(taken.count());
    }
  }
  std::sort(values.begin(), values.end());
  return values;
}

// Returns the number of requests per second of processor time of the process.
double PerCore(http::Client& client,
               const std::string& address,
               const std::string& path,
               const ChildProcess& process) {
  std::atomic<int> answered = 0;
  const auto cpu_before = process.CpuTime();
  const auto end = steady_clock::now() + kThroughputTime;
  std::vector<std::thread> threads;
  for (size_t n = 0; n < kThreads; ++n) {
    threads.emplace_back([&] {
      while (steady_clock::now() < end) {
        if (client.Exchange(address, MakeRequest(path), {}).response.status ==
            200) {
          ++answered;
        }
      }
    });
  }
  for (std::thread& it : threads) {
    it.join();
  }
  const std::chrono::duration<double> cpu = process.CpuTime() - cpu_before;
  return answered / cpu.count();
}

void Run(Report& report) {
  Fleet fleet({.hosts = 1, .targets = 1});
  fleet.PublishAndWait();
  fleet.OwnerOf(0, "key-1");
  const std::string through = absl::StrCat("/", Fleet::kService, "/jobs");
  Figure median = {.name = "request through one entry host, median",
                   .unit = "ms",
                   .baseline_name = "direct"};
  Figure slow = {.name = "request through one entry host, 99th percentile",
                 .unit = "ms",
                 .baseline_name = "direct"};
  Figure added = {.name = "latency added by one entry host, median",
                  .unit = "ms"};
  Figure rate = {.name = "requests a second per core of the entry host",
                 .unit = "1/s",
                 .baseline_name = "per core of the target, direct"};
  for (int n = 0; n < kRuns; ++n) {
    const std::vector<double> direct =
        Latencies(fleet.client(), fleet.target(0).address, "/jobs");
    const std::vector<double> relayed =
        Latencies(fleet.client(), fleet.host(0).caller_address, through);
    if (direct.empty() || relayed.empty()) {
      continue;
    }
    median.values.push_back(relayed[relayed.size() / 2]);
    median.baseline_values.push_back(direct[direct.size() / 2]);
    slow.values.push_back(relayed[relayed.size() * 99 / 100]);
    slow.baseline_values.push_back(direct[direct.size() * 99 / 100]);
    added.values.push_back(median.values.back() -
                           median.baseline_values.back());
    rate.baseline_values.push_back(PerCore(fleet.client(),
                                           fleet.target(0).address, "/jobs",
                                           *fleet.target(0).process));
    rate.values.push_back(PerCore(fleet.client(), fleet.host(0).caller_address,
                                  through, *fleet.host(0).process));
  }
  report.Add(std::move(median));
  report.Add(std::move(slow));
  report.Add(std::move(added));
  report.Add(std::move(rate));
}

const Registration kRegistration("overhead", Run);

}  // namespace
}  // namespace toucandock::bench
