#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/reflection.h"
#include "absl/flags/usage.h"
#include "core/error_kind.h"
#include "daemon/daemon.h"
#include "settings/settings.h"
#include "util/command_flags.h"

ABSL_FLAG(std::string, settings, "", "YAML file with this host's settings");
ABSL_FLAG(bool,
          check_settings,
          false,
          "check the settings, report all faults and exit");

namespace {

int ExitCode(toucandock::core::ErrorKind kind) {
  return toucandock::core::AnswerFor(kind).exit_code;
}

toucandock::util::FlagKind KindOf(absl::string_view name) {
  using toucandock::util::FlagKind;
  const absl::CommandLineFlag* flag = absl::FindCommandLineFlag(name);
  if (flag == nullptr) {
    return FlagKind::kUnknown;
  }
  return flag->IsOfType<bool>() ? FlagKind::kSwitch : FlagKind::kValue;
}

// One thread waits for the stop signals, so that no code runs in a signal
// handler.
sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  return signals;
}

}  // namespace

int main(int argc, char** argv) {
  using toucandock::core::ErrorKind;
  absl::SetProgramUsageMessage(
      "Routes requests to the targets that own their keys.\n"
      "toucandockd --settings=FILE");
  std::vector<std::string> arguments(argv + 1, argv + argc);
  const std::string flag_error =
      toucandock::util::CheckFlags(arguments, KindOf);
  if (!flag_error.empty()) {
    std::cerr << "toucandockd: " << flag_error << "\n";
    return ExitCode(ErrorKind::kUsage);
  }
  std::vector<char*> checked = {argv[0]};
  for (std::string& it : arguments) {
    checked.push_back(it.data());
  }
  if (absl::ParseCommandLine(static_cast<int>(checked.size()), checked.data())
          .size() > 1) {
    std::cerr << "toucandockd: extra argument; usage: toucandockd "
                 "--settings=FILE [--check-settings]\n";
    return ExitCode(ErrorKind::kUsage);
  }
  const std::string file = absl::GetFlag(FLAGS_settings);
  std::ifstream stream(file);
  if (!stream) {
    std::cerr << "toucandockd: cannot read the settings file '" << file
              << "'; name one with --settings=FILE\n";
    return ExitCode(ErrorKind::kUsage);
  }
  std::ostringstream text;
  text << stream.rdbuf();
  auto settings = toucandock::settings::ParseSettings(file, text.str());
  if (!settings.ok()) {
    std::cerr << settings.status().message() << "\n";
    return ExitCode(ErrorKind::kConfigInvalid);
  }
  if (absl::GetFlag(FLAGS_check_settings)) {
    std::cout << file << ": the settings are valid\n";
    return 0;
  }
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  toucandock::daemon::Daemon daemon(*std::move(settings));
  if (absl::Status status = daemon.Start(); !status.ok()) {
    std::cerr << "toucandockd: " << status.message() << "\n";
    return ExitCode(ErrorKind::kInternal);
  }
  std::thread([&daemon, signals] {
    int signal = 0;
    sigwait(&signals, &signal);
    daemon.RequestStop();
  }).detach();
  daemon.WaitUntilStopped();
  return 0;
}
