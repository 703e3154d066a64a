#include "core/budget.h"

void
ss_budget_init (SsBudget *budget)
{
  budget->tenths = SS_BUDGET_MAX;
}

void
ss_budget_first_try (SsBudget *budget)
{
  if (budget->tenths < SS_BUDGET_MAX)
    budget->tenths += SS_BUDGET_PER_TRY;
}

bool
ss_budget_take_retry (SsBudget *budget)
{
  if (budget->tenths < SS_BUDGET_PER_RETRY)
    return false;
  budget->tenths -= SS_BUDGET_PER_RETRY;
  return true;
}
