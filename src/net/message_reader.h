#ifndef TOUCANDOCK_NET_MESSAGE_READER_H_
#define TOUCANDOCK_NET_MESSAGE_READER_H_

#include "net/socket.h"

#include <algorithm>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <exception>
#include <utility>

#include "net/message_framing.h"
#include "util/http_status.h"

namespace toucandock::net {

template <bool kIsRequest>
using MessageParser =
    boost::beast::http::parser<kIsRequest, boost::beast::http::string_body>;

// Maximum number of bytes that one read takes from the kernel.
inline constexpr size_t kMaxReadBytes = 64U << 10;

// Parses buffered bytes. The parser throws for some messages, such as one with
// a field of 64 KiB or more in its trailers, and accepts each status of three
// digits and folded lines; such messages count as malformed, but for folded
// lines of requests.
template <bool kIsRequest>
boost::system::error_code ParseBuffered(boost::beast::flat_buffer& buffer,
                                        MessageParser<kIsRequest>& parser) {
  boost::system::error_code ec;
  if constexpr (!kIsRequest) {
    if (!parser.is_header_done() && HasFoldedLine(buffer.data())) {
      return boost::beast::http::error::bad_field;
    }
  }
  try {
    buffer.consume(parser.put(buffer.data(), ec));
  } catch (const std::exception&) {
    ec = boost::beast::http::error::bad_field;
  }
  if constexpr (!kIsRequest) {
    if (parser.is_header_done() &&
        !util::IsStatusCode(parser.get().result_int())) {
      ec = boost::beast::http::error::bad_status;
    }
  }
  return ec;
}

// Parses what a read has returned.
template <bool kIsRequest>
boost::system::error_code ParseRead(boost::system::error_code ec,
                                    boost::beast::flat_buffer& buffer,
                                    MessageParser<kIsRequest>& parser) {
  namespace http = boost::beast::http;
  if (ec == boost::asio::error::eof) {
    if (!parser.got_some()) {
      return http::error::end_of_stream;
    }
    ec = {};
    parser.put_eof(ec);
    return ec;
  }
  return ec ? ec : ParseBuffered(buffer, parser);
}

// Reads and parses a part of a message, as http::async_read_some does, but
// reports exceptions of the parser as errors of this message. Thrown within an
// operation of the library, they would leave io_context::run(). Calls the
// handler on the thread of the I/O context, never before this function returns.
// Does not throw.
template <bool kIsRequest, typename Handler>
void ReadSome(Tcp::socket& socket,
              boost::beast::flat_buffer& buffer,
              MessageParser<kIsRequest>& parser,
              Handler handler) {
  namespace http = boost::beast::http;
  boost::system::error_code ec = http::error::need_more;
  if (buffer.size() > 0) {
    ec = ParseBuffered(buffer, parser);
  }
  size_t n = 0;
  boost::asio::mutable_buffer space;
  if (ec == http::error::need_more) {
    n = boost::beast::read_size(buffer, kMaxReadBytes);
    try {
      space = buffer.prepare(n);
    } catch (const std::exception&) {
      n = 0;
    }
    if (n == 0) {
      ec = http::error::buffer_overflow;
    }
  }
  if (ec != http::error::need_more) {
    boost::asio::post(socket.get_executor(), [handler = std::move(handler),
                                              ec]() mutable { handler(ec); });
    return;
  }
  socket.async_read_some(
      space, [&buffer, &parser, handler = std::move(handler)](
                 boost::system::error_code read_ec, size_t bytes) mutable {
        buffer.commit(bytes);
        read_ec = ParseRead(read_ec, buffer, parser);
        if (read_ec == http::error::need_more) {
          read_ec = {};
        }
        handler(read_ec);
      });
}

// The same until the message is complete. `handler` owns what the references
// refer to.
template <bool kIsRequest, typename Handler>
void ReadMessage(Tcp::socket& socket,
                 boost::beast::flat_buffer& buffer,
                 MessageParser<kIsRequest>& parser,
                 Handler handler) {
  parser.eager(true);
  ReadSome(socket, buffer, parser,
           [&socket, &buffer, &parser, handler = std::move(handler)](
               boost::system::error_code ec) mutable {
             if (ec || parser.is_done()) {
               handler(ec);
             } else {
               ReadMessage(socket, buffer, parser, std::move(handler));
             }
           });
}

}  // namespace toucandock::net

#endif  // TOUCANDOCK_NET_MESSAGE_READER_H_
