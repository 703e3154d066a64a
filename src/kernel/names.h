/* names: comparison function of trees that are keyed by name. */
#ifndef SS_NAMES_H
#define SS_NAMES_H

#include <glib.h>

/* ss_names_compare: a GCompareDataFunc for strings; DATA is unused. */
int ss_names_compare (gconstpointer a, gconstpointer b, gpointer data);

#endif
