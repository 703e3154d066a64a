/* line_texts: the statements that simulated callers send. */
#ifndef SS_TESTS_LINE_TEXTS_H
#define SS_TESTS_LINE_TEXTS_H

#include "tests/line_sim.h"

/* line_texts_next: returns a random statement that fits the state of S, to be
 * freed.  With odd_texts, values, shapes and arguments have spaces, keywords,
 * control characters and bytes that are no UTF-8, and are short and long.
 */
char *line_texts_next (LineSim *sim, const LineSession *s);

#endif
