#ifndef TOUCANDOCK_ENTRY_TARGET_CONNECTION_H_
#define TOUCANDOCK_ENTRY_TARGET_CONNECTION_H_

#include "net/http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

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
  // The connection was closed or reset before the end of the answer.
  kConnectionEnded,
  // What came is not the whole answer of the target to this request.
  kBadAnswer,
  // The whole answer says that the target failed or refused.
  kTargetReportedFailure,
};

absl::string_view ToString(AttemptCause cause);

// What came of one request to a target.
struct TargetAnswer {
  core::request::AttemptEnd end = core::request::AttemptEnd::kBroken;
  AttemptCause cause = AttemptCause::kNone;
  // Whole, except for kNotSent and kBroken.
  net::HttpResponse response;
  // The target says that it is not the one that was meant, or does not own the
  // key.
  bool misdirected = false;
  // The target has no room.
  bool shed = false;
  // With kBroken: the connection had carried an earlier request, and ended
  // before anything of the answer arrived.
  bool on_stale_connection = false;
  // With kBroken: a new connection ended at once, as targets do beyond the
  // number of connections that they take.
  bool rejected_connection = false;
};

using TargetAnswerHandler = std::function<void(TargetAnswer)>;

// Bytes of answers that are read and not whole yet, of all connections of a
// traffic thread.
struct AnswerMemory {
  size_t reserved = 0;
  // A quarter of the memory of the users' hosts. Beyond it, the answer that
  // grows is given up.
  size_t limit = 64 << 20;
};

// One connection to a target; one request at a time. It may be used again only
// after a whole answer to its own request with nothing behind it.
class TargetConnection : public std::enable_shared_from_this<TargetConnection> {
 public:
  TargetConnection(boost::asio::io_context& io,
                   net::Tcp::endpoint target,
                   const net::HeaderNames& names,
                   std::shared_ptr<AnswerMemory> memory);
  ~TargetConnection();

  void Send(net::HttpRequest request, TargetAnswerHandler handler);
  // Resets the connection; the handler is not called any more.
  void Abandon();
  bool IsUsable(std::chrono::milliseconds max_idle);

 private:
  enum class AnsweredRequest { kThis, kOther, kAmbiguous };

  void Write();
  void ReadAnswer();
  void ReadSome();
  bool ReserveBytes();
  void ReleaseBytes();
  void OnAnswer();
  void Finish(TargetAnswer answer, bool keep);
  void FinishWithoutAnswer(AttemptCause cause);
  AnsweredRequest AnsweredRequestOf(const net::HttpResponse& response) const;
  TargetAnswer ClassifyResponse(net::HttpResponse response) const;

  net::Tcp::socket socket_;
  const net::Tcp::endpoint target_;
  const net::HeaderNames& names_;
  const std::shared_ptr<AnswerMemory> memory_;
  // Of the answer that is being read, counted in `memory_`.
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
  bool is_reused_ = false;
  std::chrono::milliseconds idle_limit_{};
  std::chrono::steady_clock::time_point sent_at_{};
  std::chrono::steady_clock::time_point idle_since_{};
};

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_TARGET_CONNECTION_H_
