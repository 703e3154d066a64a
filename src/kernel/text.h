/* text: rules for texts that come from outside. */
#ifndef SS_TEXT_H
#define SS_TEXT_H

#include <stdbool.h>
#include <stddef.h>

/* ss_text_is_word: whether TEXT is not empty and has no space and no control
 * character, so that it can stand in a message whose fields spaces separate.
 */
bool ss_text_is_word (const char *text);

/* ss_text_shorten: returns the beginning of TEXT that is UTF-8 and at most
 * MAX_BYTES long, without a part of a character at its end; to be freed with
 * g_free.
 */
char *ss_text_shorten (const char *text, size_t max_bytes);

#endif
