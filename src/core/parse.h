/* parse: parses and validates the JSON text of configuration objects.
 *
 * Each function returns NULL on success, or an error message for the author of
 * the object, to be freed by the caller.  On an error the output holds what was
 * parsed so far and still has to be cleared by its owner.
 */
#ifndef SS_CORE_PARSE_H
#define SS_CORE_PARSE_H

#include <jansson.h>

#include "core/config.h"

/* Upper limit of max_connections for one server. */
#define SS_CONNECTIONS_MAX 10000
/* Upper limit of the statements that a server runs at once. */
#define SS_SLOTS_MAX 100000
/* Upper limit of a service's urgency. */
#define SS_URGENCY_MAX 1000
/* Upper limit of a read kind's staleness: one week. */
#define SS_STALENESS_MAX_MS (7LL * 24 * 3600 * 1000)
/* Upper limit of time-outs in objects: 10 minutes. */
#define SS_TIMEOUT_MAX_MS 600000
/* Upper limit of an organisation's rate, in operations a second, and burst. */
#define SS_RATE_MAX 1000000000
/* Longest name of an organisation. */
#define SS_ORGANISATION_NAME_MAX_BYTES 128

/* ss_parse_text: sets *OUT to a copy of the string member NAME, or of FALLBACK
 * if NAME is missing.  NAME is required if FALLBACK is NULL.  The caller frees
 * *OUT.
 */
char *ss_parse_text (json_t *json, const char *name, const char *fallback,
                     char **out);
/* ss_parse_number: sets *OUT to the integer member NAME, which must be from
 * LOWEST to HIGHEST, or to FALLBACK if NAME is missing.  NAME is required if
 * FALLBACK is below LOWEST.
 */
char *ss_parse_number (json_t *json, const char *name, int64_t fallback,
                       int64_t lowest, int64_t highest, int64_t *out);
/* ss_parse_flag: sets *OUT to the boolean member NAME, or to false if it is
 * missing.
 */
char *ss_parse_flag (json_t *json, const char *name, bool *out);
/* ss_parse_check_keys: rejects JSON if it has members that are not in ALLOWED,
 * a list of names with a space before and after each.
 */
char *ss_parse_check_keys (json_t *json, const char *allowed);

char *ss_parse_service (SsService *s, json_t *json);
char *ss_parse_target (SsTarget *t, json_t *json);
char *ss_parse_group (SsGroup *g, json_t *json);
/* ss_parse_organisation_name: checks NAME, which servers are told in messages
 * whose fields are separated by spaces.
 */
char *ss_parse_organisation_name (const char *name);
/* ss_parse_verifier: checks that TEXT has the format of PostgreSQL's verifiers
 * for SCRAM-SHA-256.  The message does not quote it.
 */
char *ss_parse_verifier (const char *text);
/* ss_parse_key_name: checks the name of a key of an organisation. */
char *ss_parse_key_name (const char *name);
/* ss_parse_limits: parses the rate limit of an organisation. */
char *ss_parse_limits (SsOrganisation *o, json_t *json);
/* ss_parse_organisation: parses the limits, and checks that the digests of the
 * keys are an array.
 */
char *ss_parse_organisation (SsOrganisation *o, json_t *json);

#endif
