#include "core/voters.h"

#include <string.h>

#include "core/parse.h"
#include "core/version.h"

static void
voter_free (gpointer data)
{
  SsVoter *v = data;

  g_free (v->name);
  g_free (v->ip);
  g_free (v);
}

static GPtrArray *
set_new (void)
{
  return g_ptr_array_new_with_free_func (voter_free);
}

static SsVoter *
voter_new (const char *name, const char *ip, uint16_t port, int64_t born_ms)
{
  SsVoter *v = g_new0 (SsVoter, 1);

  v->name = g_strdup (name);
  v->ip = g_strdup (ip);
  v->port = port;
  v->born_ms = born_ms;
  return v;
}

SsVoters *
ss_voters_new (const char *group, uint64_t generation, GPtrArray *current,
               GPtrArray *former)
{
  SsVoters *v = g_new0 (SsVoters, 1);

  v->group = g_strdup (group);
  v->generation = generation;
  v->current = current;
  v->former = former ? former : set_new ();
  return v;
}

void
ss_voters_free (gpointer voters)
{
  SsVoters *v = voters;

  g_free (v->group);
  g_ptr_array_unref (v->current);
  g_ptr_array_unref (v->former);
  g_free (v);
}

/* --- the platform's object --- */

static char *
parse_voter (json_t *json, GPtrArray *set)
{
  SsVoter *v = voter_new (NULL, NULL, 0, 0);
  int64_t port = 0;
  char *error = ss_parse_check_keys (json, " name ip port born_ms ");

  g_ptr_array_add (set, v);
  if (!error)
    error = ss_parse_text (json, "name", NULL, &v->name);
  if (!error)
    error = ss_parse_text (json, "ip", NULL, &v->ip);
  if (!error)
    error = ss_parse_number (json, "port", -1, 1, 65535, &port);
  if (!error)
    error = ss_parse_number (json, "born_ms", 0, 0, G_MAXINT64, &v->born_ms);
  v->port = (uint16_t) port;
  return error;
}

static char *
parse_set (json_t *json, GPtrArray *set)
{
  json_t *item;
  size_t i;
  char *error = NULL;

  if (!json_is_array (json))
    return g_strdup ("the voters are not a list");
  json_array_foreach (json, i, item)
  {
    if (!error)
      error = parse_voter (item, set);
  }
  return error;
}

SsVoters *
ss_voters_parse (const char *group, json_t *json, char **error)
{
  SsVoters *v = ss_voters_new (group, 0, set_new (), NULL);
  int64_t generation = 0;

  *error = ss_parse_check_keys (json, " generation current former ");
  if (!*error)
    *error
        = ss_parse_number (json, "generation", -1, 1, G_MAXINT64, &generation);
  if (!*error)
    *error = parse_set (json_object_get (json, "current"), v->current);
  if (!*error)
    *error = parse_set (json_object_get (json, "former"), v->former);
  v->generation = (uint64_t) generation;
  if (!*error)
    return v;
  ss_voters_free (v);
  return NULL;
}

static json_t *
pack_set (const GPtrArray *set)
{
  json_t *json = json_array ();

  for (guint i = 0; i < set->len; i++)
    {
      const SsVoter *v = g_ptr_array_index (set, i);

      json_array_append_new (json,
                             json_pack ("{s:s, s:s, s:i, s:I}", "name", v->name,
                                        "ip", v->ip, "port", (int) v->port,
                                        "born_ms", (json_int_t) v->born_ms));
    }
  return json;
}

char *
ss_voters_text (const SsVoters *voters)
{
  json_t *json = json_pack ("{s:I, s:o, s:o}", "generation",
                            (json_int_t) voters->generation, "current",
                            pack_set (voters->current), "former",
                            pack_set (voters->former));
  char *text = json_dumps (json, JSON_COMPACT | JSON_SORT_KEYS);

  json_decref (json);
  return text;
}

/* --- sets --- */

GPtrArray *
ss_voters_set_copy (const GPtrArray *set)
{
  GPtrArray *copy = set_new ();

  for (guint i = 0; i < set->len; i++)
    {
      const SsVoter *v = g_ptr_array_index (set, i);

      g_ptr_array_add (copy, voter_new (v->name, v->ip, v->port, v->born_ms));
    }
  return copy;
}

GPtrArray *
ss_voters_set_of (const SsGroup *group, uint32_t servers)
{
  GPtrArray *set = set_new ();

  for (uint32_t i = 0; i < group->server_count; i++)
    {
      const SsTarget *t = group->servers[i];

      if (servers >> i & 1)
        g_ptr_array_add (set, voter_new (t->name, t->ip, t->port, t->born_ms));
    }
  return set;
}

static bool
is_same_voter (const SsVoter *a, const SsVoter *b)
{
  return a->born_ms == b->born_ms && a->port == b->port
         && strcmp (a->name, b->name) == 0 && strcmp (a->ip, b->ip) == 0;
}

static bool
contains (const GPtrArray *set, const SsVoter *voter)
{
  for (guint i = 0; i < set->len; i++)
    if (is_same_voter (g_ptr_array_index (set, i), voter))
      return true;
  return false;
}

bool
ss_voters_set_is_equal (const GPtrArray *a, const GPtrArray *b)
{
  if (a->len != b->len)
    return false;
  for (guint i = 0; i < a->len; i++)
    if (!contains (b, g_ptr_array_index (a, i)))
      return false;
  return true;
}

bool
ss_voter_is_target (const SsVoter *voter, const SsTarget *target)
{
  return voter->born_ms == target->born_ms && voter->port == target->port
         && strcmp (voter->name, target->name) == 0
         && strcmp (voter->ip, target->ip) == 0;
}

static bool
set_contains_target (const GPtrArray *set, const SsTarget *target)
{
  for (guint i = 0; i < set->len; i++)
    if (ss_voter_is_target (g_ptr_array_index (set, i), target))
      return true;
  return false;
}

bool
ss_voters_contain (const SsVoters *voters, const SsTarget *target)
{
  return set_contains_target (voters->current, target)
         || set_contains_target (voters->former, target);
}

/* A copy of the store may list servers that have ended: nothing follows from
 * entries of another era than the voters'.
 */
static bool
is_later (const SsTarget *target, int64_t version)
{
  return target->version > version
         && ss_version_era (target->version) == ss_version_era (version);
}

bool
ss_voter_has_ended (const SsVoter *voter, int64_t version,
                    const GPtrArray *targets)
{
  for (guint i = 0; targets && i < targets->len; i++)
    {
      const SsTarget *t = g_ptr_array_index (targets, i);

      if (t->removed || t->unlisted || !is_later (t, version)
          || ss_voter_is_target (voter, t))
        continue;
      if (strcmp (t->name, voter->name) == 0
          || (t->port == voter->port && strcmp (t->ip, voter->ip) == 0))
        return true;
    }
  return false;
}

/* --- counts --- */

static SsVoterCount
count_set (const GPtrArray *set, int64_t version, const SsGroup *group,
           const GPtrArray *targets)
{
  SsVoterCount count = { 0, 0 };

  for (guint i = 0; i < set->len; i++)
    {
      const SsVoter *v = g_ptr_array_index (set, i);

      if (ss_voter_has_ended (v, version, targets))
        continue;
      count.count++;
      for (uint32_t j = 0; j < group->server_count; j++)
        if (ss_voter_is_target (v, group->servers[j]))
          count.listed |= 1U << j;
    }
  return count;
}

static void
count_listed (SsGroup *group)
{
  group->current.count = group->server_count;
  group->current.listed = (1U << group->server_count) - 1;
  group->former = (SsVoterCount){ 0, 0 };
}

void
ss_group_count_voters (SsGroup *group, const SsVoters *voters,
                       const GPtrArray *targets)
{
  count_listed (group);
  if (!voters)
    return;
  group->former = count_set (voters->former, voters->version, group, targets);
  group->current = count_set (voters->current, voters->version, group, targets);
  /* All voters have ended, and no VM of this version has written others: an
   * earlier version changes the servers and keeps no voters.
   */
  if (!group->current.count)
    count_listed (group);
}

static uint32_t
count_bits (uint32_t bits)
{
  return (uint32_t) __builtin_popcount (bits);
}

static uint32_t
majority (const SsVoterCount *set)
{
  return set->count / 2 + 1;
}

static bool
has_majority (const SsVoterCount *set, uint32_t servers)
{
  return !set->count || count_bits (servers & set->listed) >= majority (set);
}

/* Whether too few voters are left outside SERVERS for a majority. */
static bool
blocks (const SsVoterCount *set, uint32_t servers)
{
  return !set->count
         || set->count - count_bits (servers & set->listed) < majority (set);
}

bool
ss_group_is_majority (const SsGroup *group, uint32_t servers)
{
  return has_majority (&group->current, servers)
         && has_majority (&group->former, servers);
}

bool
ss_group_is_current_majority (const SsGroup *group, uint32_t servers)
{
  return has_majority (&group->current, servers);
}

bool
ss_group_is_all (const SsGroup *group, uint32_t servers)
{
  return count_bits (servers & group->current.listed) == group->current.count
         && count_bits (servers & group->former.listed) == group->former.count;
}

bool
ss_group_is_blocking (const SsGroup *group, uint32_t servers)
{
  return blocks (&group->current, servers) && blocks (&group->former, servers);
}

bool
ss_group_has_former (const SsGroup *group, uint32_t servers)
{
  return blocks (&group->former, servers);
}
