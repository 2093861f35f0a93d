#include "daemon/operator_handler.h"

#include <ctime>
#include <utility>

#include "absl/strings/numbers.h"
#include "codec/json.h"
#include "codec/status_json.h"
#include "proxy/problem.h"

namespace toucandock::daemon {
namespace {

using core::ErrorKind;
using core::control::ControllerStatus;
using observe::DecisionEntry;

constexpr size_t kDefaultDecisions = 50;

std::string FormatTime(std::chrono::system_clock::time_point at) {
  const std::time_t seconds = std::chrono::system_clock::to_time_t(at);
  std::tm parts = {};
  gmtime_r(&seconds, &parts);
  char buf[sizeof("2000-01-01T00:00:00Z")];
  std::strftime(buf, sizeof(buf), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return buf;
}

Json::Value ToJson(const std::vector<DecisionEntry>& entries) {
  Json::Value list(Json::arrayValue);
  for (const DecisionEntry& it : entries) {
    Json::Value entry;
    entry["at"] = FormatTime(it.at);
    entry["what"] = it.what;
    entry["cause"] = it.cause;
    list.append(entry);
  }
  return list;
}

// Returns descriptions, for operators, of what does not work normally.
Json::Value Degradations(const ControllerStatus& status) {
  Json::Value list(Json::arrayValue);
  if (!status.has_lease) {
    list.append(
        "no serving lease: requests for keys wait or are refused as not-run");
  }
  if (!status.log_available) {
    list.append(
        "the log cannot be read: requests go on, new configurations wait");
  }
  if (status.config_accepted != status.config_version) {
    list.append(
        "the accepted configuration cannot be read by this version; the "
        "earlier one stays in force");
  }
  for (const core::TargetId& it : status.lost_targets) {
    list.append("target " + it + " is lost");
  }
  return list;
}

}  // namespace

OperatorHandler::OperatorHandler(const observe::DecisionHistory& history,
                                 const observe::Metrics& metrics,
                                 OperatorHooks hooks)
    : history_(history), metrics_(metrics), hooks_(std::move(hooks)) {}

http::Response OperatorHandler::Serve(const http::Request& request) const {
  if (request.path == "/status") {
    return Status();
  }
  if (request.path == "/decisions") {
    return Decisions(request);
  }
  if (request.path == "/explain") {
    return Explain(request);
  }
  if (request.path == "/ready") {
    return Ready();
  }
  if (request.path == "/config") {
    return {200, {{"Content-Type", "application/yaml"}}, hooks_.config_text()};
  }
  if (request.path == "/metrics") {
    return {
        200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_.Text()};
  }
  if (request.path == "/stop" && request.method == "POST") {
    hooks_.stop();
    return http::JsonResponse(202, "{\"stopping\":true}");
  }
  return proxy::ProblemResponse(ErrorKind::kNotFound, core::Outcome::kNotRun,
                                "", "");
}

http::Response OperatorHandler::Status() const {
  const ControllerStatus status = hooks_.status();
  Json::Value value = codec::ToJson(status);
  value["stopping"] = hooks_.is_stopping();
  value["degraded"] = Degradations(status);
  return http::JsonResponse(200, codec::WriteJson(value));
}

http::Response OperatorHandler::Decisions(const http::Request& request) const {
  size_t count = kDefaultDecisions;
  const std::string text = http::QueryParameter(request, "count");
  if (!text.empty() && !absl::SimpleAtoi(text, &count)) {
    return proxy::ProblemResponse(ErrorKind::kMalformedRequest,
                                  core::Outcome::kNotRun,
                                  "count is not a number", "");
  }
  return http::JsonResponse(200,
                            codec::WriteJson(ToJson(history_.Latest(count))));
}

http::Response OperatorHandler::Explain(const http::Request& request) const {
  const std::string service = http::QueryParameter(request, "service");
  const std::string key = http::QueryParameter(request, "key");
  std::string unit;
  const std::string owner = hooks_.owner_of(service, key, unit);
  if (unit.empty()) {
    return proxy::ProblemResponse(ErrorKind::kUnknownService,
                                  core::Outcome::kNotRun,
                                  "name a service that is divided by key", "");
  }
  Json::Value value;
  value["service"] = service;
  value["key"] = key;
  value["unit"] = unit;
  value["owner"] = owner;
  std::vector<DecisionEntry> decisions =
      history_.Matching("unit " + unit + " ");
  if (decisions.empty()) {
    decisions.push_back({started_at_, "unit " + unit + " is served by " + owner,
                         "decided before this host's history begins"});
  }
  value["decisions"] = ToJson(decisions);
  return http::JsonResponse(200, codec::WriteJson(value));
}

// Returns 503 when the host is stopping, has no lease, has no configuration or
// cannot read the accepted one, so that the platform's load balancer sends
// callers to other hosts.
http::Response OperatorHandler::Ready() const {
  const ControllerStatus status = hooks_.status();
  const bool ready = !hooks_.is_stopping() && status.has_lease &&
                     status.config_version != 0 &&
                     status.config_version == status.config_accepted;
  return http::JsonResponse(ready ? 200 : 503,
                            ready ? "{\"ready\":true}" : "{\"ready\":false}");
}

}  // namespace toucandock::daemon
