/* links: the connections to targets, independent of their protocol.
 *
 * Carries out the core's actions on connections and reports the result of each.
 * The plug-in sends statements and parses responses.
 */
#ifndef SS_LINKS_H
#define SS_LINKS_H

#include "kernel/plugin.h"

#define SS_LINK_CELLS_MAX 16
/* SQLSTATE too_many_connections: tells the core that the target's connection
 * limit is reached.
 */
#define SS_LINK_TOO_MANY "53300"

typedef struct SsLinks SsLinks;

/* Base of a plug-in's connection, as its first member; freed with g_free. */
typedef struct
{
  SsLinks *links;
  uint64_t id;
  ev_timer failed;  /* reports a connect or a query that failed at once */
  bool want_row;    /* store the first row of the response */
  GByteArray *wire; /* response so far, in the callers' protocol; NULL: none */
  char *row[SS_LINK_CELLS_MAX]; /* first row of the response */
  uint32_t row_cells;
} SsTargetLink;

typedef struct
{
  uint32_t link_bytes; /* size of the plug-in's connection */
  /* Starts to connect to ACTION's address. */
  void (*start) (SsTargetLink *link, const SsAction *action);
  /* Sends ACTION's statement; the previous response is cleared. */
  void (*query) (SsTargetLink *link, const SsAction *action);
  /* Reports the failure with ss_link_closed. */
  void (*on_failed) (SsTargetLink *link);
  /* Releases the plug-in's resources. */
  void (*finish) (SsTargetLink *link);
} SsLinksClass;

struct SsLinks
{
  const SsLinksClass *klass;
  SsShell *shell;
  GHashTable *by_id; /* id -> SsTargetLink; NULL: not started */
};

/* The actions that a plug-in for targets handles. */
#define SS_LINKS_HANDLES                                                       \
  (SS_HANDLES (TARGET_CONNECT) | SS_HANDLES (TARGET_QUERY)                     \
   | SS_HANDLES (TARGET_CLOSE))

void ss_links_init (SsLinks *links, const SsLinksClass *klass, SsShell *shell);
/* ss_links_finish: closes all connections; does nothing if init was not called.
 */
void ss_links_finish (SsLinks *links);
/* ss_links_action: carries out a connect, a query or a close. */
void ss_links_action (SsLinks *links, const SsAction *action);
/* ss_links_find: returns NULL if the core closed the connection meanwhile. */
SsTargetLink *ss_links_find (const SsLinks *links, uint64_t id);

/* ss_link_keep_cell: appends a copy of TEXT to the stored row; cells beyond
 * SS_LINK_CELLS_MAX are dropped.
 */
void ss_link_keep_cell (SsTargetLink *link, const char *text);
/* ss_link_clear: discards the response. */
void ss_link_clear (SsTargetLink *link);
/* ss_link_fail_soon: has the loop call on_failed. */
void ss_link_fail_soon (SsTargetLink *link);

/* The following functions pass an event to the core, which may close or reuse
 * LINK: don't access it afterwards.
 */
void ss_link_ready (SsTargetLink *link);
/* ss_link_closed: frees LINK and reports its end.  EVENT->target
 * gives the reason; its member connection is set here.
 */
void ss_link_closed (SsTargetLink *link, SsEvent *event);
/* ss_link_result: reports RESULT with LINK's wire and row. */
void ss_link_result (SsTargetLink *link, SsTargetResult *result);

#endif
