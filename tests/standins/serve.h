#ifndef TOUCANDOCK_STANDINS_SERVE_H_
#define TOUCANDOCK_STANDINS_SERVE_H_

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>
#include <utility>

#include "http/server.h"

namespace toucandock::standins {

// Serves until SIGTERM or SIGINT; writes the bound address to `address_file`.
inline int ServeUntilStopped(const std::string& address,
                             const std::string& address_file,
                             http::Handler handler) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  auto server = http::Server::Start({.address = address, .max_body = 16 << 20},
                                    std::move(handler));
  if (!server.ok()) {
    std::cerr << server.status().message() << "\n";
    return EXIT_FAILURE;
  }
  if (!address_file.empty()) {
    // Renamed into place, so that a reader never sees half a line.
    const std::string part = address_file + ".part";
    std::ofstream(part) << (*server)->address() << "\n";
    std::rename(part.c_str(), address_file.c_str());
  }
  int signal = 0;
  sigwait(&signals, &signal);
  std::_Exit(EXIT_SUCCESS);
}

}  // namespace toucandock::standins

#endif  // TOUCANDOCK_STANDINS_SERVE_H_
