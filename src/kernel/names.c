#include "kernel/names.h"

#include <string.h>

int
ss_names_compare (gconstpointer a, gconstpointer b, gpointer data)
{
  (void) data;
  return strcmp (a, b);
}
