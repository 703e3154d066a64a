#include "core/retry_budget.h"

void
ss_retry_budget_init (SsRetryBudget *budget)
{
  budget->tenths = SS_RETRY_BUDGET_MAX;
}

void
ss_retry_budget_deposit (SsRetryBudget *budget)
{
  if (budget->tenths < SS_RETRY_BUDGET_MAX)
    budget->tenths += SS_RETRY_BUDGET_PER_ATTEMPT;
}

bool
ss_retry_budget_withdraw (SsRetryBudget *budget)
{
  if (budget->tenths < SS_RETRY_BUDGET_PER_RETRY)
    return false;
  budget->tenths -= SS_RETRY_BUDGET_PER_RETRY;
  return true;
}
