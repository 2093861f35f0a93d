#include "entry/caller_connection.h"

#include <boost/beast/http/write.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "entry/contained_exception.h"
#include "entry/event_log.h"
#include "net/message_framing.h"
#include "net/message_reader.h"

namespace toucandock::entry {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;
using core::ErrorKind;

// Maximum number of requests of one connection that may be in flight.
constexpr size_t kMaxPending = 16;
// Callers may reuse an idle connection up to the configured limit. It is closed
// this much later, so that the close does not coincide with their last request.
constexpr std::chrono::milliseconds kIdleMargin{1'000};
// Time for the caller to end a connection whose last response it has
// acknowledged. Until then, what it still sends is discarded: closing a
// connection with unread bytes would reset it.
constexpr std::chrono::milliseconds kCloseLinger{1'000};
// A caller that goes on sending loses its connection after this many bytes.
constexpr size_t kMaxDiscardedBytes = 1U << 20;
constexpr size_t kDiscardBytes = 4'096;

}  // namespace

CallerConnection::CallerConnection(boost::asio::io_context& io,
                                   Dispatcher& dispatcher,
                                   const net::HeaderNames& names,
                                   const AnswerDelivery& delivery)
    : socket(io), dispatcher_(dispatcher), names_(names), delivery_(delivery) {}

void CallerConnection::Start() {
  net::SetConnectionOptions(socket);
  Read();
}

core::routing::CallerLimits CallerConnection::Limits() const {
  const auto& routes = dispatcher_.view().routes;
  return routes ? routes->config().limits : core::routing::CallerLimits{};
}

// Returns the address without the port, which differs for each connection of a
// caller.
std::string CallerConnection::CallerAddress() const {
  error_code ec;
  const net::Tcp::endpoint endpoint = socket.remote_endpoint(ec);
  return ec ? "" : endpoint.address().to_string();
}

void CallerConnection::Read() {
  if (is_reading_ || closing_ || !socket.is_open()) {
    return;
  }
  if (pending_.size() >= kMaxPending) {
    WatchForDisconnect();
    return;
  }
  is_reading_ = true;
  const core::routing::CallerLimits limits = Limits();
  parser_.emplace();
  parser_->header_limit(limits.header_bytes);
  parser_->body_limit(limits.body_bytes);
  buffer_.max_size(limits.header_bytes + net::kMaxUnparsedBytes);
  last_active_at_ = Clock::now();
  request_began_at_ = {};
  net::ReadMessage(
      socket, buffer_, *parser_, [self = shared_from_this()](error_code ec) {
        self->is_reading_ = false;
        if (self->is_end_announced_) {
          // Ignored: the end of the connection was announced, so
          // the caller sends the request again on another one.
          self->is_input_ended_ = ec == http::error::end_of_stream ||
                                  ec == http::error::partial_message;
          if (self->is_lingering_) {
            self->DiscardInput();
          }
          return;
        }
        if (ec) {
          self->OnReadError(ec);
          return;
        }
        // A request that was rejected as too slow must not run.
        if (!self->is_rejected_) {
          self->ContainRequest();
        }
      });
}

// Called at short intervals for each connection, which costs less than a timer
// for each request.
void CallerConnection::CheckLimits(Clock::time_point now) {
  if (!socket.is_open()) {
    return;
  }
  UpdatePeerTimeout();
  if (is_lingering_) {
    CheckLinger(now);
    return;
  }
  // Covers a disconnect behind requests that are not read yet.
  if (!is_reading_ && !pending_.empty() && !is_end_announced_ &&
      socket.is_open() && net::HasPeerClosed(socket)) {
    OnCallerDisconnected();
    return;
  }
  if (!is_reading_ || closing_) {
    return;
  }
  const core::routing::CallerLimits limits = Limits();
  const core::Duration max_idle = limits.idle_timeout + kIdleMargin;
  if (!parser_->got_some()) {
    CloseIfIdle(max_idle);
    return;
  }
  if (request_began_at_ == Clock::time_point{}) {
    request_began_at_ = now;
    return;
  }
  const core::Duration limit =
      parser_->is_header_done() ? max_idle : limits.header_timeout;
  if (now - request_began_at_ >= limit) {
    LogEvent("caller_too_slow", {{"headers_read", parser_->is_header_done()}});
    Reject(ErrorKind::kRequestTooSlow);
  }
}

void CallerConnection::OnReadError(const error_code& ec) {
  const bool is_http_error =
      ec.category() ==
      http::make_error_code(http::error::bad_method).category();
  if (!is_http_error || ec == http::error::end_of_stream ||
      ec == http::error::partial_message) {
    OnCallerDisconnected();
  } else if (!is_rejected_) {
    RejectUnreadable(ec == http::error::body_limit ? ErrorKind::kRequestTooLarge
                     : ec == http::error::header_limit
                         ? ErrorKind::kHeadersTooLarge
                         : ErrorKind::kMalformedRequest,
                     ec.message());
  }
}

void CallerConnection::RejectUnreadable(ErrorKind error,
                                        const std::string& cause) {
  LogEvent("request_rejected", {{"error", core::ToString(error)},
                                {"cause", cause},
                                {"caller", CallerAddress()}});
  Reject(error);
}

// Answers the request that is being read with an error and closes the
// connection, because the begin of the next request is not certain.
void CallerConnection::Reject(ErrorKind error) {
  dispatcher_.metrics().CountRejected(error);
  closing_ = true;
  is_rejected_ = true;
  auto pending = std::make_shared<Pending>();
  pending->keep_alive = false;
  pending->response = ToResponse("", {.error = error});
  pending_.push_back(std::move(pending));
  WriteNext();
}

// Starts the request. An exception on the way costs this request and its
// connection, and nothing of other callers.
void CallerConnection::ContainRequest() {
  const size_t earlier = pending_.size();
  if (Contain("caller_request", [this] { OnRequest(); })) {
    return;
  }
  if (pending_.size() <= earlier) {
    RejectUnreadable(ErrorKind::kMalformedRequest, "exception");
    return;
  }
  const std::shared_ptr<Pending> pending = pending_.back();
  closing_ = true;
  pending->keep_alive = false;
  pending->response =
      ToResponse(pending->request_id, {.error = ErrorKind::kInternal});
  WriteNext();
}

void CallerConnection::OnRequest() {
  net::HttpRequest request = parser_->release();
  switch (net::FramingOf(request, request.version())) {
    case core::request::Framing::kClear:
      break;
    case core::request::Framing::kUnsupportedCoding:
      RejectUnreadable(ErrorKind::kUnsupportedCoding, "transfer coding");
      return;
    case core::request::Framing::kAmbiguous:
      RejectUnreadable(ErrorKind::kMalformedRequest, "ambiguous body length");
      return;
  }
  // A client must not send content with TRACE (RFC 9110, section 9.3.8), and
  // the HTTP library cannot write such a request.
  if (request.method() == http::verb::trace && !request.body().empty()) {
    RejectUnreadable(ErrorKind::kMalformedRequest, "TRACE with content");
    return;
  }
  // A host that is overloaded or was suspended reads requests late, when their
  // callers may have given up.
  if (net::HasPeerClosed(socket)) {
    OnCallerDisconnected();
    return;
  }
  auto pending = std::make_shared<Pending>();
  pending->request_id = std::string(request[names_.request_id]);
  pending->keep_alive = request.keep_alive();
  pending->is_head = request.method() == http::verb::head;
  closing_ = !pending->keep_alive;
  pending_.push_back(pending);
  pending->exchange = dispatcher_.Start(
      std::move(request), CallerAddress(), std::chrono::steady_clock::now(),
      [self = shared_from_this(), pending](CallerAnswer answer) {
        self->OnAnswer(pending, std::move(answer));
      });
  if (closing_) {
    WatchForDisconnect();
  } else {
    Read();
  }
}

// Notices a disconnect of the caller while no further request is read: after
// the last one, or while too many are in flight.
void CallerConnection::WatchForDisconnect() {
  socket.async_wait(
      net::Tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
        if (ec || self->is_end_announced_ || !self->socket.is_open()) {
          return;
        }
        if (net::IsAtEnd(self->socket)) {
          self->OnCallerDisconnected();
        }
      });
}

void CallerConnection::OnAnswer(const std::shared_ptr<Pending>& pending,
                                CallerAnswer answer) {
  pending->response = ToResponse(pending->request_id, std::move(answer));
  pending->hold = HoldAnswer(pending->response->body().size());
  WriteNext();
}

net::HttpResponse CallerConnection::ToResponse(const std::string& request_id,
                                               CallerAnswer answer) const {
  if (answer.response) {
    net::HttpResponse response = std::move(*answer.response);
    for (const http::field field :
         {http::field::connection, http::field::keep_alive,
          http::field::transfer_encoding, http::field::upgrade}) {
      response.erase(field);
    }
    return response;
  }
  const core::ErrorAnswer& row = core::AnswerFor(answer.error);
  net::HttpResponse response;
  response.result(static_cast<unsigned>(row.http_status));
  if (!request_id.empty()) {
    response.set(names_.request_id, request_id);
  }
  if (answer.retry_after > core::Duration{}) {
    response.set(
        http::field::retry_after,
        absl::StrFormat(
            "%.3f", std::chrono::duration<double>(answer.retry_after).count()));
  }
  response.set(http::field::content_type, "application/problem+json");
  response.body() = absl::StrCat("{\"kind\":\"", row.name, "\",\"outcome\":\"",
                                 core::ToString(row.outcome), "\",\"title\":\"",
                                 row.title, "\"}");
  return response;
}

void CallerConnection::WriteNext() {
  if (is_writing_ || pending_.empty() || !pending_.front()->response ||
      !socket.is_open()) {
    return;
  }
  is_writing_ = true;
  const std::shared_ptr<Pending> pending = pending_.front();
  pending_.pop_front();
  current_response_ = std::move(*pending->response);
  current_hold_ = std::move(pending->hold);
  // While further requests are pending, a later response announces the end of
  // the connection instead.
  bool keep_alive = pending->keep_alive;
  if (stopping_ && pending_.empty()) {
    keep_alive = false;
    closing_ = true;
  }
  is_end_announced_ = !keep_alive;
  current_response_.version(11);
  current_response_.keep_alive(keep_alive);
  if (pending->is_head) {
    // The length is that of the body which a GET would have returned.
    current_response_.body().clear();
  } else if (!Contain("caller_answer",
                      [this] { current_response_.prepare_payload(); })) {
    // The head of this answer cannot be written, so its caller gets none.
    is_writing_ = false;
    OnCallerDisconnected();
    return;
  }
  http::async_write(
      socket, current_response_,
      [self = shared_from_this(), keep_alive](error_code ec, size_t) {
        self->is_writing_ = false;
        if (ec) {
          self->OnWriteError(ec);
          return;
        }
        self->OnWritten(keep_alive);
      });
}

void CallerConnection::OnWritten(bool keep_alive) {
  last_active_at_ = Clock::now();
  current_response_ = {};
  current_hold_ = nullptr;
  may_have_unsent_ = true;
  if (!keep_alive) {
    CloseGracefully();
    return;
  }
  WriteNext();
  Read();
}

// Cancels the pending requests of a caller that has disconnected. Nothing more
// is written.
void CallerConnection::OnCallerDisconnected() {
  closing_ = true;
  net::Reset(socket);
  current_hold_ = nullptr;
  for (const std::shared_ptr<Pending>& it : pending_) {
    if (it->exchange) {
      dispatcher_.Cancel(it->exchange);
    }
  }
  pending_.clear();
}

void CallerConnection::OnWriteError(const error_code& ec) {
  if (ec == boost::asio::error::timed_out) {
    LogEvent("answer_undelivered",
             {{"cause", "read-limit"}, {"caller", CallerAddress()}});
    dispatcher_.metrics().CountUndelivered("read-limit");
  }
  OnCallerDisconnected();
}

core::request::HeldAnswers::Hold CallerConnection::HoldAnswer(size_t bytes) {
  return delivery_.held->Add(bytes, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->GiveUpAnswer();
    }
  });
}

// Called when too many answers are held and this connection has held one for
// longest.
void CallerConnection::GiveUpAnswer() {
  if (!socket.is_open()) {
    return;
  }
  if (is_lingering_ && net::UnsentBytes(socket) == 0U) {
    // The caller has its answer and only has not ended the connection yet.
    Close();
    return;
  }
  LogEvent("answer_undelivered",
           {{"cause", "held-limit"}, {"caller", CallerAddress()}});
  dispatcher_.metrics().CountUndelivered("held-limit");
  OnCallerDisconnected();
}

// Gives a caller that is being sent an answer more time to make room for it
// than the kernel gives to a peer that may have disappeared. Looked at here
// rather than for each answer, since most are received at once.
void CallerConnection::UpdatePeerTimeout() {
  const bool is_sending =
      is_writing_ || is_lingering_ ||
      (may_have_unsent_ && net::UnsentBytes(socket).value_or(0) > 0);
  may_have_unsent_ = is_sending;
  if (is_sending && !is_lingering_) {
    last_active_at_ = Clock::now();
  }
  const auto wanted =
      is_sending ? std::chrono::duration_cast<std::chrono::milliseconds>(
                       delivery_.read_limit)
                 : net::kPeerTimeout;
  if (wanted != peer_timeout_) {
    peer_timeout_ = wanted;
    net::SetPeerTimeout(socket, wanted);
  }
}

bool CallerConnection::HasWork() {
  if (!socket.is_open()) {
    return false;
  }
  if (is_lingering_) {
    return !acknowledged_at_ && net::UnsentBytes(socket).value_or(1) > 0;
  }
  if (is_writing_ || net::UnsentBytes(socket).value_or(0) > 0) {
    return true;
  }
  return !is_end_announced_ &&
         (!pending_.empty() || (is_reading_ && parser_->got_some()) ||
          net::HasUnreadInput(socket));
}

void CallerConnection::CloseIfIdle(core::Duration min_idle) {
  if (!socket.is_open() || is_end_announced_ ||
      Clock::now() - last_active_at_ < min_idle || HasWork()) {
    return;
  }
  Close();
}

void CallerConnection::Close() {
  closing_ = true;
  current_hold_ = nullptr;
  error_code ec;
  socket.close(ec);
}

// Ends the connection after its last response. The caller may take its time to
// read it: a reset would discard what it has not read.
void CallerConnection::CloseGracefully() {
  is_lingering_ = true;
  // No bytes are held any more, but a connection is.
  current_hold_ = HoldAnswer(0);
  if (!socket.is_open()) {
    return;
  }
  UpdatePeerTimeout();
  error_code ec;
  socket.shutdown(net::Tcp::socket::shutdown_send, ec);
  if (!is_reading_) {
    DiscardInput();
  }
}

// Reads until the caller ends the connection.
void CallerConnection::DiscardInput() {
  if (!socket.is_open() || is_input_ended_) {
    CheckLinger(Clock::now());
    return;
  }
  buffer_.clear();
  socket.async_read_some(buffer_.prepare(kDiscardBytes),
                         [self = shared_from_this()](error_code ec, size_t n) {
                           if (!self->socket.is_open()) {
                             return;
                           }
                           self->discarded_bytes_ += n;
                           if ((ec && ec != boost::asio::error::eof) ||
                               self->discarded_bytes_ > kMaxDiscardedBytes) {
                             self->OnWriteError(ec);
                             return;
                           }
                           self->is_input_ended_ = !!ec;
                           self->DiscardInput();
                         });
}

// Closes the connection when the caller has received its last response and has
// ended the connection, or does not do so. Where the kernel does not tell what
// was received, the read limit applies.
void CallerConnection::CheckLinger(Clock::time_point now) {
  if (!socket.is_open()) {
    return;
  }
  const std::optional<size_t> unsent = net::UnsentBytes(socket);
  if (unsent == 0U && !acknowledged_at_) {
    acknowledged_at_ = now;
  }
  const bool is_received = acknowledged_at_ || (!unsent && is_input_ended_);
  if ((is_received && is_input_ended_) ||
      (acknowledged_at_ && now - *acknowledged_at_ >= kCloseLinger) ||
      (!unsent && now - last_active_at_ >= delivery_.read_limit)) {
    Close();
  }
}

}  // namespace toucandock::entry
