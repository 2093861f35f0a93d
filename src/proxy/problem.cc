#include "proxy/problem.h"

#include "codec/json.h"

namespace toucandock::proxy {

// Returns a problem document (RFC 9457) with the additional members kind,
// outcome and request_id.
http::Response ProblemResponse(core::ErrorKind kind,
                               core::Outcome outcome,
                               const std::string& detail,
                               const std::string& request_id) {
  const core::ErrorAnswer& answer = core::AnswerFor(kind);
  Json::Value body;
  body["type"] = "urn:toucandock:error:" + std::string(answer.name);
  body["title"] = std::string(answer.title);
  body["status"] = answer.http_status;
  body["kind"] = std::string(answer.name);
  body["outcome"] = std::string(core::ToString(outcome));
  if (!detail.empty()) {
    body["detail"] = detail;
  }
  if (!request_id.empty()) {
    body["request_id"] = request_id;
  }
  http::Response response = {
      .status = answer.http_status,
      .headers = {{"Content-Type", "application/problem+json"}},
      .body = codec::WriteJson(body)};
  if (answer.retriable && outcome == core::Outcome::kNotRun) {
    response.headers.emplace_back("Retry-After", "1");
  }
  return response;
}

}  // namespace toucandock::proxy
