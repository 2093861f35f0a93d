#include "entry/contained_exception.h"

#include <atomic>

#include "entry/event_log.h"

namespace toucandock::entry {
namespace {

std::atomic<std::uint64_t> contained_exceptions{0};

}  // namespace

void ReportException(const char* where, const char* what) {
  contained_exceptions++;
  LogEvent("exception_contained", {{"where", where}, {"cause", what}});
}

std::uint64_t ContainedExceptions() {
  return contained_exceptions;
}

void RunHandlers(boost::asio::io_context& io, const char* thread) {
  while (!Contain(thread, [&io] { io.run(); })) {
  }
}

}  // namespace toucandock::entry
