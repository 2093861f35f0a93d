// Soak test of toucandock-entry with random faults, against the stand-ins.
// Exits with 1 if a guarantee was violated, and prints the folder of the logs.
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "soak/soak_run.h"

ABSL_FLAG(int, first_seed, 1, "first seed");
ABSL_FLAG(int, seeds, 1, "number of seeds, one after the other");
ABSL_FLAG(std::string,
          seeds_file,
          "",
          "file with a seed and a number of faults on each line; replaces the "
          "flags for seeds and faults");
ABSL_FLAG(int, hosts, 3, "entry hosts");
ABSL_FLAG(int, keyed_targets, 4, "targets that own keys");
ABSL_FLAG(int, plain_targets, 3, "targets without keys");
ABSL_FLAG(int, faults, 6, "faults in each run");
ABSL_FLAG(int, restores, 1, "restores of the store in each run");
ABSL_FLAG(int, refusals, 1, "times a target's connections are refused");
ABSL_FLAG(int, seconds, 8, "time in which faults begin");
ABSL_FLAG(bool, verbose, false, "print each fault");

namespace toucandock::soak {
namespace {

struct SoakCase {
  std::uint32_t seed = 0;
  size_t faults = 0;
};

// Each line holds a seed and a number of faults; any text after them is a
// remark. Lines that do not start with two numbers are skipped.
std::vector<SoakCase> ReadCases(const std::string& file) {
  std::vector<SoakCase> cases;
  std::ifstream stream(file);
  std::string line;
  while (std::getline(stream, line)) {
    std::istringstream words(line);
    SoakCase it;
    if (words >> it.seed >> it.faults) {
      cases.push_back(it);
    }
  }
  return cases;
}

int Main() {
  std::vector<SoakCase> cases;
  if (const std::string file = absl::GetFlag(FLAGS_seeds_file); !file.empty()) {
    cases = ReadCases(file);
  } else {
    for (int n = 0; n < absl::GetFlag(FLAGS_seeds); ++n) {
      cases.push_back(
          {.seed =
               static_cast<std::uint32_t>(absl::GetFlag(FLAGS_first_seed) + n),
           .faults = static_cast<size_t>(absl::GetFlag(FLAGS_faults))});
    }
  }
  SoakOptions options{
      .hosts = static_cast<size_t>(absl::GetFlag(FLAGS_hosts)),
      .keyed_targets = static_cast<size_t>(absl::GetFlag(FLAGS_keyed_targets)),
      .plain_targets = static_cast<size_t>(absl::GetFlag(FLAGS_plain_targets)),
      .restores = static_cast<size_t>(absl::GetFlag(FLAGS_restores)),
      .refusals = static_cast<size_t>(absl::GetFlag(FLAGS_refusals)),
      .length = std::chrono::seconds(absl::GetFlag(FLAGS_seconds)),
      .verbose = absl::GetFlag(FLAGS_verbose)};
  size_t failed = 0;
  for (const SoakCase& it : cases) {
    options.faults = it.faults;
    const SoakResult result = RunSoak(it.seed, options);
    std::cout << "seed " << it.seed << " with " << it.faults
              << " faults: " << result.requests << " requests, "
              << result.answered << " answered, "
              << result.guarantee_violations.size() << " promises broken"
              << std::endl;
    failed += result.guarantee_violations.empty() ? 0 : 1;
    for (size_t n = 0; n < result.guarantee_violations.size() && n < 10; ++n) {
      std::cout << "  " << result.guarantee_violations[n] << std::endl;
    }
    if (!result.folder.empty()) {
      std::cout << "  logs: " << result.folder << std::endl;
    }
  }
  std::cout << cases.size() - failed << " passed, " << failed << " failed"
            << std::endl;
  return failed == 0 && !cases.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace
}  // namespace toucandock::soak

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  return toucandock::soak::Main();
}
