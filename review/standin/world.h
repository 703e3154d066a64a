/* world: the surroundings of a small deployment, for the scripts of the review.
 *
 * One process is the platform's store and promotion call, the three servers of
 * one service, the callers, and the parent of the daemons.  It speaks what
 * PROTOCOL.md says.  Each daemon, server and the store has a loopback address
 * of its own.  Connections are served by threads; one lock guards all state.
 */
#ifndef WORLD_H
#define WORLD_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define FRONTS 6
#define SERVERS 3
#define SERVICE "huvo11a"
#define DB_PRIMARY "lepu270"  /* route of kind primary */
#define DB_OWN "fiti832ti23"  /* route of kind read_your_writes */
#define DB_BOUNDED "xapu221"  /* route of kind bounded_staleness */

extern pthread_mutex_t world_lock;

/* --- time and the record --- */

int64_t now_ms (void);      /* since the start of the world */
void sleep_ms (int64_t ms);
void record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));

/* --- set-up --- */

/* Starts the store, the servers and the daemons, and waits until all daemons
 * are ready.  Returns false if that fails.
 */
bool world_start (const char *folder);
void world_stop (void); /* ends the daemons by their process ids */

void front_kill (int front);  /* SIGKILL, and waits for the end */
void front_start (int front);
bool front_is_ready (int front); /* asks GET /v1/readiness */

/* The share of one processor that the daemon used in MS. */
double front_processor_share (int front, int ms);

/* --- the store --- */

/* Writes the configuration; WITH_TIGHT: with a fourth route, "muri814", whose
 * reads may be 200 ms old.
 */
void put_config (int version, bool with_tight);
/* Creates or replaces an object; SPEC is sent as it is.  Returns when the store
 * has accepted it, in ms.
 */
int64_t store_put (const char *kind, const char *name, const char *spec);

/* --- servers --- */

typedef struct
{
  int64_t at_ms;
  int server;
  char id[64];
  char text[256];
  bool first; /* outside of a transaction, or the first statement of one */
} Run;

extern Run *runs; /* all statements that servers ran, with ids of callers */
extern int run_count;

extern int server_work_ms; /* time that a statement holds a slot */
/* Whether the replicas receive nothing. */
extern bool replicas_deaf;
int server_primary (void);
const char *server_id (int server);
const char *server_spec (int server, const char *state, char *out); /* entry */

/* --- callers --- */

typedef struct
{
  int fd;
  char buffer[65536];
  int used;
} Caller;

/* Connects to DB at FRONT.  Returns false if READY does not come in 2 s. */
bool caller_open (Caller *c, int front, const char *db);
void caller_close (Caller *c);
/* Sends bytes as they are. */
bool caller_send (Caller *c, const char *bytes);
/* Reads a line without its end.  Returns false on a timeout or an end. */
bool caller_line (Caller *c, char *out, int size, int timeout_ms);

typedef enum
{
  ANSWER_DONE,   /* COMPLETE */
  ANSWER_ERROR,  /* ERROR */
  ANSWER_NONE    /* the connection ended, or nothing came in time */
} AnswerKind;

typedef struct
{
  AnswerKind kind;
  char text[256];  /* the signature, or the code and its text */
  char row[128];   /* the last row; "" if there was none */
  char state;
} Answer;

/* Sends QUERY ID TEXT and reads the answer; records both. */
Answer caller_query (Caller *c, const char *id, const char *text,
                     int timeout_ms);
/* A new id, as callers give them. */
void new_id (char *out);
/* Whether SIGNATURE is one that a server gave for the statement ID. */
bool is_signature_of (const char *signature, const char *id);

#endif
