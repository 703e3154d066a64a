/* replay: replays session state on connections that sessions share.
 *
 * An SsSessionState holds the settings and the prepared statements that a
 * session expects, or that a connection has.  Before a statement runs,
 * ss_replay_plan lists the statements that bring the connection to the state
 * that the session expects.  The name of a prepared statement at the target is
 * derived from its shape, so that sessions share prepared statements of the
 * same shape.
 */
#ifndef SS_REPLAY_H
#define SS_REPLAY_H

#include "core/dialect.h"

/* A connection with this many prepared statements is reset before it runs
 * another one, but not during a transaction.
 */
#define SS_REPLAY_PREPARED_MAX 200

/* What the names, values and shapes of a session may have in all: they are sent
 * with each of its statements, and kept for as long as it is open.
 */
#define SS_SESSION_STATE_MAX_BYTES (4 * 1024 * 1024)

/* Values of a session: each is compared with what a connection holds. */
#define SS_SESSION_VALUES_MAX 1000

/* Longest name of a prepared statement at a target. */
#define SS_REPLAY_NAME_MAX_BYTES 128

/* What log lines say of a shape instead of its text: two shapes with the same
 * hash are alike, and one of several words has spaces.
 */
typedef struct
{
  uint32_t bytes;
  uint32_t words;
  uint32_t hash;
} SsShapeSummary;

#define SS_SHAPE_FORMAT "shape_bytes=%u shape_words=%u shape_hash=%08x"
#define SS_SHAPE_ARGS(summary) (summary).bytes, (summary).words, (summary).hash

typedef struct
{
  char *shape; /* text from PREPARE that says what the statement does */
  bool is_read;
  SsShapeSummary summary;
} SsPrepared;

typedef struct
{
  GTree *values;        /* name -> value; NULL while empty */
  GHashTable *prepared; /* name -> SsPrepared; NULL while empty */
  size_t bytes;         /* of all names, values and shapes */
} SsSessionState;

void ss_session_state_init (SsSessionState *state);
void ss_session_state_finish (SsSessionState *state);
void ss_session_state_set (SsSessionState *state, const char *name,
                           const char *value);
/* ss_session_state_prepare: returns what NAME stands for now. */
const SsPrepared *ss_session_state_prepare (SsSessionState *state,
                                            const char *name, const char *shape,
                                            bool is_read);
/* ss_session_state_prepared: returns NULL where NAME is not prepared. */
const SsPrepared *ss_session_state_prepared (const SsSessionState *state,
                                             const char *name);
/* ss_session_state_deallocate: returns false where NAME is not prepared. */
bool ss_session_state_deallocate (SsSessionState *state, const char *name);

/* ss_shape_summary: summarises SHAPE; all members are 0 for NULL. */
SsShapeSummary ss_shape_summary (const char *shape);

/* ss_session_state_has_room: whether STATE may take ST, a SET or PREPARE,
 * within SS_SESSION_STATE_MAX_BYTES and SS_SESSION_VALUES_MAX.
 */
bool ss_session_state_has_room (const SsSessionState *state,
                                const SsStatement *st);

/* ss_replay_name: returns the name of the shape's prepared statement at
 * targets, to be freed.  It is one word of at most SS_REPLAY_NAME_MAX_BYTES,
 * whatever the shape holds, and differs between two shapes and between READ
 * and WRITE.  A shape that is one word itself is a part of its name, so that
 * VMs of earlier versions use the same one; the name of any other shape, and of
 * a very long word, has its SHA-256 digest.
 */
char *ss_replay_name (const char *shape, bool is_read);

typedef enum
{
  SS_REPLAY_IMPOSSIBLE, /* the connection must not be used for it */
  SS_REPLAY_PLANNED,
  SS_REPLAY_PREPARES /* planned, and the shape has to be prepared */
} SsReplayPlan;

/* ss_replay_plan: appends to OUT the statements (to be freed) that bring a
 * connection from the state HELD to VALUES (name, value, ..., NULL; each name
 * once) with SHAPE (NULL: none) prepared, and updates HELD accordingly.
 * IN_TRANSACTION: a reset is not possible.  Returns SS_REPLAY_IMPOSSIBLE where
 * one would be needed, and where the dialect can't express a value.  HELD keeps
 * digests of long names and values, and of prepared statements only the names.
 */
SsReplayPlan ss_replay_plan (const SsDialect *dialect, SsSessionState *held,
                             const char *const *values, const char *shape,
                             bool shape_is_read, bool in_transaction,
                             GQueue *out);

/* ss_replay_distance: returns how many statements ss_replay_plan would list for
 * VALUES without a shape.
 */
uint32_t ss_replay_distance (const SsSessionState *held,
                             const char *const *values);

#endif
