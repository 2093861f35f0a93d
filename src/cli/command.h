#ifndef TOUCANDOCK_CLI_COMMAND_H_
#define TOUCANDOCK_CLI_COMMAND_H_

#include <json/value.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/error_kind.h"

namespace toucandock::cli {

struct Options {
  // "IP:PORT" of the platform's log.
  std::string log_address;
  std::string log_stream;
  // "IP:PORT" of an entry host's operator port.
  std::string host_address;
  std::string author;
  // Version that the text to publish was edited from.
  std::optional<std::uint64_t> edited_from;
  std::chrono::milliseconds wait{10'000};
  bool json = false;
};

// Output of a command, in both formats. For an error, `text` is the message,
// and `value` may hold further members of the error object.
struct Answer {
  core::ErrorKind error = core::ErrorKind::kNone;
  std::string text;
  Json::Value value{Json::objectValue};
};

Answer Failed(core::ErrorKind error, std::string message);

struct Command {
  const char* name;
  // Names of the arguments, separated by spaces.
  const char* arguments;
  const char* summary;
  // Describes, in complete lines, what the command does and how to use its
  // output.
  const char* help;
  std::function<Answer(const std::vector<std::string>& arguments,
                       const Options& options)>
      run;
};

}  // namespace toucandock::cli

#endif  // TOUCANDOCK_CLI_COMMAND_H_
