#include "net/socket.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/ip/address_v4.hpp>
#include <boost/system/error_code.hpp>
#include <cerrno>

#include "absl/strings/numbers.h"

namespace toucandock::net {
namespace {

constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;

void SetOption(int fd, int level, int option, int value) {
  // Fails only on a socket that is closed already; its next use reports that.
  setsockopt(fd, level, option, &value, sizeof(value));
}

}  // namespace

// Parses "IP:PORT".
absl::StatusOr<Tcp::endpoint> ParseEndpoint(const std::string& address) {
  const size_t colon = address.rfind(':');
  std::uint32_t port = 0;
  if (colon == std::string::npos ||
      !absl::SimpleAtoi(address.substr(colon + 1), &port) || port > 65'535) {
    return absl::InvalidArgumentError("'" + address + "' is not IP:PORT");
  }
  boost::system::error_code ec;
  const auto ip =
      boost::asio::ip::make_address_v4(address.substr(0, colon), ec);
  if (ec) {
    return absl::InvalidArgumentError("'" + address + "' is not IP:PORT");
  }
  return Tcp::endpoint(ip, static_cast<unsigned short>(port));
}

void SetConnectionOptions(Tcp::socket& socket) {
  SetConnectionOptions(socket.native_handle());
}

void SetConnectionOptions(int fd) {
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  SetOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(kSilenceLimit.count()));
}

// Closes with a reset, so that bytes still under way are dropped.
void Reset(Tcp::socket& socket) {
  boost::system::error_code ec;
  socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
  socket.close(ec);
}

// True when bytes or the end of the connection have arrived.
bool HasUnreadInput(Tcp::socket& socket) {
  char byte = 0;
  const ssize_t n =
      recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

// True when the peer has ended the connection and no bytes are unread.
bool IsAtEnd(Tcp::socket& socket) {
  char byte = 0;
  const ssize_t n =
      recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

}  // namespace toucandock::net
