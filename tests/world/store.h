/* store: a stand-in of the platform's metadata store and of the call that
 * promotes a server.
 */
#ifndef SS_TESTS_WORLD_STORE_H
#define SS_TESTS_WORLD_STORE_H

#include <stdbool.h>

/* What becomes of a call of a VM. */
typedef enum
{
  WORLD_CALL_SERVED,
  WORLD_CALL_REFUSED,    /* 503: nothing is done */
  WORLD_CALL_UNANSWERED, /* done, and the connection closed */
  WORLD_CALL_LATE        /* the connection is closed, and done afterwards */
} WorldCallFate;

/* How calls pass between the VMs and the platform.  Each function is called
 * with the connection of the call.
 */
typedef struct
{
  WorldCallFate (*fate) (int fd, const char *method, const char *path);
  /* Waits until a call arrives, or its answer may leave.  Returns false if the
   * connection is given up.
   */
  bool (*await) (int fd, bool is_answer);
} WorldStoreLinks;

/* world_store_set_links: to be called before the start; LINKS lives on. */
void world_store_set_links (const WorldStoreLinks *links);
/* world_store_start: returns false if an address is not free. */
bool world_store_start (void);
/* world_store_put: creates or replaces an object; SPEC is JSON. */
void world_store_put (const char *kind, const char *name, const char *spec);
void world_store_delete (const char *kind, const char *name);

#endif
