/* sql: parses the subset of SQL that the stand-in server supports. */
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
  SS_SQL_COPY_IN,  /* COPY table FROM STDIN */
  SS_SQL_COPY_OUT, /* COPY table TO STDOUT */
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

/* ss_sql_init: parses one statement.  The kind is SS_SQL_INVALID if the
 * statement is not supported.  Free the fields with ss_sql_finish.
 */
void ss_sql_init (SsSql *sql, const char *text);
void ss_sql_finish (SsSql *sql);

/* ss_sql_split: splits TEXT at semicolons outside quotes; free with g_strfreev.
 */
char **ss_sql_split (const char *text);

#endif
