#ifndef TOUCANDOCK_NET_SOCKET_H_
#define TOUCANDOCK_NET_SOCKET_H_

// Boost 1.74 uses std::exchange without including it.
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <string>

#include "absl/status/statusor.h"

namespace toucandock::net {

using Tcp = boost::asio::ip::tcp;

// Unacknowledged data or probes end a connection after about this time, so that
// a peer that went silent without a reset is noticed.
inline constexpr std::chrono::milliseconds kPeerTimeout{2'500};

// Bytes of a message, besides its headers, that a connection may hold before it
// can parse them, such as the extension of a chunk. A peer may send these
// without end.
inline constexpr size_t kMaxUnparsedBytes = 128U << 10;

absl::StatusOr<Tcp::endpoint> ParseEndpoint(const std::string& address);

void SetConnectionOptions(Tcp::socket& socket);
// The same for a socket that no context knows.
void SetConnectionOptions(int fd);

// A connection that is made but not accepted is reset when the listening socket
// closes. After this call and kHandshakeLimit, several round trips between
// hosts and the balancer, no more of them come.
inline constexpr std::chrono::milliseconds kHandshakeLimit{20};
void DropNewConnections(Tcp::acceptor& acceptor);

void Reset(Tcp::socket& socket);

bool HasUnreadInput(Tcp::socket& socket);

bool IsAtEnd(Tcp::socket& socket);

}  // namespace toucandock::net

#endif  // TOUCANDOCK_NET_SOCKET_H_
