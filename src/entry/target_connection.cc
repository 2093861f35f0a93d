#include "entry/target_connection.h"

#include <boost/beast/http/write.hpp>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "net/message_framing.h"
#include "net/message_reader.h"

namespace toucandock::entry {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;
using core::request::AttemptEnd;

// Number of late responses to earlier requests and of interim responses that
// are skipped before the connection is closed.
constexpr int kMaxSkippedAnswers = 4;
// Limit of one response body; those of the users' targets have some kilobytes.
constexpr std::uint64_t kMaxBodyBytes = 16ULL << 20;
constexpr std::uint32_t kMaxHeadBytes = 16U << 10;
// Idle connections are used for at most this percentage of the keep-alive
// time-out that the target announces.
constexpr int kIdlePercent = 60;
// A target that does not accept a connection resets it as soon as it is
// established. Between failure domains this takes some milliseconds.
constexpr std::chrono::milliseconds kMaxRejectionTime{20};
// Delay of the first request on a new connection, in which the rejection of a
// target in another failure domain arrives. A request that was not sent has
// certainly not run and can go elsewhere.
constexpr std::chrono::milliseconds kRejectionWait{5};
// Targets accept connections within milliseconds. Past this time, the first
// packet is lost, which the kernel sends again only after 1 s, or the target is
// gone; a request that was not sent can go elsewhere.
constexpr std::chrono::milliseconds kConnectLimit{600};
// A body of up to this length fits into the buffers between host and target, so
// that the target acknowledges it also while it does not read.
constexpr size_t kBufferedBodyBytes = 64U << 10;
// Time for which a target may leave no room for the rest of a longer body.
// Several times the deadline of 4 s on the users' pages, which ends such a
// request before. The price is that a target that disappears under a long body
// is noticed later.
constexpr std::chrono::milliseconds kLongBodyTimeout{15'000};
// Used when the target announces no keep-alive time-out. Not reduced by
// kIdlePercent.
constexpr std::chrono::milliseconds kDefaultIdleTimeout{5'000};

std::chrono::milliseconds AnnouncedIdleTimeout(
    const net::HttpResponse& response) {
  const auto header = response.find(http::field::keep_alive);
  if (header == response.end()) {
    return kDefaultIdleTimeout;
  }
  const std::string text(header->value());
  for (absl::string_view part : absl::StrSplit(text, ',')) {
    part = absl::StripAsciiWhitespace(part);
    int seconds = 0;
    if (absl::StartsWithIgnoreCase(part, "timeout=") &&
        absl::SimpleAtoi(part.substr(8), &seconds)) {
      return std::chrono::milliseconds(seconds * 10LL * kIdlePercent);
    }
  }
  return kDefaultIdleTimeout;
}

std::vector<std::string> ValuesOf(const net::HttpResponse& response,
                                  absl::string_view name) {
  std::vector<std::string> values;
  if (name.empty()) {
    return values;
  }
  const auto [begin, end] =
      response.equal_range(boost::beast::string_view(name.data(), name.size()));
  for (auto it = begin; it != end; ++it) {
    values.emplace_back(it->value());
  }
  return values;
}

std::string ValueOf(const net::HttpResponse& response, absl::string_view name) {
  const std::vector<std::string> values = ValuesOf(response, name);
  return values.empty() ? "" : values.front();
}

// Distinguishes the end of the connection from bytes that are not HTTP or
// exceed the limits.
AttemptCause CauseOfReadError(const error_code& ec) {
  const bool is_http_error =
      ec.category() ==
      http::make_error_code(http::error::bad_method).category();
  return !is_http_error || ec == http::error::end_of_stream ||
                 ec == http::error::partial_message
             ? AttemptCause::kConnectionEnded
             : AttemptCause::kBadAnswer;
}

}  // namespace

absl::string_view ToString(AttemptCause cause) {
  switch (cause) {
    case AttemptCause::kNone:
      return "none";
    case AttemptCause::kConnectRefused:
      return "connect-refused";
    case AttemptCause::kConnectFailed:
      return "connect-failed";
    case AttemptCause::kConnectionRejected:
      return "connection-rejected";
    case AttemptCause::kConnectionEnded:
      return "connection-ended";
    case AttemptCause::kBadAnswer:
      return "bad-answer";
    case AttemptCause::kTargetReportedFailure:
      return "target-says-so";
    case AttemptCause::kTargetUnavailable:
      return "target-unavailable";
  }
  return "";
}

TargetConnection::TargetConnection(boost::asio::io_context& io,
                                   net::Tcp::endpoint target,
                                   const net::HeaderNames& names,
                                   std::shared_ptr<AnswerMemory> memory,
                                   TargetConnectionHooks hooks)
    : socket_(io),
      opening_timer_(io),
      target_(std::move(target)),
      names_(names),
      memory_(std::move(memory)),
      hooks_(std::move(hooks)),
      buffer_(net::kMaxUnparsedBytes) {}

TargetConnection::~TargetConnection() {
  ReleaseBytes();
}

void TargetConnection::Send(net::HttpRequest request,
                            TargetAnswerHandler handler) {
  request_ = std::move(request);
  handler_ = std::move(handler);
  sent_ = false;
  written_ = false;
  write_error_ = {};
  skipped_answers_ = 0;
  is_reused_ = socket_.is_open();
  if (is_reused_) {
    Write();
    return;
  }
  is_connecting_ = true;
  opening_timer_.expires_after(kConnectLimit);
  opening_timer_.async_wait([self = shared_from_this()](error_code ec) {
    if (!ec && self->is_connecting_) {
      error_code ignored;
      self->socket_.close(ignored);
    }
  });
  socket_.async_connect(target_, [self = shared_from_this()](error_code ec) {
    self->is_connecting_ = false;
    self->opening_timer_.cancel();
    if (!self->handler_) {
      return;
    }
    if (ec) {
      self->FinishWithoutAnswer(ec == boost::asio::error::connection_refused
                                    ? AttemptCause::kConnectRefused
                                    : AttemptCause::kConnectFailed);
      return;
    }
    net::SetConnectionOptions(self->socket_);
    self->AwaitRejection();
  });
}

void TargetConnection::AwaitRejection() {
  opening_timer_.expires_after(kRejectionWait);
  opening_timer_.async_wait([self = shared_from_this()](error_code ec) {
    if (!ec && self->socket_.is_open()) {
      self->socket_.cancel();
    }
  });
  socket_.async_wait(
      net::Tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
        self->opening_timer_.cancel();
        if (!self->handler_) {
          return;
        }
        if (ec == boost::asio::error::operation_aborted) {
          if (self->hooks_.may_send && !self->hooks_.may_send()) {
            self->FinishWithoutAnswer(AttemptCause::kTargetUnavailable);
          } else {
            self->Write();
          }
        } else {
          // Bytes that arrive before the request belong to no
          // request, so the connection is not used either.
          self->FinishWithoutAnswer(AttemptCause::kConnectionRejected);
        }
      });
}

// Starts to read the response together with the write, because a target may
// refuse a request before it has read all of it.
void TargetConnection::Write() {
  const auto timeout = request_.body().size() > kBufferedBodyBytes
                           ? kLongBodyTimeout
                           : net::kPeerTimeout;
  if (timeout != std::exchange(peer_timeout_, timeout)) {
    net::SetPeerTimeout(socket_, timeout);
  }
  sent_ = true;
  sent_at_ = std::chrono::steady_clock::now();
  http::async_write(socket_, request_,
                    [self = shared_from_this()](error_code ec, size_t) {
                      self->written_ = !ec;
                      self->write_error_ = ec;
                    });
  ReadAnswer();
}

void TargetConnection::ReadAnswer() {
  ReleaseBytes();
  is_head_reported_ = false;
  parser_.emplace();
  parser_->header_limit(kMaxHeadBytes);
  parser_->body_limit(kMaxBodyBytes);
  // A response to HEAD has no body, whatever its length field says.
  parser_->skip(request_.method() == http::verb::head);
  ReadSome();
}

// Reads in parts, so that the memory limit applies while the response grows. An
// error of the connection, also while writing, ends the read with an error.
void TargetConnection::ReadSome() {
  net::ReadSome(
      socket_, buffer_, *parser_, [self = shared_from_this()](error_code ec) {
        if (!self->handler_) {
          self->ReleaseBytes();
          return;
        }
        // A body beyond the limit is detected at the end of the head. What is
        // no response says nothing about its target.
        const bool has_head =
            self->parser_->is_header_done() || ec == http::error::body_limit;
        if (has_head && ec != http::error::bad_status) {
          self->ReportNotice();
        }
        if (ec) {
          self->FinishWithoutAnswer(CauseOfReadError(ec));
        } else if (!self->HasClearEnd() || !self->ReserveBytes()) {
          self->FinishWithoutAnswer(AttemptCause::kBadAnswer);
        } else if (!self->parser_->is_done()) {
          self->ReadSome();
        } else if (self->parser_->need_eof() && !self->IsEndOrderly()) {
          self->FinishWithoutAnswer(AttemptCause::kConnectionEnded);
        } else {
          self->OnAnswer();
        }
      });
}

// Returns false if the end of the stream that was read may be that of a broken
// connection. The kernel reports a reset or a time-out only once: if the write
// of the request gets the error, a read reports the end of the stream, as after
// an orderly end. The handler of the write runs first in this case. A write
// fails with broken_pipe only if the target had ended its direction before.
bool TargetConnection::IsEndOrderly() const {
  return !write_error_ || write_error_ == boost::asio::error::broken_pipe;
}

// Reports what a complete head says about the target, before the response is
// judged: also an unusable response shows that the target leaves or pauses.
void TargetConnection::ReportNotice() {
  if (is_head_reported_ || !hooks_.on_notice) {
    return;
  }
  is_head_reported_ = true;
  const net::HttpResponse& response = parser_->get();
  TargetNotice notice{.leaving = ValuesOf(response, names_.leaving),
                      .status = static_cast<int>(response.result_int())};
  if (response.result() == http::status::service_unavailable) {
    notice.retry_after = ValuesOf(response, "Retry-After");
  }
  if (notice.leaving.empty() && notice.retry_after.empty()) {
    return;
  }
  notice.date = ValueOf(response, "Date");
  notice.target_id = ValueOf(response, names_.target_id);
  notice.request_id = std::string(request_[names_.request_id]);
  hooks_.on_notice(notice);
}

// Returns false if the head of the response leaves its end in doubt.
bool TargetConnection::HasClearEnd() const {
  return !parser_->is_header_done() ||
         net::FramingOf(parser_->get(), parser_->get().version()) ==
             core::request::Framing::kClear;
}

// Counts the bytes of the response in `memory_`. Returns false when its limit
// is exceeded.
bool TargetConnection::ReserveBytes() {
  const size_t bytes = parser_->get().body().capacity();
  memory_->reserved += bytes - reserved_bytes_;
  reserved_bytes_ = bytes;
  return memory_->reserved <= memory_->limit;
}

void TargetConnection::ReleaseBytes() {
  memory_->reserved -= std::exchange(reserved_bytes_, 0);
}

void TargetConnection::OnAnswer() {
  const bool ends_with_connection = parser_->need_eof();
  net::HttpResponse response = parser_->release();
  // result() does not know each status: 103 would have no class.
  const bool interim = http::to_status_class(response.result_int()) ==
                       http::status_class::informational;
  const AnsweredRequest answered_request = AnsweredRequestOf(response);
  if (answered_request == AnsweredRequest::kAmbiguous && !interim) {
    FinishWithoutAnswer(AttemptCause::kBadAnswer);
    return;
  }
  if (interim || answered_request == AnsweredRequest::kOther) {
    if (++skipped_answers_ > kMaxSkippedAnswers || ends_with_connection) {
      FinishWithoutAnswer(AttemptCause::kBadAnswer);
      return;
    }
    ReadAnswer();
    return;
  }
  const bool keep = !ends_with_connection && response.keep_alive() &&
                    written_ && buffer_.size() == 0 &&
                    response.count(names_.request_id) > 0;
  idle_limit_ = AnnouncedIdleTimeout(response);
  Finish(ClassifyResponse(std::move(response)), keep);
}

// Determines which request a response answers. Without an id, only the first
// response of a connection certainly answers the first request: on a reused
// connection it may be a response to an earlier request that the target has
// sent again.
TargetConnection::AnsweredRequest TargetConnection::AnsweredRequestOf(
    const net::HttpResponse& response) const {
  const auto ids = response.equal_range(names_.request_id);
  if (ids.first == ids.second) {
    return is_reused_ || skipped_answers_ > 0 ? AnsweredRequest::kAmbiguous
                                              : AnsweredRequest::kThis;
  }
  bool has_own = false;
  bool has_other = false;
  for (auto it = ids.first; it != ids.second; ++it) {
    const bool is_own = it->value() == request_[names_.request_id];
    has_own = has_own || is_own;
    has_other = has_other || !is_own;
  }
  if (has_own && has_other) {
    return AnsweredRequest::kAmbiguous;
  }
  return has_own ? AnsweredRequest::kThis : AnsweredRequest::kOther;
}

// Classifies a complete response. Unless it states that the request did not
// run, it counts as the target's own only with the digest that targets add, and
// without a content encoding, which targets do not use.
TargetAnswer TargetConnection::ClassifyResponse(
    net::HttpResponse response) const {
  TargetAnswer answer;
  const int status = response.result_int();
  const bool has_digest = response.find(names_.answer_digest) != response.end();
  if (response.find(names_.not_executed) != response.end() || status == 421) {
    answer.end = AttemptEnd::kNotExecuted;
    answer.cause = AttemptCause::kTargetReportedFailure;
    answer.misdirected = status == 421;
    answer.shed = status == 503 || status == 429;
  } else if (!has_digest ||
             response.find(http::field::content_encoding) != response.end()) {
    answer.end = AttemptEnd::kBroken;
    answer.cause = AttemptCause::kBadAnswer;
  } else if (status >= 500) {
    answer.end = AttemptEnd::kFailedAnswer;
    answer.cause = AttemptCause::kTargetReportedFailure;
  } else {
    answer.end = AttemptEnd::kAnswered;
  }
  answer.response = std::move(response);
  return answer;
}

void TargetConnection::Finish(TargetAnswer answer, bool keep) {
  ReleaseBytes();
  TargetAnswerHandler handler = std::move(handler_);
  handler_ = nullptr;
  if (keep) {
    request_ = {};
    idle_since_ = std::chrono::steady_clock::now();
  } else {
    net::Reset(socket_);
  }
  handler(std::move(answer));
}

void TargetConnection::FinishWithoutAnswer(AttemptCause cause) {
  TargetAnswer answer;
  answer.cause = cause;
  answer.end = sent_ ? AttemptEnd::kBroken : AttemptEnd::kNotSent;
  const bool nothing_received = sent_ && skipped_answers_ == 0 &&
                                !parser_->got_some() && buffer_.size() == 0;
  answer.on_stale_connection = nothing_received && is_reused_;
  answer.rejected_connection =
      cause == AttemptCause::kConnectionRejected ||
      (nothing_received && !is_reused_ &&
       std::chrono::steady_clock::now() - sent_at_ <= kMaxRejectionTime);
  Finish(std::move(answer), false);
}

void TargetConnection::Abandon() {
  ReleaseBytes();
  handler_ = nullptr;
  net::Reset(socket_);
}

bool TargetConnection::IsUsable(std::chrono::milliseconds max_idle) {
  return socket_.is_open() &&
         std::chrono::steady_clock::now() - idle_since_ <
             std::min(idle_limit_, max_idle) &&
         !net::HasUnreadInput(socket_);
}

}  // namespace toucandock::entry
