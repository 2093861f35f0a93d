// Randomized fault soak of toucandock-entry against the stand-ins. Exits with 1
// when a promise was broken, and says in which folder the logs are.
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "soak/soak_run.h"

ABSL_FLAG(int, first_seed, 1, "first seed");
ABSL_FLAG(int, seeds, 1, "number of seeds, one after the other");
ABSL_FLAG(std::string, seeds_file, "", "file with one seed a line instead");
ABSL_FLAG(int, hosts, 3, "entry hosts");
ABSL_FLAG(int, keyed_targets, 4, "targets that own keys");
ABSL_FLAG(int, plain_targets, 3, "targets without keys");
ABSL_FLAG(int, faults, 6, "faults in each run");
ABSL_FLAG(int, seconds, 8, "time in which faults begin");
ABSL_FLAG(bool, verbose, false, "print each fault");

namespace toucandock::soak {
namespace {

// A line is a seed, and a remark behind '#'.
std::vector<std::uint32_t> ReadSeeds(const std::string& file) {
  std::vector<std::uint32_t> seeds;
  std::ifstream stream(file);
  std::string line;
  while (std::getline(stream, line)) {
    const std::vector<std::string> parts =
        absl::StrSplit(line, absl::MaxSplits('#', 1));
    std::uint32_t seed = 0;
    if (absl::SimpleAtoi(parts[0], &seed)) {
      seeds.push_back(seed);
    }
  }
  return seeds;
}

int Main() {
  std::vector<std::uint32_t> seeds;
  if (const std::string file = absl::GetFlag(FLAGS_seeds_file); !file.empty()) {
    seeds = ReadSeeds(file);
  } else {
    for (int n = 0; n < absl::GetFlag(FLAGS_seeds); ++n) {
      seeds.push_back(
          static_cast<std::uint32_t>(absl::GetFlag(FLAGS_first_seed) + n));
    }
  }
  const SoakOptions options{
      .hosts = static_cast<size_t>(absl::GetFlag(FLAGS_hosts)),
      .keyed_targets = static_cast<size_t>(absl::GetFlag(FLAGS_keyed_targets)),
      .plain_targets = static_cast<size_t>(absl::GetFlag(FLAGS_plain_targets)),
      .faults = static_cast<size_t>(absl::GetFlag(FLAGS_faults)),
      .length = std::chrono::seconds(absl::GetFlag(FLAGS_seconds)),
      .verbose = absl::GetFlag(FLAGS_verbose)};
  size_t failed = 0;
  for (const std::uint32_t seed : seeds) {
    const SoakResult result = RunSoak(seed, options);
    std::cout << "seed " << seed << ": " << result.requests << " requests, "
              << result.answered << " answered, " << result.broken.size()
              << " promises broken" << std::endl;
    failed += result.broken.empty() ? 0 : 1;
    for (size_t n = 0; n < result.broken.size() && n < 10; ++n) {
      std::cout << "  " << result.broken[n] << std::endl;
    }
    if (!result.folder.empty()) {
      std::cout << "  logs: " << result.folder << std::endl;
    }
  }
  std::cout << seeds.size() - failed << " passed, " << failed << " failed"
            << std::endl;
  return failed == 0 && !seeds.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace
}  // namespace toucandock::soak

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  return toucandock::soak::Main();
}
