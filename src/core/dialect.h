/* dialect: the statements that the proxy sends to database servers.
 *
 * Queries their state, sets their term and keeps request records.  One vtable
 * holds all assumptions about what the platform's server groups offer
 * (docs/ASSUMPTIONS.md).
 */
#ifndef SS_DIALECT_H
#define SS_DIALECT_H

#include "core/config.h"
#include "core/statement.h"

typedef struct SsDialect SsDialect;

struct SsDialect
{
  /* The functions that return text build a statement, to be freed with g_free.
   */
  char *(*status) (const SsDialect *dialect);
  /* Fences TARGET at TERM: a primary of a lower term stops serving as primary,
   * and a replica replicates no lower term.
   */
  char *(*raise) (const SsDialect *dialect, const SsTarget *target,
                  uint64_t term);
  char *(*promote) (const SsDialect *dialect, uint64_t term);
  char *(*follow) (const SsDialect *dialect, uint64_t term,
                   const SsTarget *primary);
  /* Parses a row of the status statement; returns false where it is malformed.
   */
  bool (*read_status) (const SsDialect *dialect, const char *const *row,
                       uint32_t cells, SsServerState *state);
  /* Request records, which deduplicate retried writes: claim the idempotency
   * key KEY, record TAG as its result, look the result up.
   */
  char *(*claim_key) (const SsDialect *dialect, const char *key);
  char *(*record_key) (const SsDialect *dialect, const char *key,
                       const char *tag);
  char *(*find_key) (const SsDialect *dialect, const char *key);

  /* The functions below are optional, for a dialect that parses statements.
   * The entry VM then tracks each session's state: its settings and prepared
   * statements are replayed on connections that sessions share, and BEGIN is
   * sent with the first statement of its transaction.
   */

  /* The longest text of a caller, its id included, for which all statements
   * that are made from it fit in one message; 0: no limit.
   */
  uint32_t text_max_bytes;
  /* Parses TEXT; the kind of an invalid one is SS_STATEMENT_INVALID. */
  void (*parse) (const SsDialect *dialect, const char *text,
                 SsStatement *statement);
  char *(*reset) (const SsDialect *dialect);
  /* The next three return NULL if a text can't be a part of the statement. */
  char *(*set) (const SsDialect *dialect, const char *name, const char *value);
  char *(*prepare) (const SsDialect *dialect, const char *name, bool is_read,
                    const char *shape);
  char *(*execute) (const SsDialect *dialect, const char *name,
                    const char *arguments);
  char *(*begin) (const SsDialect *dialect, bool is_read);
  char *(*rollback) (const SsDialect *dialect);
  /* Returns TEXT with FLOOR added, the position that the target must have
   * applied before it runs TEXT.
   */
  char *(*add_floor) (const SsDialect *dialect, SsPosition floor,
                      const char *text);
  /* Returns the statement that makes TARGET follow its group's PRIMARY (NULL:
   * none is named) in TERM, or NULL where none is needed.
   */
  char *(*reconcile) (const SsDialect *dialect, const SsTarget *target,
                      const SsTarget *primary, uint64_t term);
  /* The platform promotes servers, and the servers number the terms. */
  bool platform_promotes;
};

/* ss_dialect_multiplexes_sessions: whether DIALECT has the optional functions,
 * so that the entry VM tracks session state and sessions share connections.
 */
static inline bool
ss_dialect_multiplexes_sessions (const SsDialect *dialect)
{
  return dialect->parse != NULL;
}

/* ss_dialect_sql: returns the dialect in plain SQL.  It calls functions of the
 * servers and keeps request records in one of their tables.
 */
const SsDialect *ss_dialect_sql (void);

#endif
