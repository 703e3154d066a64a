/* tables: what one vm can tell operators, as rows of JSON. */
#ifndef SS_TABLES_H
#define SS_TABLES_H

#include <jansson.h>

#include "core/command.h"
#include "core/node.h"

/* ss_tables_rows: the rows of TABLE that this vm answers for: its own
 * sessions, counters and state, the targets that it owns, and the
 * configuration in force.
 */
json_t *ss_tables_rows (SsNode *node, SsTable table);

/* ss_tables_is_shared: whether every vm has rows of its own in TABLE. */
bool ss_tables_is_shared (SsTable table);

#endif
