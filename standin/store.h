/* store: the stand-in server's log and tables.
 *
 * The log is a list of entries with positions from 1 on; the tables are what
 * the applied part of the log gives.  With a file, the log outlives the
 * process, as a database's disk does.
 */
#ifndef SS_STANDIN_STORE_H
#define SS_STANDIN_STORE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/* Rows of this table are unique by key. */
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
  int64_t received_ms;
  char *payload; /* operations as text */
} SsLogEntry;

typedef struct
{
  GArray *entries; /* of SsLogEntry; position i + 1 */
  uint64_t applied;
  GHashTable *tables; /* name -> key -> GPtrArray of values */
  FILE *file;         /* NULL: memory only */
} SsStore;

void ss_store_init (SsStore *store, const char *path);
void ss_store_finish (SsStore *store);

uint64_t ss_store_held (const SsStore *store);
/* ss_store_term_at: 0 for position 0. */
uint64_t ss_store_term_at (const SsStore *store, uint64_t position);
const SsLogEntry *ss_store_entry (const SsStore *store, uint64_t position);

/* ss_store_append: PAYLOAD is copied; returns the new position. */
uint64_t ss_store_append (SsStore *store, uint64_t term, const char *payload,
                          int64_t now_ms);
/* ss_store_apply_to: applies held entries up to POSITION. */
void ss_store_apply_to (SsStore *store, uint64_t position);
/* ss_store_truncate: drops what stands after POSITION. */
void ss_store_truncate (SsStore *store, uint64_t position);
/* ss_store_history: "term:first,term:first"; freed by the caller. */
char *ss_store_history (const SsStore *store);

/* ss_store_values: borrowed values of KEY, or NULL. */
const GPtrArray *ss_store_values (const SsStore *store, const char *table,
                                  const char *key);
GHashTable *ss_store_table (const SsStore *store, const char *table);

void ss_op_free (gpointer op);
char *ss_ops_encode (const GPtrArray *ops);

#endif
