/* platform_api: paths of the calls to the platform's object API. */
#ifndef SS_PLUGINS_PLATFORM_API_H
#define SS_PLUGINS_PLATFORM_API_H

#include <glib.h>

#include "core/event.h"

/* How long the platform holds a watch without a change. */
#define SS_PLATFORM_API_WAIT_MS 8000

/* ss_platform_api_path: returns path and query of the call that A asks for,
 * without a slash at the beginning; to be freed with g_free.  Of a key,
 * "KIND/NAME", the name is escaped.
 */
char *ss_platform_api_path (const SsAction *a);

#endif
