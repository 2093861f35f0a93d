#ifndef TOUCANDOCK_ENTRY_HEALTH_REQUEST_H_
#define TOUCANDOCK_ENTRY_HEALTH_REQUEST_H_

#include "net/socket.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "absl/strings/string_view.h"
#include "core/time.h"
#include "entry/target_connection.h"
#include "net/header_names.h"

namespace toucandock::entry {

struct HealthRequest {
  net::Tcp::endpoint target;
  std::string target_id;
  std::string path;
  // Nothing is sent after this time.
  core::TimePoint send_by{};
  // A response that takes longer is not used.
  core::Duration timeout = std::chrono::seconds(1);
};

// Returns the time in a header that states it in milliseconds, or nothing if it
// is not a number of up to an hour.
std::optional<core::Duration> ParseWarmUpLeft(absl::string_view text);

// Sends one GET to a target and calls `handler` once with how much longer the
// target says it remains cold; with nothing if it does not say so. `names` must
// outlive the call.
void SendHealthRequest(
    boost::asio::io_context& io,
    const HealthRequest& request,
    const net::HeaderNames& names,
    std::shared_ptr<AnswerMemory> memory,
    const std::function<void(std::optional<core::Duration>)>& handler);

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_HEALTH_REQUEST_H_
