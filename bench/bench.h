#ifndef TOUCANDOCK_BENCH_BENCH_H_
#define TOUCANDOCK_BENCH_BENCH_H_

#include <functional>
#include <string>
#include <vector>

namespace toucandock::bench {

// One measured figure. The baseline was measured in the same run.
struct Figure {
  std::string name;
  std::string unit;
  // One value for each run.
  std::vector<double> values;
  std::string baseline_name;
  std::vector<double> baseline_values;
  // The stated target in words, such as "at most 1.5 times the baseline";
  // empty when there is none.
  std::string target;
};

// Collects the figures of one execution.
class Report {
 public:
  void Add(Figure figure);
  const std::vector<Figure>& figures() const { return figures_; }
  std::string ToJson() const;

 private:
  std::vector<Figure> figures_;
};

struct Subject {
  std::string name;
  std::function<void(Report&)> run;
};

// Registers a subject; used as a namespace-scope object in its file.
class Registration {
 public:
  Registration(std::string name, std::function<void(Report&)> run);
};

const std::vector<Subject>& Subjects();

}  // namespace toucandock::bench

#endif  // TOUCANDOCK_BENCH_BENCH_H_
