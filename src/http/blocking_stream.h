#ifndef TOUCANDOCK_HTTP_BLOCKING_STREAM_H_
#define TOUCANDOCK_HTTP_BLOCKING_STREAM_H_

// Boost 1.74 uses std::exchange without including it.
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/system/system_error.hpp>
#include <chrono>
#include <cstddef>

namespace toucandock::http {

// A connected socket with the interface that Beast's synchronous functions need
// and with a time limit for each wait. Does not own the socket.
class BlockingStream {
 public:
  BlockingStream(int fd, std::chrono::milliseconds wait_limit)
      : fd_(fd), wait_limit_(wait_limit) {}

  template <class MutableBufferSequence>
  size_t read_some(const MutableBufferSequence& buffers,
                   boost::system::error_code& ec) {
    const boost::asio::mutable_buffer first =
        *boost::asio::buffer_sequence_begin(buffers);
    return Receive(first, ec);
  }

  template <class MutableBufferSequence>
  size_t read_some(const MutableBufferSequence& buffers) {
    boost::system::error_code ec;
    const size_t n = read_some(buffers, ec);
    return ThrowOnError(n, ec);
  }

  template <class ConstBufferSequence>
  size_t write_some(const ConstBufferSequence& buffers,
                    boost::system::error_code& ec) {
    size_t done = 0;
    const auto end = boost::asio::buffer_sequence_end(buffers);
    for (auto it = boost::asio::buffer_sequence_begin(buffers); it != end;) {
      const boost::asio::const_buffer buf = *it;
      const bool has_more = ++it != end;
      done += SendAll(buf, has_more, ec);
      if (ec) {
        break;
      }
    }
    return done;
  }

  template <class ConstBufferSequence>
  size_t write_some(const ConstBufferSequence& buffers) {
    boost::system::error_code ec;
    const size_t n = write_some(buffers, ec);
    return ThrowOnError(n, ec);
  }

 private:
  static size_t ThrowOnError(size_t n, const boost::system::error_code& ec) {
    if (ec) {
      throw boost::system::system_error(ec);
    }
    return n;
  }

  bool WaitFor(short events, boost::system::error_code& ec) const;
  size_t Receive(boost::asio::mutable_buffer buf,
                 boost::system::error_code& ec) const;
  size_t SendAll(boost::asio::const_buffer buf,
                 bool has_more,
                 boost::system::error_code& ec) const;

  const int fd_;
  const std::chrono::milliseconds wait_limit_;
};

}  // namespace toucandock::http

#endif  // TOUCANDOCK_HTTP_BLOCKING_STREAM_H_
