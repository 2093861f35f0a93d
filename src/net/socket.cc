#include "net/socket.h"

#include <linux/filter.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/system/error_code.hpp>
#include <cerrno>
#include <cstdint>
#include <iterator>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"

namespace toucandock::net {
namespace {

constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;

void SetOption(int fd, int level, int option, int value) {
  // Fails only on a socket that is already closed, which its next use reports.
  setsockopt(fd, level, option, &value, sizeof(value));
}

}  // namespace

// Parses "IP:PORT".
absl::StatusOr<Tcp::endpoint> ParseEndpoint(const std::string& address) {
  const size_t colon = address.rfind(':');
  std::uint32_t port = 0;
  // The number parser would skip spaces.
  const std::string digits =
      colon == std::string::npos ? "" : address.substr(colon + 1);
  if (!std::all_of(digits.begin(), digits.end(), absl::ascii_isdigit) ||
      !absl::SimpleAtoi(digits, &port) || port > 65'535) {
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
            static_cast<int>(kPeerTimeout.count()));
}

void SetPeerTimeout(Tcp::socket& socket, std::chrono::milliseconds timeout) {
  SetOption(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(timeout.count()));
}

std::optional<size_t> UnsentBytes(Tcp::socket& socket) {
  int n = 0;
  if (ioctl(socket.native_handle(), SIOCOUTQ, &n) != 0 || n < 0) {
    return std::nullopt;
  }
  return static_cast<size_t>(n);
}

// Attaches a socket filter that drops SYN segments and passes all others, so
// that handshakes in progress complete and their connections can be accepted
// before the listening socket is closed. Callers whose SYN was dropped send it
// again after a second and are refused then.
void DropNewConnections(Tcp::acceptor& acceptor) {
  // The kernel passes the segment to the filter from its TCP header on.
  constexpr std::uint32_t kFlagsOffset = 13;
  constexpr std::uint32_t kSyn = 0x02;
  constexpr std::uint32_t kAck = 0x10;
  constexpr std::uint32_t kWholeSegment = 0xffffffff;
  sock_filter program[] = {
      BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kFlagsOffset),
      BPF_STMT(BPF_ALU | BPF_AND | BPF_K, kSyn | kAck),
      BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, kSyn, 0, 1),
      BPF_STMT(BPF_RET | BPF_K, 0),
      BPF_STMT(BPF_RET | BPF_K, kWholeSegment),
  };
  const sock_fprog filter = {.len = std::size(program), .filter = program};
  // The result is ignored: if the kernel refuses the filter, connections that
  // are established during the close are reset.
  setsockopt(acceptor.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &filter,
             sizeof(filter));
}

// Closes the connection with a reset, so that bytes in flight are discarded.
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

bool HasPeerClosed(Tcp::socket& socket) {
  pollfd it = {.fd = socket.native_handle(), .events = POLLRDHUP};
  return poll(&it, 1, 0) == 1 &&
         (it.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

}  // namespace toucandock::net
