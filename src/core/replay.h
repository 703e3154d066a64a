/* replay: what a caller's session has set and prepared, on connections that
 * sessions share.
 *
 * An SsSessionState says what a session expects, or what a connection holds.
 * Before a statement runs, ss_replay_plan lists the statements that make the
 * connection hold what the session expects.  Prepared statements go by a name
 * that follows from their shape, so that sessions with the same shape share
 * one.
 */
#ifndef SS_REPLAY_H
#define SS_REPLAY_H

#include "core/dialect.h"

/* A connection that holds more prepared statements is reset. */
#define SS_REPLAY_PREPARED_MAX 200

typedef struct
{
  char *shape;
  bool is_read;
} SsPrepared;

typedef struct
{
  GTree *values;        /* name -> value; NULL while empty */
  GHashTable *prepared; /* name -> SsPrepared; NULL while empty */
} SsSessionState;

void ss_session_state_init (SsSessionState *state);
void ss_session_state_finish (SsSessionState *state);
void ss_session_state_set (SsSessionState *state, const char *name,
                           const char *value);
void ss_session_state_prepare (SsSessionState *state, const char *name,
                               const char *shape, bool is_read);
/* ss_session_state_prepared: NULL where NAME is not prepared. */
const SsPrepared *ss_session_state_prepared (const SsSessionState *state,
                                             const char *name);
/* ss_session_state_deallocate: false where NAME is not prepared. */
bool ss_session_state_deallocate (SsSessionState *state, const char *name);

/* ss_replay_name: the shared name of a shape, to be freed. */
char *ss_replay_name (const char *shape, bool is_read);

/* ss_replay_plan: appends to OUT the statements (to be freed) that bring a
 * connection from HELD to VALUES (name, value, ..., NULL) with SHAPE (NULL:
 * none) prepared, and changes HELD to what it then holds.  IN_TRANSACTION: a
 * reset is not possible; returns false where one would be needed.
 */
bool ss_replay_plan (const SsDialect *dialect, SsSessionState *held,
                     const char *const *values, const char *shape,
                     bool shape_is_read, bool in_transaction, GQueue *out);

/* ss_replay_distance: how many statements ss_replay_plan would list for
 * VALUES.
 */
uint32_t ss_replay_distance (const SsSessionState *held,
                             const char *const *values);

#endif
