#include "kernel/compare.h"

#include <string.h>

int
ss_compare_strings (gconstpointer a, gconstpointer b, gpointer data)
{
  (void) data;
  return strcmp (a, b);
}
