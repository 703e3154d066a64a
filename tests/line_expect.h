/* line_expect: what suites that use the simulation of the line dialect assert
 * in common.
 */
#ifndef SS_TESTS_LINE_EXPECT_H
#define SS_TESTS_LINE_EXPECT_H

#include "tests/line_sim.h"

/* line_expect_no_violations: asserts that the servers of SIM saw none, and
 * prints the first one with SEED.
 */
void line_expect_no_violations (const LineSim *sim, uint32_t seed);

typedef struct
{
  uint32_t histories;  /* one a seed, from 1 */
  uint32_t statements; /* of each session */
  bool odd_texts;
} LineHistories;

/* line_expect_histories: runs random histories of six sessions that share
 * connections, a third with busy servers and a quarter with lost answers.
 * Asserts that there are no violations, that every statement is answered and
 * that at least 80 % are served: most faults fail one statement or the rest of
 * a transaction.
 */
void line_expect_histories (const LineHistories *histories);

#endif
