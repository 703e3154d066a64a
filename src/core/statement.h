/* statement: what the text of a statement means, where the dialect can tell.
 */
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
  bool is_read; /* of BEGIN and PREPARE: it only reads */
  char *name;   /* of SET, PREPARE, EXECUTE, DEALLOCATE; else NULL */
  char *value;  /* SET: the value; PREPARE: the shape; EXECUTE: arguments */
} SsStatement;

void ss_statement_finish (SsStatement *statement);

#endif
