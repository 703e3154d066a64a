/* dialect: how a database server is asked for its state and told its term.
 *
 * One vtable, so that the reading of what the platform's groups offer stands
 * in one place (docs/ASSUMPTIONS.md).
 */
#ifndef SS_DIALECT_H
#define SS_DIALECT_H

#include "core/config.h"

typedef struct SsDialect SsDialect;

struct SsDialect
{
  /* Statements; freed by the caller. */
  char *(*status) (const SsDialect *dialect);
  char *(*raise) (const SsDialect *dialect, uint64_t term);
  char *(*promote) (const SsDialect *dialect, uint64_t term);
  char *(*follow) (const SsDialect *dialect, uint64_t term,
                   const SsTarget *primary);
  /* Reads a row of the status statement; false where it is malformed. */
  bool (*read_status) (const SsDialect *dialect, const char *const *row,
                       uint32_t cells, SsServerState *state);
  /* Request records: claims KEY, records TAG for it, looks it up. */
  char *(*claim_key) (const SsDialect *dialect, const char *key);
  char *(*record_key) (const SsDialect *dialect, const char *key,
                       const char *tag);
  char *(*find_key) (const SsDialect *dialect, const char *key);
};

/* ss_dialect_sql: the functions and the request table in plain SQL. */
const SsDialect *ss_dialect_sql (void);

#endif
