/* line_world: one decision core, three stand-in servers of the line dialect
 * and callers, on one injected clock.
 *
 * Everything random comes from the seed.  The servers check each statement
 * that callers sent: that it finds the values and the shapes of its session,
 * that a transaction stays on its connection, and that a session sees its own
 * commits.
 */
#ifndef SS_TESTS_LINE_WORLD_H
#define SS_TESTS_LINE_WORLD_H

#include "core/internal.h"

#define LINE_SERVERS 3
#define LINE_SESSIONS_MAX 16

typedef struct LineWorld LineWorld;

typedef struct
{
  const char *name;
  SsServerRole role;
  uint64_t term;
  uint64_t barred_term;
  SsPosition received;
  SsPosition applied;
  int64_t lag_ms;
  bool deaf;        /* receives nothing */
  bool down;        /* refuses connections */
  int64_t dirty_ms; /* since when a replica has more to apply */
} LineServer;

typedef struct
{
  uint64_t id;
  LineServer *server;
  SsSessionState held;
  char status;
  uint32_t session; /* whose transaction is open; 0: none */
  bool wrote;       /* in its transaction */
} LineConnection;

typedef struct
{
  uint32_t id; /* from 1 */
  SsSessionState state;
  char status;
  uint32_t statements; /* said so far */
  uint32_t left;       /* to be said */
  bool waits;          /* for an answer */
  int64_t speak_ms;
  SsStatement said;
  uint64_t first_connection; /* of its transaction; 0: none ran yet */
  SsPosition committing;     /* its last commit at a server */
  SsPosition committed;      /* its last acknowledged commit */
  SsVerdict verdict;         /* of the last answer */
  SsReason reason;
} LineSession;

struct LineWorld
{
  SsNode node;
  GRand *rand;
  int64_t now_ms;
  int64_t version; /* of the platform's objects */
  GTree *objects;  /* key -> value */
  GHashTable *versions;
  GQueue due; /* of events to be delivered, by time */
  LineServer servers[LINE_SERVERS];
  GHashTable *connections;
  LineSession sessions[LINE_SESSIONS_MAX];
  uint32_t session_count;
  bool platform_down;
  uint32_t promotions;
  int64_t last_fence;
  int64_t promote_ms; /* when a promotion takes effect; 0: none runs */
  LineServer *promoted;
  uint64_t lease_nonce; /* of the core's last question to a peer; 0: none */
  /* Faults, in tenths of a percent. */
  uint32_t busy_permille;
  uint32_t lost_permille;
  /* What a test wants of the next statement of callers that a server gets. */
  bool busy_next;
  bool lose_next;
  /* What came of it. */
  GHashTable *runs;      /* label -> times that a server ran it */
  uint32_t status_asks;  /* of all servers */
  uint32_t primary_asks; /* of the first one */
  uint32_t violations;
  char first_violation[160];
  uint32_t served;
  uint32_t not_run;
  uint32_t in_doubt;
};

void line_world_init (LineWorld *world, uint32_t seed, uint32_t sessions,
                      uint32_t max_connections);
void line_world_finish (LineWorld *world);
/* line_world_advance: lets MS pass. */
void line_world_advance (LineWorld *world, int64_t ms);
/* line_world_say: SESSION (from 1) says TEXT, and time passes until it is
 * answered; returns whether it was.
 */
bool line_world_say (LineWorld *world, uint32_t session, const char *text);
/* line_world_start: as line_world_say, without waiting. */
void line_world_start (LineWorld *world, uint32_t session, const char *text);
/* line_world_peer: a message from vm "b". */
void line_world_peer (LineWorld *world, SsEnvelope *envelope);
/* line_world_mingle: every session says STATEMENTS random ones. */
void line_world_mingle (LineWorld *world, uint32_t statements);
/* line_world_crash: SERVER (from 0) breaks its connections and takes none. */
void line_world_crash (LineWorld *world, uint32_t server);
/* line_world_put: writes an object of the platform, and tells the core. */
void line_world_put (LineWorld *world, const char *key, const char *value);
/* line_world_last_label: of SESSION's last statement; static. */
const char *line_world_last_label (LineWorld *world, uint32_t session);
/* line_world_ran: how often a server ran the statement LABEL. */
uint32_t line_world_ran (LineWorld *world, const char *label);

#endif
