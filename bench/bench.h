#ifndef TOUCANDOCK_BENCH_BENCH_H_
#define TOUCANDOCK_BENCH_BENCH_H_

#include <functional>
#include <string>
#include <vector>

namespace toucandock::bench {

// A measured figure and the baseline that it is compared with, which was
// measured in the same execution.
struct Figure {
  std::string name;
  std::string unit;
  // One value for each run.
  std::vector<double> values;
  std::string baseline_name;
  std::vector<double> baseline_values;
  // The goal in words, such as "at most 1.5 times the baseline"; empty if there
  // is none.
  std::string target;
};

// Collects the figures of one execution of the program.
class Report {
 public:
  void Add(Figure figure);
  const std::vector<Figure>& figures() const { return figures_; }
  std::string ToJson() const;

 private:
  std::vector<Figure> figures_;
};

// A benchmark that can be selected by its name.
struct Subject {
  std::string name;
  std::function<void(Report&)> run;
};

// Registers a subject. Each benchmark file defines one at namespace scope.
class Registration {
 public:
  Registration(std::string name, std::function<void(Report&)> run);
};

const std::vector<Subject>& Subjects();

}  // namespace toucandock::bench

#endif  // TOUCANDOCK_BENCH_BENCH_H_
