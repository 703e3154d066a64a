/* links: the connections to targets, whatever protocol they speak.
 *
 * Carries out the core's actions on them and tells it what became of each.
 * What goes to a target and comes from it is the plug-in's.
 */
#ifndef SS_LINKS_H
#define SS_LINKS_H

#include "kernel/plugin.h"

#define SS_LINK_CELLS_MAX 16
/* As the core knows a target that has no connection to spare. */
#define SS_LINK_TOO_MANY "53300"

typedef struct SsLinks SsLinks;

/* The first member of a plug-in's connection; freed with g_free. */
typedef struct
{
  SsLinks *links;
  uint64_t id;
  ev_timer failed; /* reports a start or a query that failed at once */
  bool want_row;
  GByteArray *wire; /* the answer so far, for the caller; NULL: nothing */
  char *row[SS_LINK_CELLS_MAX]; /* the first row of the answer */
  uint32_t row_cells;
} SsTargetLink;

typedef struct
{
  uint32_t link_bytes;
  /* Begins to connect as ACTION says. */
  void (*start) (SsTargetLink *link, const SsAction *action);
  /* Sends ACTION's statement; the answer before it is cleared. */
  void (*query) (SsTargetLink *link, const SsAction *action);
  /* Reports that it failed, with ss_link_closed. */
  void (*on_failed) (SsTargetLink *link);
  /* Lets go of what the plug-in holds. */
  void (*finish) (SsTargetLink *link);
} SsLinksClass;

struct SsLinks
{
  const SsLinksClass *klass;
  SsShell *shell;
  GHashTable *by_id; /* id -> SsTargetLink; NULL: not started */
};

/* The actions that a plug-in with links handles. */
#define SS_LINKS_HANDLES                                                       \
  (SS_HANDLES (TARGET_CONNECT) | SS_HANDLES (TARGET_QUERY)                     \
   | SS_HANDLES (TARGET_CLOSE))

void ss_links_init (SsLinks *links, const SsLinksClass *klass, SsShell *shell);
/* ss_links_finish: closes all; does nothing where init was not called. */
void ss_links_finish (SsLinks *links);
void ss_links_action (SsLinks *links, const SsAction *action);
/* ss_links_find: NULL where the core closed it meanwhile. */
SsTargetLink *ss_links_find (const SsLinks *links, uint64_t id);

/* ss_link_keep_cell: adds a copy of TEXT to the row that is kept; what is too
 * much for it is left out.
 */
void ss_link_keep_cell (SsTargetLink *link, const char *text);
/* ss_link_clear: forgets the answer. */
void ss_link_clear (SsTargetLink *link);
/* ss_link_fail_soon: on_failed will be called. */
void ss_link_fail_soon (SsTargetLink *link);

/* The following hand an event to the core, which may close or use LINK: it is
 * not touched after them.
 */
void ss_link_ready (SsTargetLink *link);
/* ss_link_closed: frees LINK and tells the core why, by the members of
 * EVENT's target other than the connection.
 */
void ss_link_closed (SsTargetLink *link, SsEvent *event);
/* ss_link_result: tells RESULT with LINK's wire and row. */
void ss_link_result (SsTargetLink *link, SsTargetResult *result);

#endif
