#include "http/blocking_stream.h"

#include <poll.h>
#include <sys/socket.h>

#include <boost/asio/error.hpp>
#include <cerrno>

namespace toucandock::http {
namespace {

using boost::system::error_code;

error_code LastError() {
  return {errno, boost::system::system_category()};
}

}  // namespace

bool BlockingStream::WaitFor(short events, error_code& ec) const {
  pollfd it = {.fd = fd_, .events = events};
  const int ready = poll(&it, 1, static_cast<int>(wait_limit_.count()));
  if (ready == 0) {
    ec = boost::asio::error::timed_out;
  } else if (ready < 0 && errno != EINTR) {
    ec = LastError();
  }
  return !ec;
}

size_t BlockingStream::Receive(boost::asio::mutable_buffer buf,
                               error_code& ec) const {
  ec = {};
  while (WaitFor(POLLIN, ec)) {
    const ssize_t n = recv(fd_, buf.data(), buf.size(), MSG_DONTWAIT);
    if (n > 0) {
      return static_cast<size_t>(n);
    }
    if (n == 0) {
      ec = boost::asio::error::eof;
      return 0;
    }
    if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
      ec = LastError();
      return 0;
    }
  }
  return 0;
}

size_t BlockingStream::SendAll(boost::asio::const_buffer buf,
                               bool has_more,
                               error_code& ec) const {
  ec = {};
  // The head and the body of a message are sent in one packet when they fit.
  const int flags =
      MSG_NOSIGNAL | MSG_DONTWAIT | (has_more ? static_cast<int>(MSG_MORE) : 0);
  const auto* data = static_cast<const char*>(buf.data());
  size_t done = 0;
  while (done < buf.size() && WaitFor(POLLOUT, ec)) {
    const ssize_t n = send(fd_, data + done, buf.size() - done, flags);
    if (n >= 0) {
      done += static_cast<size_t>(n);
    } else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
      ec = LastError();
      break;
    }
  }
  return done;
}

}  // namespace toucandock::http
