#ifndef TOUCANDOCK_CORE_ADMISSION_RETRY_BUDGET_H_
#define TOUCANDOCK_CORE_ADMISSION_RETRY_BUDGET_H_

namespace toucandock::core::admission {

struct RetryBudgetOptions {
  // Retries that each first attempt earns.
  double share = 0.1;
  // Retries that may be saved up; also the number at the start.
  double burst = 10;
};

// Token bucket that limits retries to a share of the requests, so that a
// target that fails under load does not get more load from its failures.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetOptions& options);

  void OnRequest();
  bool TryRetry();

 private:
  const RetryBudgetOptions options_;
  double tokens_;
};

}  // namespace toucandock::core::admission

#endif  // TOUCANDOCK_CORE_ADMISSION_RETRY_BUDGET_H_
