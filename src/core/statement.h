/* statement: a parsed statement, of a dialect that parses statements. */
#ifndef SS_STATEMENT_H
#define SS_STATEMENT_H

#include <stdbool.h>

#define SS_STATEMENT_KINDS(X)                                                  \
  X (INVALID)                                                                  \
  X (READ)                                                                     \
  X (WRITE)                                                                    \
  X (BEGIN)                                                                    \
  X (COMMIT)                                                                   \
  X (ROLLBACK)                                                                 \
  X (SET)                                                                      \
  X (PREPARE)                                                                  \
  X (EXECUTE)                                                                  \
  X (DEALLOCATE)

typedef enum
{
#define SS_STATEMENT_ENUM(id) SS_STATEMENT_##id,
  SS_STATEMENT_KINDS (SS_STATEMENT_ENUM)
#undef SS_STATEMENT_ENUM
} SsStatementKind;

typedef struct
{
  SsStatementKind kind;
  bool is_read; /* of BEGIN and PREPARE: declared as read-only */
  char *name;   /* of SET, PREPARE, EXECUTE, DEALLOCATE; else NULL */
  char *value;  /* SET: the value; PREPARE: the shape, which says what the
                   prepared statement does; EXECUTE: the arguments */
} SsStatement;

void ss_statement_finish (SsStatement *statement);

#endif
