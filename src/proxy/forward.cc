#include "proxy/forward.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <utility>

#include "absl/status/status.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace toucandock::proxy {
namespace {

using core::request::AttemptResult;
using core::request::AttemptStage;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr absl::string_view kPrefix = "Toucandock-Forward-";
constexpr absl::string_view kMethod = "Toucandock-Forward-Method";
constexpr absl::string_view kPath = "Toucandock-Forward-Path";
constexpr absl::string_view kQuery = "Toucandock-Forward-Query";
constexpr absl::string_view kService = "Toucandock-Forward-Service";
constexpr absl::string_view kTarget = "Toucandock-Forward-Target";
constexpr absl::string_view kKey = "Toucandock-Forward-Key";
constexpr absl::string_view kFence = "Toucandock-Forward-Fence";
constexpr absl::string_view kRequestId = "Toucandock-Forward-Request-Id";
constexpr absl::string_view kTenant = "Toucandock-Forward-Tenant";
constexpr absl::string_view kRemaining = "Toucandock-Forward-Remaining-Ms";
constexpr absl::string_view kStage = "Toucandock-Forward-Stage";
constexpr absl::string_view kRefused = "Toucandock-Forward-Refused";
constexpr absl::string_view kOverloaded = "Toucandock-Forward-Overloaded";
constexpr absl::string_view kTooLarge = "Toucandock-Forward-Too-Large";
constexpr absl::string_view kCount = "Toucandock-Forward-Count";
constexpr absl::string_view kUnavailable = "Toucandock-Forward-Unavailable";

// Indexed by AttemptStage.
constexpr std::array<absl::string_view, 6> kStageNames = {
    "not-connected", "connected",        "sending",
    "sent",          "headers-received", "complete"};

std::string ValueOf(const http::Headers& headers, absl::string_view name) {
  const std::string* value = http::FindHeader(headers, name);
  return value == nullptr ? "" : *value;
}

http::Headers WithoutForwardHeaders(const http::Headers& headers) {
  http::Headers result;
  for (const auto& it : headers) {
    if (!absl::StartsWithIgnoreCase(it.first, kPrefix)) {
      result.push_back(it);
    }
  }
  return result;
}

// An unknown stage is read as kSent, for which the request may or may not have
// run.
AttemptStage ParseStage(absl::string_view name) {
  for (size_t n = 0; n < kStageNames.size(); ++n) {
    if (kStageNames[n] == name) {
      return static_cast<AttemptStage>(n);
    }
  }
  return AttemptStage::kSent;
}

}  // namespace

AttemptStage StageOf(http::Progress progress) {
  switch (progress) {
    case http::Progress::kNotConnected:
      return AttemptStage::kNotConnected;
    case http::Progress::kConnected:
      return AttemptStage::kConnected;
    case http::Progress::kSending:
      return AttemptStage::kSending;
    case http::Progress::kSent:
      return AttemptStage::kSent;
    case http::Progress::kHeadersReceived:
      return AttemptStage::kHeadersReceived;
    case http::Progress::kComplete:
      return AttemptStage::kComplete;
  }
  return AttemptStage::kSent;
}

http::Request EncodeForward(const Forward& forward) {
  const ForwardMetadata& metadata = forward.metadata;
  http::Request request = {
      .method = "POST",
      .path = kForwardPath,
      .headers = WithoutForwardHeaders(forward.request.headers),
      .body = forward.request.body};
  const auto add = [&](absl::string_view name, std::string value) {
    if (!value.empty()) {
      request.headers.emplace_back(name, std::move(value));
    }
  };
  add(kMethod, forward.request.method);
  add(kPath, forward.request.path);
  add(kQuery, forward.request.query);
  add(kService, metadata.service);
  add(kTarget, metadata.target);
  add(kKey, metadata.key);
  add(kFence, absl::StrCat(metadata.fence));
  add(kRequestId, metadata.request_id);
  add(kTenant, metadata.tenant);
  add(kRemaining,
      absl::StrCat(duration_cast<milliseconds>(metadata.remaining).count()));
  return request;
}

absl::StatusOr<Forward> ParseForward(const http::Request& request) {
  const http::Headers& headers = request.headers;
  Forward forward = {.metadata = {.service = ValueOf(headers, kService),
                                  .target = ValueOf(headers, kTarget),
                                  .key = ValueOf(headers, kKey),
                                  .request_id = ValueOf(headers, kRequestId),
                                  .tenant = ValueOf(headers, kTenant)},
                     .request = {.method = ValueOf(headers, kMethod),
                                 .path = ValueOf(headers, kPath),
                                 .query = ValueOf(headers, kQuery),
                                 .headers = WithoutForwardHeaders(headers),
                                 .body = request.body}};
  std::int64_t remaining = 0;
  if (request.body_too_large || forward.request.method.empty() ||
      forward.request.path.empty() ||
      !absl::SimpleAtoi(ValueOf(headers, kFence), &forward.metadata.fence) ||
      !absl::SimpleAtoi(ValueOf(headers, kRemaining), &remaining) ||
      remaining < 0) {
    return absl::InvalidArgumentError("malformed forwarded request");
  }
  forward.metadata.remaining = milliseconds(remaining);
  return forward;
}

// The response has the status of the target's response, or 200 when there is no
// complete one.
http::Response EncodeForwardResult(const ForwardResult& result) {
  http::Response response;
  const AttemptResult& attempt = result.attempt;
  if (attempt.stage == AttemptStage::kComplete) {
    response = {.status = result.answer.status,
                .headers = WithoutForwardHeaders(result.answer.headers),
                .body = result.answer.body};
  }
  const auto stage = static_cast<size_t>(attempt.stage);
  response.headers.emplace_back(kStage, kStageNames[stage]);
  const auto flag = [&](absl::string_view name, bool value) {
    if (value) {
      response.headers.emplace_back(name, "1");
    }
  };
  flag(kRefused, attempt.refused_by_target);
  flag(kOverloaded, attempt.overloaded);
  flag(kTooLarge, attempt.too_large);
  flag(kUnavailable, result.unavailable);
  response.headers.emplace_back(kCount,
                                absl::StrCat(result.remote_queue_count));
  return response;
}

// When the queue host returned no complete response and a part of the request
// may have been written, the request may have reached the target.
ForwardResult ParseForwardResult(http::ExchangeResult exchange) {
  ForwardResult result;
  const AttemptStage stage = StageOf(exchange.progress);
  if (stage < AttemptStage::kSending) {
    result.unavailable = true;
    return result;
  }
  const http::Headers& headers = exchange.response.headers;
  if (stage < AttemptStage::kComplete) {
    result.attempt.stage = AttemptStage::kSent;
    result.attempt.caller_gone = exchange.failure == http::Failure::kCallerGone;
    result.unavailable = exchange.failure == http::Failure::kTimeout;
    return result;
  }
  result.attempt = {
      .stage = ParseStage(ValueOf(headers, kStage)),
      .refused_by_target = http::FindHeader(headers, kRefused) != nullptr,
      .too_large = http::FindHeader(headers, kTooLarge) != nullptr,
      .overloaded = http::FindHeader(headers, kOverloaded) != nullptr};
  result.unavailable = http::FindHeader(headers, kUnavailable) != nullptr;
  if (!absl::SimpleAtoi(ValueOf(headers, kCount), &result.remote_queue_count)) {
    result.remote_queue_count = 0;
  }
  result.answer = std::move(exchange.response);
  result.answer.headers = WithoutForwardHeaders(result.answer.headers);
  return result;
}

}  // namespace toucandock::proxy
