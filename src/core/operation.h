/* operation: a pending operator command. */
#ifndef SS_OPERATION_H
#define SS_OPERATION_H

#include "core/command.h"
#include "core/internal.h"

typedef enum
{
  SS_OPERATION_SHOW,        /* rows of other VMs are pending */
  SS_OPERATION_UPDATE,      /* a write to the platform is pending */
  SS_OPERATION_UPDATE_READ, /* its outcome is unknown: reads the object back */
  SS_OPERATION_PROMOTE,
  SS_OPERATION_STOP
} SsOperationKind;

typedef struct
{
  uint64_t call; /* id of its requests to peers and the platform */
  uint64_t id;   /* of the operator's request */
  SsOperationKind kind;
  SsCommand command;
  json_t *rows;       /* of show: the rows received so far */
  GHashTable *silent; /* VMs that have not answered yet */
  char *key;          /* of the object to update */
  char *json;         /* its new value */
  char operation[96]; /* unique id, stored in the new value as "operation" */
  int64_t version;    /* that the update is based on */
  int64_t due_ms;     /* when it times out */
  int64_t asked_ms;   /* start of the current interval of reading back */
} SsOperation;

/* --- admin.c --- */

/* ss_operation_new: creates a pending operation that times out in TIMEOUT_MS.
 * Takes over the contents of COMMAND.
 */
SsOperation *ss_operation_new (SsNode *node, uint64_t id, SsOperationKind kind,
                               SsCommand *command, int64_t timeout_ms);
/* ss_operation_find: returns NULL if the operation has ended. */
SsOperation *ss_operation_find (SsNode *node, uint64_t call);
/* ss_operation_reply: answers operator request ID with VERDICT and BODY; takes
 * over the reference to BODY.
 */
void ss_operation_reply (SsNode *node, uint64_t id, SsVerdict verdict,
                         json_t *body);
/* ss_operation_end: answers OPERATION with MESSAGE, and with VERSION unless it
 * is 0; frees OPERATION.
 */
void ss_operation_end (SsNode *node, SsOperation *operation, SsVerdict verdict,
                       const char *message, int64_t version);

/* --- admin_show.c --- */

/* ss_admin_show: answers COMMAND with the rows of all VMs; takes over the
 * contents of COMMAND.
 */
void ss_admin_show (SsNode *node, uint64_t id, SsCommand *command);
/* ss_admin_show_end: answers with the rows received so far; frees OPERATION. */
void ss_admin_show_end (SsNode *node, SsOperation *operation);

#endif
