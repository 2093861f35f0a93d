#include "core/admission/retry_budget.h"

#include <algorithm>

namespace toucandock::core::admission {

RetryBudget::RetryBudget(const RetryBudgetTerms& terms)
    : terms_(terms), tokens_(terms.burst) {}

// Called once for each request, not for its retries.
void RetryBudget::OnRequest() {
  tokens_ = std::min(terms_.burst, tokens_ + terms_.share);
}

// Takes one retry out of the budget; false when it is used up.
bool RetryBudget::TryRetry() {
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

}  // namespace toucandock::core::admission
