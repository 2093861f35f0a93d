#ifndef TOUCANDOCK_NET_SOCKET_H_
#define TOUCANDOCK_NET_SOCKET_H_

// Boost 1.74 uses std::exchange without including it.
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

#include "absl/status/statusor.h"

namespace toucandock::net {

using Tcp = boost::asio::ip::tcp;

// A connection is closed when data or keep-alive probes remain unacknowledged
// for about this time, so that a peer that disappeared without a reset is
// noticed.
inline constexpr std::chrono::milliseconds kPeerTimeout{2'500};

// Maximum number of bytes of a message, besides its headers, that a connection
// buffers before it can parse them, such as the extension of a chunk. Without a
// limit, a peer could send such bytes endlessly.
inline constexpr size_t kMaxUnparsedBytes = 128U << 10;

absl::StatusOr<Tcp::endpoint> ParseEndpoint(const std::string& address);

void SetConnectionOptions(Tcp::socket& socket);
// The same for a socket that is not registered with an I/O context.
void SetConnectionOptions(int fd);

// Replaces kPeerTimeout for one connection. The kernel ends a connection when
// its peer has acknowledged nothing for this long, or has left no room for
// further data.
void SetPeerTimeout(Tcp::socket& socket, std::chrono::milliseconds timeout);

// Number of bytes, including the end of the stream, that the peer has not
// acknowledged; nothing if the kernel does not tell.
std::optional<size_t> UnsentBytes(Tcp::socket& socket);

// Connections that are established but not accepted yet are reset when the
// listening socket is closed. To avoid this, call DropNewConnections() and keep
// accepting for kHandshakeLimit, which is several round trips between hosts and
// the load balancer; after that, no more connections are established.
inline constexpr std::chrono::milliseconds kHandshakeLimit{20};
void DropNewConnections(Tcp::acceptor& acceptor);

void Reset(Tcp::socket& socket);

bool HasUnreadInput(Tcp::socket& socket);

bool IsAtEnd(Tcp::socket& socket);

// True when the peer has ended or reset the connection, also if bytes that it
// sent before are unread.
bool HasPeerClosed(Tcp::socket& socket);

}  // namespace toucandock::net

#endif  // TOUCANDOCK_NET_SOCKET_H_
