#include "entry/health_request.h"

#include <boost/asio/steady_timer.hpp>
#include <cmath>
#include <utility>

#include "absl/strings/numbers.h"

namespace toucandock::entry {
namespace {

namespace http = boost::beast::http;

constexpr std::chrono::milliseconds kMaxWarmUpLeft{std::chrono::hours(1)};

// A response of another process at the address says nothing about the target.
std::optional<core::Duration> WarmUpLeftOf(const net::HttpResponse& response,
                                           const std::string& target_id,
                                           const net::HeaderNames& names) {
  const auto sender = response.find(names.target_id);
  const auto header = response.find(names.warm_up_left);
  if (response.result() != http::status::ok || header == response.end() ||
      (sender != response.end() && sender->value() != target_id)) {
    return std::nullopt;
  }
  return ParseWarmUpLeft(
      absl::string_view(header->value().data(), header->value().size()));
}

}  // namespace

std::optional<core::Duration> ParseWarmUpLeft(absl::string_view text) {
  double number = 0;
  if (!absl::SimpleAtod(text, &number) || !std::isfinite(number) ||
      number < 0 || number > static_cast<double>(kMaxWarmUpLeft.count())) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double, std::milli>(number));
}

void SendHealthRequest(
    boost::asio::io_context& io,
    const HealthRequest& request,
    const net::HeaderNames& names,
    std::shared_ptr<AnswerMemory> memory,
    const std::function<void(std::optional<core::Duration>)>& handler) {
  const auto connection = std::make_shared<TargetConnection>(
      io, request.target, names, std::move(memory),
      TargetConnectionHooks{.may_send = [send_by = request.send_by] {
        return std::chrono::steady_clock::now() < send_by;
      }});
  const auto timer =
      std::make_shared<boost::asio::steady_timer>(io, request.timeout);
  timer->async_wait([connection, handler](const boost::system::error_code& ec) {
    if (!ec) {
      connection->Abandon();
      handler(std::nullopt);
    }
  });
  net::HttpRequest message{http::verb::get, request.path, 11};
  message.set(http::field::host, request.target.address().to_string());
  message.keep_alive(false);
  connection->Send(std::move(message), [timer, handler, id = request.target_id,
                                        &names](const TargetAnswer& answer) {
    // The timer may have run out already.
    if (timer->cancel() > 0) {
      handler(WarmUpLeftOf(answer.response, id, names));
    }
  });
}

}  // namespace toucandock::entry
