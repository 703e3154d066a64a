/* session_state: values and prepared statements of a session or a connection.
 *
 * Kept as printable texts, so that a difference can be shown; not shared with
 * the code under test.
 */
#ifndef SS_TESTS_WORLD_SESSION_STATE_H
#define SS_TESTS_WORLD_SESSION_STATE_H

#include "core/statement.h"

#include <glib.h>

typedef struct
{
  GHashTable *values;   /* name -> value */
  GHashTable *prepared; /* name -> mode and shape */
} WorldState;

void world_state_init (WorldState *state);
void world_state_finish (WorldState *state);
/* world_state_clear: what RESET does. */
void world_state_clear (WorldState *state);
/* world_state_apply: applies ST if it is SET, PREPARE or DEALLOC. */
void world_state_apply (WorldState *state, const SsStatement *st);
/* world_state_values: returns all values as one text, to be freed. */
char *world_state_values (const WorldState *state);
/* world_state_prepared: returns the mode and the shape that NAME stands for, or
 * NULL.
 */
const char *world_state_prepared (const WorldState *state, const char *name);

#endif
