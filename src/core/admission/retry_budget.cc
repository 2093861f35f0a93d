#include "core/admission/retry_budget.h"

#include <algorithm>

namespace toucandock::core::admission {

RetryBudget::RetryBudget(const RetryBudgetOptions& options)
    : options_(options), tokens_(options.burst) {}

// Called once for each request, not for its retries.
void RetryBudget::OnRequest() {
  tokens_ = std::min(options_.burst, tokens_ + options_.share);
}

// Takes one retry from the budget. Returns false if the budget is used up.
bool RetryBudget::TryRetry() {
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

}  // namespace toucandock::core::admission
