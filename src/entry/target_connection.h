#ifndef TOUCANDOCK_ENTRY_TARGET_CONNECTION_H_
#define TOUCANDOCK_ENTRY_TARGET_CONNECTION_H_

#include "net/http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "core/request/attempt_rules.h"
#include "net/header_names.h"

namespace toucandock::entry {

// Why an attempt has no usable answer.
enum class AttemptCause {
  kNone,
  // No process listens at the target's address.
  kConnectRefused,
  kConnectFailed,
  // The target ended the new connection before the request was sent. Targets do
  // this when they have reached their maximum number of connections.
  kConnectionRejected,
  // The connection was closed or reset before the end of the response.
  kConnectionEnded,
  // The received bytes are not the target's complete response to this request.
  kBadAnswer,
  // The complete response states that the target failed or refused the request.
  kTargetReportedFailure,
  // While the connection was being established, the target declared that it
  // leaves or wants no requests for some time, so nothing was sent.
  kTargetUnavailable,
};

absl::string_view ToString(AttemptCause cause);

// Result of one request to a target.
struct TargetAnswer {
  core::request::AttemptEnd end = core::request::AttemptEnd::kBroken;
  AttemptCause cause = AttemptCause::kNone;
  // Complete, unless `end` is kNotSent or kBroken.
  net::HttpResponse response;
  // The target responded that the request was meant for another target, or that
  // it does not own the key.
  bool misdirected = false;
  // The target refused the request because it is overloaded.
  bool shed = false;
  // With kBroken: the connection had carried an earlier request and ended
  // before any byte of this response arrived.
  bool on_stale_connection = false;
  // With kBroken or kNotSent: a new connection ended at once. Targets end
  // connections this way when they have reached their maximum number of
  // connections.
  bool rejected_connection = false;
};

using TargetAnswerHandler = std::function<void(TargetAnswer)>;

// What the head of a response says about the availability of its target, as it
// was received.
struct TargetNotice {
  // Values of the header that says that the target leaves.
  std::vector<std::string> leaving;
  // Values of Retry-After, only with status 503.
  std::vector<std::string> retry_after;
  // Time of the response by the target's clock; empty if not given.
  std::string date;
  // Id of the target that created the response; empty if not given.
  std::string target_id;
  // Id of the request that was sent last on the connection.
  std::string request_id;
  int status = 0;
};

struct TargetConnectionHooks {
  // Asked before a request is written to a new connection, which may take
  // seconds to establish. If it returns false, nothing is sent.
  std::function<bool()> may_send;
  // Called as soon as the head of a response with such a header is complete,
  // whatever becomes of the response.
  std::function<void(const TargetNotice&)> on_notice;
};

// Memory used by incomplete responses, over all connections of a traffic
// thread.
struct AnswerMemory {
  size_t reserved = 0;
  // A quarter of the memory of the users' hosts. A response whose growth
  // exceeds the limit is aborted.
  size_t limit = 64 << 20;
};

// A connection to a target that carries one request at a time. It is reused
// only after a complete response to its own request with no further bytes after
// it.
class TargetConnection : public std::enable_shared_from_this<TargetConnection> {
 public:
  TargetConnection(boost::asio::io_context& io,
                   net::Tcp::endpoint target,
                   const net::HeaderNames& names,
                   std::shared_ptr<AnswerMemory> memory,
                   TargetConnectionHooks hooks = {});
  ~TargetConnection();

  void Send(net::HttpRequest request, TargetAnswerHandler handler);
  // Resets the connection. The handler is not called after this.
  void Abandon();
  bool IsUsable(std::chrono::milliseconds max_idle);

 private:
  // The request that a response answers: the current one, another one, or one
  // that cannot be determined.
  enum class AnsweredRequest { kThis, kOther, kAmbiguous };

  void AwaitRejection();
  void Write();
  void ReadAnswer();
  void ReadSome();
  void ReportNotice();
  bool HasClearEnd() const;
  bool IsEndOrderly() const;
  bool ReserveBytes();
  void ReleaseBytes();
  void OnAnswer();
  void Finish(TargetAnswer answer, bool keep);
  void FinishWithoutAnswer(AttemptCause cause);
  AnsweredRequest AnsweredRequestOf(const net::HttpResponse& response) const;
  TargetAnswer ClassifyResponse(net::HttpResponse response) const;

  net::Tcp::socket socket_;
  // Limits the time to connect, and then the wait for a rejection.
  boost::asio::steady_timer opening_timer_;
  bool is_connecting_ = false;
  const net::Tcp::endpoint target_;
  const net::HeaderNames& names_;
  const std::shared_ptr<AnswerMemory> memory_;
  const TargetConnectionHooks hooks_;
  // Bytes of the response that is being read; counted in `memory_`.
  size_t reserved_bytes_ = 0;
  boost::beast::flat_buffer buffer_;
  std::optional<
      boost::beast::http::response_parser<boost::beast::http::string_body>>
      parser_;
  net::HttpRequest request_;
  TargetAnswerHandler handler_;
  int skipped_answers_ = 0;
  bool sent_ = false;
  bool written_ = false;
  boost::system::error_code write_error_;
  // The head of the current response has been examined for a notice.
  bool is_head_reported_ = false;
  bool is_reused_ = false;
  std::chrono::milliseconds peer_timeout_ = net::kPeerTimeout;
  std::chrono::milliseconds idle_limit_{};
  std::chrono::steady_clock::time_point sent_at_{};
  std::chrono::steady_clock::time_point idle_since_{};
};

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_TARGET_CONNECTION_H_
