#ifndef TOUCANDOCK_OBSERVE_REQUEST_REPORT_H_
#define TOUCANDOCK_OBSERVE_REQUEST_REPORT_H_

#include <json/value.h>

#include <chrono>
#include <cstdint>
#include <istream>
#include <string>
#include <vector>

#include "core/error_kind.h"

namespace toucandock::observe {

// One log line of an entry host.
struct LogLine {
  std::chrono::system_clock::time_point at;
  // Time as it is written in the line.
  std::string time;
  std::string host;
  std::string event;
  // All members of the line.
  Json::Value fields;
};

// What the collected logs show about one request.
struct RequestReport {
  std::string request_id;
  // Lines that contain the id of the request, ordered by time.
  std::vector<LogLine> steps;
  // Events around the request that concern its key, its targets or its hosts.
  std::vector<LogLine> context;
  // One sentence; empty without steps.
  std::string conclusion;
  std::string advice;
  core::Outcome outcome = core::Outcome::kUnknown;
  // Number of lines that the hosts dropped because there were too many.
  std::uint64_t dropped_lines = 0;
  // Number of lines that are not log lines of an entry host.
  std::uint64_t unreadable_lines = 0;
};

struct ReportOptions {
  // The context begins this long before the first line of the request. This is
  // the longest wait for the leases of a lost owner, so an earlier change is no
  // cause.
  std::chrono::milliseconds before{14'500};
  // The context ends this long after the last line of the request.
  std::chrono::milliseconds after{1'000};
  size_t max_context = 30;
  // Maximum number of ownership records in the context. Each of them may have
  // changed the owner of the key.
  size_t max_tables = 4;
};

RequestReport ReportOn(const std::string& request_id,
                       std::istream& logs,
                       const ReportOptions& options);

}  // namespace toucandock::observe

#endif  // TOUCANDOCK_OBSERVE_REQUEST_REPORT_H_
