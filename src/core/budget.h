/* budget: a retry budget.  Limits retries to a tenth of the first tries, so
 * that retries cannot amplify an outage.
 */
#ifndef SS_BUDGET_H
#define SS_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/* In tenths of a retry. */
#define SS_BUDGET_PER_TRY 1
#define SS_BUDGET_PER_RETRY 10
#define SS_BUDGET_MAX 1000

typedef struct
{
  uint32_t tenths;
} SsBudget;

void ss_budget_init (SsBudget *budget);
/* ss_budget_first_try: records a first try, which earns a tenth of a retry. */
void ss_budget_first_try (SsBudget *budget);
/* ss_budget_take_retry: spends one retry.  Returns false if the budget is
 * exhausted.
 */
bool ss_budget_take_retry (SsBudget *budget);

#endif
