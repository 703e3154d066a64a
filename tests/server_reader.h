/* server_reader: reads statements as the platform's servers do.
 *
 * Written from the description of the line protocol and not shared with the
 * adapter, so that a text that the two read differently is found: fields are
 * separated by one space, and the last field extends to the end of the line.
 */
#ifndef SS_TESTS_SERVER_READER_H
#define SS_TESTS_SERVER_READER_H

#include "core/statement.h"

/* server_reader_read: reads TEXT into STATEMENT, to be finished with
 * ss_statement_finish.  The kind of a malformed text is SS_STATEMENT_INVALID;
 * the values of the other kinds are the bytes of TEXT unchanged.
 */
void server_reader_read (const char *text, SsStatement *statement);

#endif
