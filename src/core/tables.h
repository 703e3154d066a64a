/* tables: the tables of the "show" command, as rows of JSON. */
#ifndef SS_TABLES_H
#define SS_TABLES_H

#include <glib.h>
#include <jansson.h>

#include "core/command.h"
#include "core/node.h"

/* ss_tables_rows: returns the rows of TABLE that this VM reports: its own
 * sessions, counters and state, the targets that it owns, and the
 * configuration in force.  The caller releases the array.
 */
json_t *ss_tables_rows (SsNode *node, SsTable table);

/* ss_tables_shown_value: returns VALUE, the JSON text of an object, with the
 * number of keys in place of their digests and verifiers; to be freed with
 * free. NULL if VALUE is no JSON.
 */
char *ss_tables_shown_value (const char *value, gsize bytes);

/* ss_tables_is_per_vm: returns whether each VM has rows of its own in TABLE. */
bool ss_tables_is_per_vm (SsTable table);

#endif
