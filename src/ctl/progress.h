/* progress: the query that shows how far a command is. */
#ifndef SS_PROGRESS_H
#define SS_PROGRESS_H

/* ss_progress_query: returns the query that shows the progress of COMMAND, to
 * be freed with g_free, or NULL if COMMAND is no drain or stop: it is done when
 * it is answered.
 */
char *ss_progress_query (const char *command);

#endif
