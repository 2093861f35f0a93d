#ifndef TOUCANDOCK_STANDINS_SERVE_H_
#define TOUCANDOCK_STANDINS_SERVE_H_

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <utility>

#include "absl/status/statusor.h"
#include "http/server.h"

namespace toucandock::standins {

// Must be called before any thread starts, since threads inherit the mask.
// Returns the signals to pass to sigwait().
inline sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

// Starts the server and writes the address that it bound to `address_file`.
inline absl::StatusOr<std::unique_ptr<http::Server>> StartServer(
    const std::string& address,
    const std::string& address_file,
    http::Handler handler) {
  auto server = http::Server::Start({.address = address, .max_body = 16 << 20},
                                    std::move(handler));
  if (server.ok() && !address_file.empty()) {
    // Written under another name and renamed, so that a reader never sees an
    // incomplete line.
    const std::string part = address_file + ".part";
    std::ofstream(part) << (*server)->address() << "\n";
    std::rename(part.c_str(), address_file.c_str());
  }
  return server;
}

// Serves until SIGTERM or SIGINT, then ends the process.
inline int ServeUntilStopped(const std::string& address,
                             const std::string& address_file,
                             http::Handler handler) {
  const sigset_t signals = BlockStopSignals();
  const auto server = StartServer(address, address_file, std::move(handler));
  if (!server.ok()) {
    std::cerr << server.status().message() << "\n";
    return EXIT_FAILURE;
  }
  int signal = 0;
  sigwait(&signals, &signal);
  std::_Exit(EXIT_SUCCESS);
}

}  // namespace toucandock::standins

#endif  // TOUCANDOCK_STANDINS_SERVE_H_
