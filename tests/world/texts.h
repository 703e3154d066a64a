/* texts: the statements that callers send. */
#ifndef SS_TESTS_WORLD_TEXTS_H
#define SS_TESTS_WORLD_TEXTS_H

#include "tests/world/session_state.h"

#include <glib.h>
#include <stdint.h>

/* world_texts_odd: what values, shapes, arguments and rows may hold: spaces,
 * keywords, control characters, bytes that are no UTF-8.
 */
const char *world_texts_odd (uint32_t number);
uint32_t world_texts_odd_count (void);

/* world_texts_next: returns a random statement, to be freed, of a session in
 * STATUS (I or T) with STATE.
 */
char *world_texts_next (GRand *rand, char status, const WorldState *state);

/* world_texts_push_huge: appends statements to TEXTS, to be freed, one of which
 * is some 600,000 bytes long; KIND chooses which.
 */
void world_texts_push_huge (GQueue *texts, uint32_t kind);

#endif
