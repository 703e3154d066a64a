/* retry_budget: limits retries to a tenth of the first attempts, so that
 * retries cannot amplify an outage.  The budget holds up to 100 retries.
 */
#ifndef SS_RETRY_BUDGET_H
#define SS_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/* In tenths of a retry. */
#define SS_RETRY_BUDGET_PER_ATTEMPT 1
#define SS_RETRY_BUDGET_PER_RETRY 10
#define SS_RETRY_BUDGET_MAX 1000

typedef struct
{
  uint32_t tenths;
} SsRetryBudget;

void ss_retry_budget_init (SsRetryBudget *budget);
/* ss_retry_budget_deposit: records a first attempt, which earns a tenth of a
 * retry.
 */
void ss_retry_budget_deposit (SsRetryBudget *budget);
/* ss_retry_budget_withdraw: spends one retry.  Returns false if the budget is
 * exhausted.
 */
bool ss_retry_budget_withdraw (SsRetryBudget *budget);

#endif
