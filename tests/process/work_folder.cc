#include "process/work_folder.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace toucandock::process {
namespace {

constexpr std::chrono::milliseconds kStartLimit{10'000};

// Waits until the file ends with a complete line and returns its text.
std::string WaitForFile(const std::string& what, const std::string& file) {
  WaitUntil(
      what, [&] { return absl::EndsWith(ReadFile(file), "\n"); }, kStartLimit);
  return ReadFile(file);
}

}  // namespace

std::string Program(const std::string& name) {
  return absl::StrCat(TOUCANDOCK_BIN_DIR, "/", name);
}

std::string ReadFile(const std::string& file) {
  std::ifstream stream(file);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

WorkFolder::WorkFolder() {
  path_ =
      (std::filesystem::temp_directory_path() / "toucandock-XXXXXX").string();
  if (mkdtemp(path_.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary folder");
  }
}

WorkFolder::~WorkFolder() {
  std::error_code ec;
  if (!keep_ && std::getenv("TOUCANDOCK_KEEP_FOLDER") == nullptr) {
    std::filesystem::remove_all(path_, ec);
  }
}

std::string WorkFolder::PathOf(const std::string& name) const {
  return absl::StrCat(path_, "/", name);
}

std::string WorkFolder::WriteFile(const std::string& name,
                                  const std::string& text) const {
  std::ofstream(PathOf(name)) << text;
  return PathOf(name);
}

std::string WorkFolder::StartStandIn(
    const std::string& name,
    const std::string& program,
    const std::vector<std::string>& flags,
    std::unique_ptr<ChildProcess>& process) const {
  const std::string file = PathOf(name + ".address");
  std::filesystem::remove(file);
  std::vector<std::string> command = {Program(program),
                                      absl::StrCat("--address_file=", file)};
  command.insert(command.end(), flags.begin(), flags.end());
  process = std::make_unique<ChildProcess>(command, PathOf(name + ".out"));
  std::string address = WaitForFile("address of " + name, file);
  address.pop_back();
  return address;
}

std::map<std::string, std::string> WorkFolder::StartWithPorts(
    const std::string& name,
    const std::vector<std::string>& command,
    std::unique_ptr<ChildProcess>& process) const {
  const std::string file = PathOf(name + ".addresses");
  std::filesystem::remove(file);
  process = std::make_unique<ChildProcess>(command, PathOf(name + ".out"));
  std::istringstream lines(WaitForFile("addresses of " + name, file));
  std::string port;
  std::string address;
  std::map<std::string, std::string> bound;
  while (lines >> port >> address) {
    bound[port] = address;
  }
  return bound;
}

}  // namespace toucandock::process
