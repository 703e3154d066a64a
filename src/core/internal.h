/* internal: all declarations that modules of the core share, one header for
 * each layer: membership and configuration; leases and promotions; statements,
 * on the entry side and on the owner side; and operator commands, which use
 * them all.
 */
#ifndef SS_INTERNAL_H
#define SS_INTERNAL_H

#include "core/membership.h"
#include "core/owned.h"
#include "core/promotion.h"
#include "core/requests.h"

/* --- admin.c and admin_show.c: operator commands --- */

void ss_admin_init (SsNode *node);
void ss_admin_finish (SsNode *node);
/* ss_admin_handle_command: runs TEXT as operator request ID; refuses commands
 * that change anything unless MAY_CHANGE.
 */
void ss_admin_handle_command (SsNode *node, uint64_t id, const char *text,
                              bool may_change);
/* ss_admin_handle_object: handles the outcome of platform call CALL; ignores
 * calls of other modules.
 */
void ss_admin_handle_object (SsNode *node, uint64_t call,
                             SsPlatformOutcome outcome, const SsObject *object);
/* ss_admin_handle_promotion: answers the operator command CALL, whose promotion
 * has ended.
 */
void ss_admin_handle_promotion (SsNode *node, uint64_t call, SsVerdict verdict,
                                const char *message, int64_t version);
void ss_admin_show_handle_rows_ask (SsNode *node, const char *from,
                                    const Ss__Peer__RowsAsk *request);
void ss_admin_show_handle_rows_reply (SsNode *node, const char *from,
                                      const Ss__Peer__RowsReply *reply);
void ss_admin_handle_stop_ask (SsNode *node, const char *from,
                               const Ss__Peer__StopAsk *request);
void ss_admin_handle_stop_reply (SsNode *node,
                                 const Ss__Peer__StopReply *reply);
void ss_admin_tick (SsNode *node);

#endif
