/* contact: when the platform last answered this VM or one that hears it. */
#include <string.h>

#include "core/membership.h"

typedef struct
{
  const SsNode *node;
  bool found;
} ContactSearch;

/* Whether M hears this VM.  Where relays report, who hears whom is not known.
 */
static bool
hears_self (const SsNode *node, const SsMember *m)
{
  return node->members.relayed
         || (m->heard && g_hash_table_contains (m->heard, node->params.vm));
}

static gboolean
find_contact (gpointer key, gpointer value, gpointer data)
{
  ContactSearch *s = data;
  const SsMember *m = value;

  if (!m->live || !m->platform_up || strcmp (key, s->node->params.vm) == 0
      || !hears_self (s->node, m))
    return FALSE;
  s->found = true;
  return TRUE;
}

void
ss_contact_tick (SsNode *node)
{
  ContactSearch s = { node, node->era_known && !node->platform_down };

  if (!s.found)
    g_tree_foreach (node->members.by_name, find_contact, &s);
  if (s.found)
    node->platform_contact_ms = node->now_ms;
}

void
ss_contact_learn (SsNode *node, const SsMember *m, uint32_t age_ms)
{
  if (hears_self (node, m))
    node->platform_contact_ms
        = MAX (node->platform_contact_ms, node->now_ms - age_ms);
}

bool
ss_contact_is_recent (const SsNode *node)
{
  return node->platform_contact_ms
         && node->now_ms - node->platform_contact_ms < SS_RELIANCE_MS;
}
