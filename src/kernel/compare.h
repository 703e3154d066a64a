/* compare: comparison function of trees that are keyed by name. */
#ifndef SS_COMPARE_H
#define SS_COMPARE_H

#include <glib.h>

/* ss_compare_strings: a GCompareDataFunc for strings; DATA is unused. */
int ss_compare_strings (gconstpointer a, gconstpointer b, gpointer data);

#endif
