/* command: the operators' query and command language.  Grammar:
 *
 *   show TABLE [where FIELD OP VALUE [and ...]] [order by FIELD [desc]]
 *   drain target NAME        undrain target NAME       stop vm NAME
 *   promote group NAME [to SERVER] [if term NUMBER]
 *   set service NAME KEY = VALUE
 *   add key ORGANISATION KEY = 'VERIFIER'
 *   remove key ORGANISATION KEY
 *   help
 */
#ifndef SS_COMMAND_H
#define SS_COMMAND_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define SS_COMMAND_CONDITIONS_MAX 8

#define SS_TABLES(X)                                                           \
  X (SERVICES, "services")                                                     \
  X (TARGETS, "targets")                                                       \
  X (GROUPS, "groups")                                                         \
  X (VMS, "vms")                                                               \
  X (SESSIONS, "sessions")                                                     \
  X (ORGANISATIONS, "organisations")                                           \
  X (CONFIG, "config")                                                         \
  X (COUNTERS, "counters")

typedef enum
{
#define SS_TABLE_ENUM(id, name) SS_TABLE_##id,
  SS_TABLES (SS_TABLE_ENUM)
#undef SS_TABLE_ENUM
      SS_TABLE_COUNT
} SsTable;

typedef enum
{
  SS_COMMAND_SHOW,
  SS_COMMAND_DRAIN,
  SS_COMMAND_UNDRAIN,
  SS_COMMAND_STOP,
  SS_COMMAND_PROMOTE,
  SS_COMMAND_SET,
  SS_COMMAND_ADD_KEY,
  SS_COMMAND_REMOVE_KEY,
  SS_COMMAND_HELP
} SsCommandKind;

typedef enum
{
  SS_COMPARE_EQUAL,
  SS_COMPARE_NOT_EQUAL,
  SS_COMPARE_LESS,
  SS_COMPARE_LESS_EQUAL,
  SS_COMPARE_GREATER,
  SS_COMPARE_GREATER_EQUAL
} SsComparison;

typedef struct
{
  char *field;
  SsComparison op;
  char *text;    /* empty if the value is a number */
  double number; /* 0 if the value is a text */
  bool is_number;
} SsCondition;

typedef struct
{
  SsCommandKind kind;
  SsTable table;
  SsCondition conditions[SS_COMMAND_CONDITIONS_MAX];
  uint32_t condition_count;
  char *order_by;
  bool descending;
  char *name;
  char *to;         /* of promote; NULL: any server */
  uint64_t if_term; /* of promote: required current term; 0: any */
  char *key;        /* of set; of add and remove: name of the key */
  json_t *value;    /* of set; of add: the verifier */
} SsCommand;

/* ss_command_init: parses TEXT.  Returns NULL, or an error message that names
 * the column and what was expected; the caller frees it.  Call
 * ss_command_finish in either case.
 */
char *ss_command_init (SsCommand *command, const char *text);
void ss_command_finish (SsCommand *command);

/* ss_table_name: returns a static string. */
const char *ss_table_name (SsTable table);
/* ss_table_find: sets *TABLE; returns false if NAME is not a table.  Ignores
 * case.
 */
bool ss_table_find (const char *name, SsTable *table);

/* ss_command_select: filters and sorts ROWS, an array of objects, in place.
 * Returns NULL, or an error message about an unknown field that the caller
 * frees.
 */
char *ss_command_select (const SsCommand *command, json_t *rows);

extern const char ss_command_help[];

#endif
