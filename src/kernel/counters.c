#include "kernel/counters.h"

const char *
ss_counter_name (SsCounterId id)
{
  static const char *const names[] = {
#define X(id, name, help) name,
    SS_COUNTERS (X)
#undef X
  };

  return names[id];
}

const char *
ss_counter_help (SsCounterId id)
{
  static const char *const helps[] = {
#define X(id, name, help) help,
    SS_COUNTERS (X)
#undef X
  };

  return helps[id];
}
