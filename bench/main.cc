#include <fstream>
#include <iostream>
#include <string>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "bench.h"

ABSL_FLAG(std::string, json, "", "file that all figures are written to");
ABSL_FLAG(std::string, only, "", "run only the subject of this name");

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  const std::string only = absl::GetFlag(FLAGS_only);
  toucandock::bench::Report report;
  for (const auto& subject : toucandock::bench::Subjects()) {
    if (only.empty() || subject.name == only) {
      std::cout << "== " << subject.name << std::endl;
      subject.run(report);
    }
  }
  const std::string file = absl::GetFlag(FLAGS_json);
  if (!file.empty()) {
    std::ofstream(file) << report.ToJson() << "\n";
  }
  return report.figures().empty() ? 1 : 0;
}
