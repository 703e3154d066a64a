/* scan: GLib's scanner, set up for session settings and operators' commands. */
#ifndef SS_SCAN_H
#define SS_SCAN_H

#include <glib.h>
#include <stdbool.h>

/* ss_scan_new: over TEXT, which is borrowed; names may hold letters, digits
 * and the characters of NAME_EXTRA.  Ends with g_scanner_destroy.
 */
GScanner *ss_scan_new (const char *text, const char *name_extra);

/* ss_scan_word: takes WORD (in any case) if it comes next. */
bool ss_scan_word (GScanner *scanner, const char *word);
/* ss_scan_char: takes C if it comes next. */
bool ss_scan_char (GScanner *scanner, char c);

#endif
