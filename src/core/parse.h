/* The stored objects' text, read into types and checked.
 *
 * Each function returns NULL, or a message for whoever wrote the object; the
 * caller frees it.  On an error the output holds what was read so far and is
 * still to be cleared by its owner.
 */
#ifndef SS_CORE_PARSE_H
#define SS_CORE_PARSE_H

#include <jansson.h>

#include "core/config.h"

/* The most connections an object may grant to one server. */
#define SS_CONNECTIONS_MAX 10000
/* The longest time limit that an object may set: 10 minutes. */
#define SS_TIMEOUT_MAX_MS 600000

/* ss_parse_text: member NAME, or FALLBACK where it is missing; with no
 * FALLBACK it must be there.  *OUT is the caller's to free.
 */
char *ss_parse_text (json_t *json, const char *name, const char *fallback,
                     char **out);
/* ss_parse_number: member NAME from LOWEST to HIGHEST.  With a FALLBACK below
 * LOWEST it must be there.
 */
char *ss_parse_number (json_t *json, const char *name, int64_t fallback,
                       int64_t lowest, int64_t highest, int64_t *out);
/* ss_parse_check_keys: refuses members not in ALLOWED, a list of words with a
 * space before and after each.
 */
char *ss_parse_check_keys (json_t *json, const char *allowed);

char *ss_parse_service (SsService *s, json_t *json);
char *ss_parse_target (SsTarget *t, json_t *json);
char *ss_parse_group (SsGroup *g, json_t *json);

#endif
