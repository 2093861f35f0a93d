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

// One line that an entry host logged.
struct LogLine {
  std::chrono::system_clock::time_point at;
  // As it stands in the line.
  std::string time;
  std::string host;
  std::string event;
  // All members of the line.
  Json::Value fields;
};

// What collected logs say of one request.
struct RequestReport {
  std::string request_id;
  // Lines that name the request, in the order of their times.
  std::vector<LogLine> steps;
  // What hosts learned shortly before about its keys, targets and dependencies.
  std::vector<LogLine> context;
  // In one sentence; empty without steps.
  std::string conclusion;
  std::string advice;
  core::Outcome outcome = core::Outcome::kUnknown;
  // Lines that the hosts left out because there were too many.
  std::uint64_t dropped_lines = 0;
  // Lines that are no log lines of an entry host.
  std::uint64_t unreadable_lines = 0;
};

struct ReportOptions {
  // Changes this long before the first line of the request may have caused it:
  // the longest wait for the leases of a lost owner.
  std::chrono::milliseconds before{14'500};
  std::chrono::milliseconds after{1'000};
  size_t max_context = 30;
  // Records of owners, each of which may have changed the key's owner.
  size_t max_tables = 4;
};

RequestReport ReportOn(const std::string& request_id,
                       std::istream& logs,
                       const ReportOptions& options);

}  // namespace toucandock::observe

#endif  // TOUCANDOCK_OBSERVE_REQUEST_REPORT_H_
