/* sql: the few statements that the stand-in server understands. */
#ifndef SS_STANDIN_SQL_H
#define SS_STANDIN_SQL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define SS_SQL_ARGUMENT_MAX 5

typedef enum
{
  SS_SQL_INVALID,
  SS_SQL_EMPTY,
  SS_SQL_BEGIN,
  SS_SQL_COMMIT,
  SS_SQL_ROLLBACK,
  SS_SQL_SET,
  SS_SQL_INSERT,
  SS_SQL_UPDATE,
  SS_SQL_SELECT,
  SS_SQL_SELECT_NUMBER,
  SS_SQL_CALL
} SsSqlKind;

typedef enum
{
  SS_SQL_KEY_VALUE,
  SS_SQL_VALUE,
  SS_SQL_COUNT
} SsSqlColumns;

typedef struct
{
  SsSqlKind kind;
  bool read_only;
  SsSqlColumns columns;
  char *name; /* table or function */
  char *key;  /* NULL: every row */
  char *value;
  char *arguments[SS_SQL_ARGUMENT_MAX];
  uint32_t argument_count;
} SsSql;

/* ss_sql_init: parses one statement; INVALID where it is not understood. */
void ss_sql_init (SsSql *sql, const char *text);
void ss_sql_finish (SsSql *sql);

/* ss_sql_split: splits at semicolons outside of quotes; g_strfreev. */
char **ss_sql_split (const char *text);

#endif
