#ifndef TOUCANDOCK_CORE_ADMISSION_RETRY_BUDGET_H_
#define TOUCANDOCK_CORE_ADMISSION_RETRY_BUDGET_H_

namespace toucandock::core::admission {

struct RetryBudgetOptions {
  // Number of retries that each first attempt adds to the budget.
  double share = 0.1;
  // Maximum number of retries in the budget, which is also its initial value.
  double burst = 10;
};

// Token bucket that limits retries to a share of the requests, so that retries
// do not add to the load of a target that fails because of its load.
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
