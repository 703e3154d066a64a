/* budget: bounds retries to a share of first tries, so that retries cannot
 * multiply a failure.
 */
#ifndef SS_BUDGET_H
#define SS_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/* Tenths of a retry. */
#define SS_BUDGET_PER_TRY 1
#define SS_BUDGET_PER_RETRY 10
#define SS_BUDGET_MAX 1000

typedef struct
{
  uint32_t tenths;
} SsBudget;

void ss_budget_init (SsBudget *budget);
/* ss_budget_first_try: earns a tenth of a retry. */
void ss_budget_first_try (SsBudget *budget);
/* ss_budget_take_retry: returns false where the budget is spent. */
bool ss_budget_take_retry (SsBudget *budget);

#endif
