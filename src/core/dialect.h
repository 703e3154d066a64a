/* dialect: how a database server is asked for its state and told its term.
 *
 * One vtable, so that the reading of what the platform's groups offer stands
 * in one place (docs/ASSUMPTIONS.md).
 */
#ifndef SS_DIALECT_H
#define SS_DIALECT_H

#include "core/config.h"
#include "core/statement.h"

typedef struct SsDialect SsDialect;

struct SsDialect
{
  /* Statements; freed by the caller. */
  char *(*status) (const SsDialect *dialect);
  char *(*raise) (const SsDialect *dialect, const SsTarget *target,
                  uint64_t term);
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

  /* Optional from here on: a dialect whose statements can be told apart.
   * Sessions are then kept at the entry: what a session sets and prepares is
   * replayed on the connections that it shares with others, and BEGIN is sent
   * with the first statement of its transaction.
   */

  /* Reads TEXT; an invalid one gets SS_STATEMENT_INVALID. */
  void (*parse) (const SsDialect *dialect, const char *text,
                 SsStatement *statement);
  char *(*reset) (const SsDialect *dialect);
  char *(*set) (const SsDialect *dialect, const char *name, const char *value);
  char *(*prepare) (const SsDialect *dialect, const char *name, bool is_read,
                    const char *shape);
  char *(*execute) (const SsDialect *dialect, const char *name,
                    const char *arguments);
  char *(*begin) (const SsDialect *dialect, bool is_read);
  char *(*rollback) (const SsDialect *dialect);
  /* TEXT with the position that the target must have applied first. */
  char *(*at_floor) (const SsDialect *dialect, SsPosition floor,
                     const char *text);
  /* What a target has to be told so that it follows its group's PRIMARY (NULL:
   * none is named) in TERM; NULL where nothing has to be.
   */
  char *(*reconcile) (const SsDialect *dialect, const SsTarget *target,
                      const SsTarget *primary, uint64_t term);
  /* Servers lead when the platform says so, in a term of their own count. */
  bool platform_promotes;
};

/* ss_dialect_keeps_sessions: whether DIALECT has the optional part. */
static inline bool
ss_dialect_keeps_sessions (const SsDialect *dialect)
{
  return dialect->parse != NULL;
}

/* ss_dialect_sql: the functions and the request table in plain SQL. */
const SsDialect *ss_dialect_sql (void);

#endif
