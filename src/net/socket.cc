#include "net/socket.h"

#include <linux/filter.h>
#include <netinet/tcp.h>
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
  // Fails only on a socket that is closed already; its next use reports that.
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

// Drops segments that ask for a new connection and lets all others pass, so
// that handshakes under way end and can still be accepted before the close.
// Callers whose request was dropped ask again after a second and are refused.
void DropNewConnections(Tcp::acceptor& acceptor) {
  // The kernel applies the filter to the segment from its TCP header on.
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
  // Where the kernel refuses filters, connections made at the close are reset.
  setsockopt(acceptor.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &filter,
             sizeof(filter));
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
