/* load: what the parts of ss-load share. */
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
  OP_READ_ANY, /* what was acknowledged before the session arrived */
  OP_READ_AGED
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
  int32_t aged_percent;
  int32_t reconnect_percent;
  int32_t token_percent;
  int32_t think_ms;
  int32_t readers;         /* callers that never write */
  int32_t writer_think_ms; /* -1: think_ms */
  gboolean identity;       /* each caller has its own user name */
  int64_t staleness_ms;
  char *aged_kind;
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
  SsFiling *last_acknowledged; /* last acknowledged */
  OpKind op;
  char *steps[STEPS_MAX];
  int32_t step_count;
  int32_t step;
  SsFiling *current_write;
  SsFiling *expected_write; /* of a read */
  int64_t op_started_ms;
  int64_t must_see_ms;
  int64_t token_covers_ms;   /* what the token covers: acknowledged by then */
  bool may_be_absent; /* another caller's write, not promised */
  int64_t attempt_started_ms;
  int64_t step_started_us;
  int32_t rows;
  bool value_matches;
  bool statement_pending; /* a statement is out */
  bool vm_stopping;  /* the entry vm said that it ends the connection */
  bool failed;
  char sqlstate[6];
  char detail[160];
  bool done;
} Caller;

/* --- ss_load.c --- */

int64_t load_now_ms (void);
bool load_chance (int32_t percent);

/* --- load_ops.c --- */

/* load_choose_op: draws the caller's next operation and its statements. */
void load_choose_op (Caller *c);
bool load_is_write (const Caller *c);
void load_clear_steps (Caller *c);

/* --- load_report.c --- */

/* load_compare: compares the record with the primary of the highest term;
 * false where no target is one.
 */
bool load_compare (void);
void load_print_report (bool compared);

#endif
