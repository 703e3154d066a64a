/* load: types and functions shared by the source files of ss-load. */
#ifndef SS_LOAD_H
#define SS_LOAD_H

#include <ev.h>
#include <libpq-fe.h>
#include <stdbool.h>
#include <stdint.h>

#include "bench/ledger.h"

#define STEPS_MAX 6
#define TABLE "filings"

typedef enum
{
  OP_WRITE,
  OP_WRITE_WITH_ID,
  OP_TRANSACTION,
  OP_READ_OWN,
  OP_READ_ANY,    /* any write acknowledged by must_see_ms */
  OP_READ_BOUNDED /* read with bounded staleness */
} OpKind;

typedef struct
{
  struct ev_loop *loop;
  char **entries; /* "ip:port" */
  char **targets;
  char **admins;
  const char *service;
  int32_t callers;
  int32_t seconds;
  int32_t write_percent;
  int32_t id_percent;
  int32_t transaction_percent;
  int32_t bounded_percent;
  int32_t reconnect_percent;
  int32_t token_percent;
  int32_t think_ms;
  int32_t readers;         /* callers that never write */
  int32_t writer_think_ms; /* -1: think_ms */
  gboolean identity;       /* each caller connects as its own user */
  int64_t staleness_ms;
  char *bounded_kind;
  int64_t started_ms;
  int64_t stop_ms;
  int32_t live_callers;
  bool stopping;
  GRand *rand;
  SsLedger ledger;
} Load;

extern Load load;

typedef struct
{
  int32_t number;
  int32_t sequence;
  PGconn *pq;
  ev_io io;
  ev_timer timer;
  bool connecting;
  char *token;
  SsLedgerWrite *last_acknowledged; /* of this caller's writes */
  OpKind op;
  char *steps[STEPS_MAX];
  int32_t step_count;
  int32_t step;
  SsLedgerWrite *current_write;
  SsLedgerWrite *expected_write; /* looked up by the current read */
  int64_t op_started_ms;
  int64_t must_see_ms;     /* session reads see writes acknowledged by then */
  int64_t token_covers_ms; /* must_see_ms of the session that gave the token */
  bool may_be_absent; /* expected_write may be of another identity, for which
                         nothing is guaranteed */
  int64_t attempt_started_ms;
  int64_t step_started_us;
  int32_t rows;
  bool value_matches;
  bool statement_pending; /* sent, not yet answered */
  bool vm_stopping; /* the entry VM announced that it closes the connection */
  bool failed;
  char sqlstate[6];
  char detail[160];
  bool done;
} Caller;

/* --- ss_load.c --- */

int64_t load_now_ms (void);
/* load_chance: returns true with a probability of PERCENT. */
bool load_chance (int32_t percent);

/* --- load_ops.c --- */

/* load_choose_op: chooses the caller's next operation at random and prepares
 * its statements.
 */
void load_choose_op (Caller *c);
bool load_is_write (const Caller *c);
void load_clear_steps (Caller *c);

/* --- load_report.c --- */

/* load_compare: compares the ledger with the contents of the primary with the
 * highest term.  Waits up to 16 s for a primary; returns false if there is
 * none.
 */
bool load_compare (void);
/* load_print_report: prints the results as one line of JSON. */
void load_print_report (bool compared);

#endif
