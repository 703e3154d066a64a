/* scanner: GScanner, configured for session settings and operators' commands.
 */
#ifndef SS_SCANNER_H
#define SS_SCANNER_H

#include <glib.h>
#include <stdbool.h>

/* ss_scanner_new: returns a scanner over TEXT, which is borrowed.  Identifiers
 * may hold letters, digits and the characters of NAME_EXTRA.  Free it with
 * g_scanner_destroy.
 */
GScanner *ss_scanner_new (const char *text, const char *name_extra);

/* ss_scanner_next_is_word: consumes the next token and returns true if it is
 * WORD, compared without regard to case.
 */
bool ss_scanner_next_is_word (GScanner *scanner, const char *word);
/* ss_scanner_next_is_char: consumes the next token and returns true if it is C.
 */
bool ss_scanner_next_is_char (GScanner *scanner, char c);

#endif
