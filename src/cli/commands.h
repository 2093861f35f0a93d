#ifndef TOUCANDOCK_CLI_COMMANDS_H_
#define TOUCANDOCK_CLI_COMMANDS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace toucandock::cli {

struct Options {
  // "IP:PORT" of the platform's log.
  std::string log_address;
  std::string log_stream;
  // "IP:PORT" of an entry host's operator port.
  std::string host_address;
  std::string author;
  std::optional<std::uint64_t> edited_from;
  std::chrono::milliseconds wait{10'000};
  bool json = false;
};

struct CommandHelp {
  const char* name;
  const char* arguments;
  const char* summary;
};

const std::vector<CommandHelp>& AllCommands();

int RunCommand(const std::vector<std::string>& words, const Options& options);

}  // namespace toucandock::cli

#endif  // TOUCANDOCK_CLI_COMMANDS_H_
