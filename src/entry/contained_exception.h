#ifndef TOUCANDOCK_ENTRY_CONTAINED_EXCEPTION_H_
#define TOUCANDOCK_ENTRY_CONTAINED_EXCEPTION_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <exception>

namespace toucandock::entry {

// Logs and counts an exception that was caught where the work of one request,
// record or message ends. `where` names that part of the program. Thread-safe.
void ReportException(const char* where, const char* what);

// Number of exceptions reported since the start.
std::uint64_t ContainedExceptions();

// Runs one step. Returns false after an exception, which is reported and does
// not leave this function.
template <typename Step>
bool Contain(const char* where, const Step& step) {
  try {
    step();
    return true;
  } catch (const std::exception& e) {
    ReportException(where, e.what());
    return false;
  }
}

// Runs handlers until the context is stopped or has no more work. This is the
// last boundary: an exception that no other one has caught ends its handler and
// what only that handler owns, but not the thread.
void RunHandlers(boost::asio::io_context& io, const char* thread);

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_CONTAINED_EXCEPTION_H_
