/* store: the stand-in server's log and tables.
 *
 * Log entries have consecutive positions, starting at 1.  The tables are built
 * by applying the log up to a position.  If the store has a file, the log
 * survives a restart of the process.
 */
#ifndef SS_STANDIN_STORE_H
#define SS_STANDIN_STORE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/* The table of idempotency keys.  Its keys are unique. */
#define SS_STORE_UNIQUE_TABLE "sapphirestair_requests"

typedef enum
{
  SS_OP_INSERT,
  SS_OP_UPDATE
} SsOpKind;

typedef struct
{
  SsOpKind kind;
  char *table;
  char *key;
  char *value;
} SsOp;

typedef struct
{
  uint64_t term;
  int64_t received_ms; /* 0: loaded from the file */
  char *payload;       /* operations as encoded by ss_ops_encode */
} SsLogEntry;

typedef struct
{
  GArray *entries;    /* of SsLogEntry; index i holds position i + 1 */
  uint64_t applied;   /* position up to which the tables are built */
  GHashTable *tables; /* name -> key -> GPtrArray of values */
  FILE *file;         /* NULL: memory only */
} SsStore;

/* ss_store_init: loads the log from PATH and applies it; later changes are
 * appended to PATH.  With a NULL path, or where it cannot be opened, the log is
 * kept in memory only.
 */
void ss_store_init (SsStore *store, const char *path);
void ss_store_finish (SsStore *store);

/* ss_store_last_position: returns the position of the last log entry; 0: none.
 */
uint64_t ss_store_last_position (const SsStore *store);
/* ss_store_term_at: returns 0 for positions outside the log. */
uint64_t ss_store_term_at (const SsStore *store, uint64_t position);
/* ss_store_entry: POSITION must be in the log; the entry is borrowed. */
const SsLogEntry *ss_store_entry (const SsStore *store, uint64_t position);

/* ss_store_append: appends an entry with a copy of PAYLOAD, without applying
 * it; returns its position.
 */
uint64_t ss_store_append (SsStore *store, uint64_t term, const char *payload,
                          int64_t now_ms);
/* ss_store_apply_to: applies the entries up to POSITION or the end of the log.
 */
void ss_store_apply_to (SsStore *store, uint64_t position);
/* ss_store_truncate: removes the entries after POSITION and rebuilds the tables
 * if any of them was applied.
 */
void ss_store_truncate (SsStore *store, uint64_t position);
/* ss_store_history: returns "TERM:POSITION,...", each term with the position of
 * its first entry; free with g_free.
 */
char *ss_store_history (const SsStore *store);

/* ss_store_values: returns the values of KEY, borrowed, or NULL. */
const GPtrArray *ss_store_values (const SsStore *store, const char *table,
                                  const char *key);
/* ss_store_table: returns the table, key -> GPtrArray of values, borrowed, or
 * NULL.
 */
GHashTable *ss_store_table (const SsStore *store, const char *table);

void ss_op_free (gpointer op);
/* ss_ops_encode: encodes an array of SsOp as text; free with g_free. */
char *ss_ops_encode (const GPtrArray *ops);

#endif
