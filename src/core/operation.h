/* operation: an operator's question or order that is under way. */
#ifndef SS_OPERATION_H
#define SS_OPERATION_H

#include "core/command.h"
#include "core/internal.h"

typedef enum
{
  SS_OPERATION_ROWS,
  SS_OPERATION_UPDATE,      /* the platform was asked to update */
  SS_OPERATION_UPDATE_READ, /* its answer was lost: the object is read back */
  SS_OPERATION_PROMOTE,
  SS_OPERATION_STOP
} SsOperationKind;

typedef struct
{
  uint64_t call;
  uint64_t id; /* of the operator's request */
  SsOperationKind kind;
  SsCommand command;
  json_t *rows;
  GHashTable *silent; /* vms that did not answer yet */
  char *key;
  char *json;
  char operation[96];
  int64_t version; /* on which the update is based */
  int64_t due_ms;
  int64_t asked_ms;
} SsOperation;

/* --- operate.c --- */

/* ss_operation_new: takes COMMAND; it ends BOUND_MS from now at the latest. */
SsOperation *ss_operation_new (SsNode *node, uint64_t id, SsOperationKind kind,
                               SsCommand *command, int64_t bound_ms);
/* ss_operation_find: NULL where it ended already. */
SsOperation *ss_operation_find (SsNode *node, uint64_t call);
/* ss_operation_reply: answers operator request ID with BODY, which it takes. */
void ss_operation_reply (SsNode *node, uint64_t id, SsVerdict verdict,
                         json_t *body);
/* ss_operation_end: answers OPERATION with MESSAGE, and VERSION where it is not
 * 0; frees it.
 */
void ss_operation_end (SsNode *node, SsOperation *operation, SsVerdict verdict,
                       const char *message, int64_t version);

/* --- show.c --- */

/* ss_show: answers COMMAND, which it takes, with the rows of all vms. */
void ss_show (SsNode *node, uint64_t id, SsCommand *command);
/* ss_show_end: answers with the rows that are there. */
void ss_show_end (SsNode *node, SsOperation *operation);

#endif
