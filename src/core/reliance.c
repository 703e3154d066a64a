#include "core/reliance.h"

#include <glib.h>

const char *
ss_reliance_basis_name (SsRelianceBasis basis)
{
  static const char *const names[] = { [SS_RELIANCE_NONE] = "none",
                                       [SS_RELIANCE_LEASE] = "lease",
                                       [SS_RELIANCE_SERVERS] = "servers" };

  return names[basis];
}

bool
ss_reliance_note (SsReliance *reliance, const char *label,
                  SsRelianceBasis basis, uint64_t term, int64_t confirmed_ms,
                  int64_t now_ms)
{
  SsReliedStatement *s = &reliance->last[reliance->next];
  bool changed = reliance->basis != basis || reliance->term != term;

  g_strlcpy (s->label, label ? label : "-", sizeof s->label);
  s->basis = basis;
  s->term = term;
  s->confirmed_ms = confirmed_ms;
  s->at_ms = now_ms;
  reliance->next = (reliance->next + 1) % SS_RELIANCE_STATEMENTS;
  reliance->basis = basis;
  reliance->term = term;
  return changed;
}

bool
ss_reliance_take (SsReliance *reliance, uint64_t term, int64_t since_ms,
                  SsReliedStatement *found)
{
  for (uint32_t i = 0; i < SS_RELIANCE_STATEMENTS; i++)
    {
      SsReliedStatement *s
          = &reliance->last[(reliance->next + i) % SS_RELIANCE_STATEMENTS];

      *found = *s;
      s->at_ms = 0;
      if (found->at_ms && found->at_ms >= since_ms && found->term < term)
        return true;
    }
  return false;
}
