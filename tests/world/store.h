/* store: a stand-in of the platform's metadata store and of the call that
 * promotes a server.
 */
#ifndef SS_TESTS_WORLD_STORE_H
#define SS_TESTS_WORLD_STORE_H

#include <stdbool.h>

/* world_store_start: returns false if an address is not free. */
bool world_store_start (void);
/* world_store_put: creates or replaces an object; SPEC is JSON. */
void world_store_put (const char *kind, const char *name, const char *spec);
void world_store_delete (const char *kind, const char *name);

#endif
