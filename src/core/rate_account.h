/* rate_account: the tokens that a VM holds for one organisation, and the demand
 * for them.
 *
 * Tokens expire.  Times are milliseconds of the VM's clock.
 */
#ifndef SS_RATE_ACCOUNT_H
#define SS_RATE_ACCOUNT_H

#include <stdbool.h>
#include <stdint.h>

#define SS_RATE_GRANTS_MAX 8

typedef struct
{
  uint32_t tokens;
  int64_t expires_ms;
} SsRateGrant;

typedef struct
{
  SsRateGrant grants[SS_RATE_GRANTS_MAX];
  uint32_t grant_count;
  double demand_per_s;      /* exponential average */
  int64_t demand_ms;        /* when it was last updated */
  int64_t refused_until_ms; /* no token is expected before */
  int64_t asked_ms;         /* of the ask without a reply; 0: none */
  int64_t ahead_due_ms;     /* no tokens ahead of need are asked for before */
  uint32_t waiting;         /* operations that wait for a token */
} SsRateAccount;

/* ss_rate_account_note: records that an operation has arrived. */
void ss_rate_account_note (SsRateAccount *account, int64_t now_ms);
/* ss_rate_account_expected: returns how many operations are expected within
 * HORIZON_MS.
 */
double ss_rate_account_expected (const SsRateAccount *account,
                                 int64_t horizon_ms, int64_t now_ms);
void ss_rate_account_add (SsRateAccount *account, uint32_t tokens,
                          int64_t expires_ms, int64_t now_ms);
/* ss_rate_account_take: takes the token that expires first and sets *EXPIRES_MS
 * to when it does.  Returns false if there is none.
 */
bool ss_rate_account_take (SsRateAccount *account, int64_t *expires_ms,
                           int64_t now_ms);
/* ss_rate_account_held: returns how many tokens are valid at AT_MS. */
uint32_t ss_rate_account_held (const SsRateAccount *account, int64_t at_ms);

#endif
