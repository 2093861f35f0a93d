#ifndef TOUCANDOCK_ENTRY_CALLER_CONNECTION_H_
#define TOUCANDOCK_ENTRY_CALLER_CONNECTION_H_

#include "net/http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/routing/route_table.h"
#include "entry/dispatcher.h"
#include "entry/exchange.h"

namespace toucandock::entry {

// A connection of a caller. Callers may send requests before earlier ones have
// been answered (pipelining); responses are written in the order of the
// requests. Reading continues while requests are in flight, so that a
// disconnect of the caller is noticed.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  using Clock = std::chrono::steady_clock;

  CallerConnection(boost::asio::io_context& io,
                   Dispatcher& dispatcher,
                   const net::HeaderNames& names);

  void Start();
  // Makes the next response announce the end of the connection.
  void BeginStop() { stopping_ = true; }
  // Closes the connection if it has been idle for at least this time.
  void CloseIfIdle(core::Duration min_idle);
  bool HasWork();
  // Closes the connection when the caller has been idle for too long, and
  // rejects a request that takes too long to arrive.
  void CheckLimits(Clock::time_point now);
  bool is_open() const { return socket.is_open(); }

  net::Tcp::socket socket;

 private:
  struct Pending {
    std::string request_id;
    std::shared_ptr<Exchange> exchange;
    std::optional<net::HttpResponse> response;
    bool keep_alive = true;
    bool is_head = false;
  };

  void Read();
  void ContainRequest();
  void OnRequest();
  void OnReadError(const boost::system::error_code& ec);
  void OnAnswer(const std::shared_ptr<Pending>& pending, CallerAnswer answer);
  void Reject(core::ErrorKind error);
  void RejectUnreadable(core::ErrorKind error, const std::string& cause);
  net::HttpResponse ToResponse(const std::string& request_id,
                               CallerAnswer answer) const;
  void WriteNext();
  void OnWritten(bool keep_alive);
  void WatchForDisconnect();
  void OnCallerDisconnected();
  void CloseGracefully();
  core::routing::CallerLimits Limits() const;
  std::string CallerAddress() const;

  Dispatcher& dispatcher_;
  const net::HeaderNames& names_;
  boost::asio::steady_timer linger_timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<
      boost::beast::http::request_parser<boost::beast::http::string_body>>
      parser_;
  std::deque<std::shared_ptr<Pending>> pending_;
  net::HttpResponse current_response_;
  // Time of the last start of a read or end of a response.
  Clock::time_point last_active_at_{};
  // Time at which the first bytes of the request that is being read were
  // noticed.
  Clock::time_point request_began_at_{};
  bool is_writing_ = false;
  bool is_reading_ = false;
  bool stopping_ = false;
  // No more requests are accepted.
  bool closing_ = false;
  // The request that is being read was rejected.
  bool is_rejected_ = false;
  // A response has announced the end of the connection.
  bool is_end_announced_ = false;
};

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_CALLER_CONNECTION_H_
