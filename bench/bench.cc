#include "bench.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "codec/json.h"

namespace toucandock::bench {
namespace {

std::vector<Subject>& MutableSubjects() {
  static std::vector<Subject> subjects;
  return subjects;
}

double Median(std::vector<double> values) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

Json::Value Summary(const std::vector<double>& values) {
  Json::Value value;
  value["runs"] = static_cast<Json::UInt64>(values.size());
  value["median"] = Median(values);
  if (!values.empty()) {
    value["min"] = *std::min_element(values.begin(), values.end());
    value["max"] = *std::max_element(values.begin(), values.end());
  }
  return value;
}

}  // namespace

// Also prints the figure, so that progress is visible during a long run.
void Report::Add(Figure figure) {
  std::printf("%-58s %12.4g %-10s", figure.name.c_str(), Median(figure.values),
              figure.unit.c_str());
  if (!figure.baseline_values.empty()) {
    const double baseline = Median(figure.baseline_values);
    std::printf("  %s: %.4g, ratio %.3g", figure.baseline_name.c_str(),
                baseline, baseline == 0 ? 0 : Median(figure.values) / baseline);
  }
  std::printf("%s%s\n",
              figure.target.empty() ? "" : "  target: ", figure.target.c_str());
  std::fflush(stdout);
  figures_.push_back(std::move(figure));
}

std::string Report::ToJson() const {
  Json::Value list(Json::arrayValue);
  for (const Figure& it : figures_) {
    Json::Value value = Summary(it.values);
    value["name"] = it.name;
    value["unit"] = it.unit;
    value["target"] = it.target;
    if (!it.baseline_values.empty()) {
      value["baseline"] = Summary(it.baseline_values);
      value["baseline"]["name"] = it.baseline_name;
      const double baseline = Median(it.baseline_values);
      if (baseline != 0) {
        value["ratio"] = Median(it.values) / baseline;
      }
    }
    list.append(value);
  }
  return codec::WriteJson(list);
}

Registration::Registration(std::string name, std::function<void(Report&)> run) {
  MutableSubjects().push_back({std::move(name), std::move(run)});
}

const std::vector<Subject>& Subjects() {
  return MutableSubjects();
}

}  // namespace toucandock::bench
