#include "core/parse.h"

#include <string.h>

#include "kernel/text.h"

#define WEIGHT_MAX 1000

char *
ss_parse_text (json_t *json, const char *name, const char *fallback, char **out)
{
  json_t *value = json_object_get (json, name);
  const char *text;

  if (!value && fallback)
    {
      *out = g_strdup (fallback);
      return NULL;
    }
  text = json_string_value (value);
  if (!text)
    return g_strdup_printf ("\"%s\" must be a string", name);
  *out = g_strdup (text);
  return NULL;
}

char *
ss_parse_number (json_t *json, const char *name, int64_t fallback,
                 int64_t lowest, int64_t highest, int64_t *out)
{
  json_t *value = json_object_get (json, name);

  *out = fallback;
  if (!value && fallback >= lowest)
    return NULL;
  if (!json_is_integer (value) || json_integer_value (value) < lowest
      || json_integer_value (value) > highest)
    return g_strdup_printf ("\"%s\" must be an integer from %" G_GINT64_FORMAT
                            " to %" G_GINT64_FORMAT,
                            name, lowest, highest);
  *out = json_integer_value (value);
  return NULL;
}

char *
ss_parse_flag (json_t *json, const char *name, bool *out)
{
  json_t *value = json_object_get (json, name);

  *out = json_is_true (value);
  if (value && !json_is_boolean (value))
    return g_strdup_printf ("\"%s\" must be true or false", name);
  return NULL;
}

static bool
is_word_of (const char *words, const char *word)
{
  char **list = g_strsplit (words, " ", -1);
  bool found = *word && g_strv_contains ((const char *const *) list, word);

  g_strfreev (list);
  return found;
}

char *
ss_parse_check_keys (json_t *json, const char *allowed)
{
  const char *key;
  json_t *value;

  json_object_foreach (json, key, value)
  {
    if (!is_word_of (allowed, key))
      return g_strdup_printf ("unknown member \"%s\"; allowed are%s", key,
                              allowed);
  }
  return NULL;
}

static char *
parse_kinds (SsService *s, json_t *kinds)
{
  const char *name;
  json_t *kind;

  if (kinds && !json_is_object (kinds))
    return g_strdup ("\"kinds\" must be an object");
  json_object_foreach (kinds, name, kind)
  {
    char *error = ss_parse_check_keys (kind, " staleness_ms ");
    int64_t staleness_ms;

    if (!error)
      error = ss_parse_number (kind, "staleness_ms", -1, 0, SS_STALENESS_MAX_MS,
                               &staleness_ms);
    if (error)
      return error;
    if (s->kind_count == SS_CONFIG_KINDS_MAX)
      return g_strdup ("\"kinds\" must have at most " G_STRINGIFY (
          SS_CONFIG_KINDS_MAX) " members");
    s->kinds[s->kind_count].name = g_strdup (name);
    s->kinds[s->kind_count++].staleness_ms = staleness_ms;
  }
  return NULL;
}

char *
ss_parse_service (SsService *s, json_t *json)
{
  char *acknowledge = NULL;
  char *identity = NULL;
  int64_t weight = 1;
  int64_t urgency = 0;
  char *error = ss_parse_check_keys (
      json, " group default_kind acknowledge weight kinds identity "
            "timeout_ms urgency latency_goal_ms public operation ");

  if (!error)
    error = ss_parse_text (json, "group", NULL, &s->group);
  if (!error)
    error = ss_parse_text (json, "default_kind", "", &s->default_kind);
  if (!error)
    error = ss_parse_text (json, "acknowledge", "majority", &acknowledge);
  if (!error)
    error = ss_parse_text (json, "identity", "none", &identity);
  if (!error && g_strcmp0 (identity, "none") != 0
      && g_strcmp0 (identity, "user") != 0)
    error = g_strdup ("\"identity\" must be \"none\" or \"user\"");
  if (!error)
    error = ss_parse_number (json, "weight", 1, 1, WEIGHT_MAX, &weight);
  if (!error)
    error = ss_parse_number (json, "timeout_ms", 0, 0, SS_TIMEOUT_MAX_MS,
                             &s->timeout_ms);
  if (!error)
    error = ss_parse_number (json, "urgency", 0, 0, SS_URGENCY_MAX, &urgency);
  if (!error)
    error = ss_parse_number (json, "latency_goal_ms", 0, 0, SS_TIMEOUT_MAX_MS,
                             &s->latency_goal_ms);
  if (!error)
    error = ss_parse_flag (json, "public", &s->is_public);
  if (!error)
    error = parse_kinds (s, json_object_get (json, "kinds"));
  if (!error && g_strcmp0 (acknowledge, "majority") != 0
      && g_strcmp0 (acknowledge, "primary") != 0)
    error = g_strdup ("\"acknowledge\" must be \"majority\" or \"primary\"");
  if (!error && s->default_kind && *s->default_kind
      && strcmp (s->default_kind, "strict") != 0
      && ss_service_staleness (s, s->default_kind) < 0)
    error = g_strdup ("\"default_kind\" must be empty, \"session\", \"strict\" "
                      "or a name in \"kinds\"");
  s->weight = (uint32_t) weight;
  s->urgency = (uint32_t) urgency;
  s->acknowledge_majority
      = !acknowledge || strcmp (acknowledge, "majority") == 0;
  s->identifies_callers = g_strcmp0 (identity, "user") == 0;
  g_free (identity);
  g_free (acknowledge);
  return error;
}

char *
ss_parse_target (SsTarget *t, json_t *json)
{
  bool has_slots = json_object_get (json, "slots") != NULL;
  int64_t port = 0;
  int64_t max_connections = 0;
  int64_t slots = 0;
  char *error = ss_parse_check_keys (
      json, " group ip port failure_domain max_connections "
            "slots born_ms draining operation ");

  if (!error)
    error = ss_parse_text (json, "group", NULL, &t->group);
  if (!error)
    error = ss_parse_text (json, "ip", NULL, &t->ip);
  if (!error && !g_hostname_is_ip_address (t->ip))
    error = g_strdup ("\"ip\" must be an IP address");
  if (!error)
    error = ss_parse_text (json, "failure_domain", NULL, &t->failure_domain);
  if (!error)
    error = ss_parse_number (json, "port", -1, 1, 65535, &port);
  /* A target with slots may omit max_connections; the limit of its group then
   * applies.
   */
  if (!error && (json_object_get (json, "max_connections") || !has_slots))
    error = ss_parse_number (json, "max_connections", -1, 4, SS_CONNECTIONS_MAX,
                             &max_connections);
  if (!error)
    error = ss_parse_number (json, "slots", 0, 0, SS_SLOTS_MAX, &slots);
  if (!error)
    error = ss_parse_number (json, "born_ms", 0, 0, G_MAXINT64, &t->born_ms);
  if (!error)
    error = ss_parse_flag (json, "draining", &t->draining);
  t->port = (uint16_t) port;
  t->max_connections = (uint32_t) max_connections;
  t->slots = (uint32_t) slots;
  return error;
}

char *
ss_parse_group (SsGroup *g, json_t *json)
{
  int64_t term = 0;
  char *error = ss_parse_check_keys (json, " term primary operation ");

  if (!error)
    error = ss_parse_number (json, "term", -1, 1, G_MAXINT64, &term);
  if (!error)
    error = ss_parse_text (json, "primary", NULL, &g->primary);
  if (!error)
    error = ss_parse_text (json, "operation", "", &g->operation);
  g->term = (uint64_t) term;
  return error;
}

char *
ss_parse_organisation_name (const char *name)
{
  size_t bytes = strlen (name);

  if (bytes && !ss_text_is_word (name))
    return g_strdup ("the name of an organisation must not contain spaces or "
                     "control characters");
  if (bytes == 0 || bytes > SS_ORGANISATION_NAME_MAX_BYTES)
    return g_strdup_printf (
        "the name of an organisation must have 1 to %d bytes",
        SS_ORGANISATION_NAME_MAX_BYTES);
  return NULL;
}

char *
ss_parse_verifier (const char *text)
{
  static const char format[]
      = "^SCRAM-SHA-256\\$[1-9][0-9]{0,6}:[A-Za-z0-9+/]{4,86}={0,2}"
        "\\$[A-Za-z0-9+/]{43}=:[A-Za-z0-9+/]{43}=$";

  if (g_regex_match_simple (format, text, G_REGEX_DOLLAR_ENDONLY, 0))
    return NULL;
  return g_strdup ("a verifier must be "
                   "SCRAM-SHA-256$ITERATIONS:SALT$STORED_KEY:SERVER_KEY");
}

char *
ss_parse_key_name (const char *name)
{
  if (g_regex_match_simple ("^[A-Za-z0-9_-]{1,64}$", name,
                            G_REGEX_DOLLAR_ENDONLY, 0))
    return NULL;
  return g_strdup ("the name of a key must be 1 to 64 letters, digits, _ or -");
}

char *
ss_parse_limits (SsOrganisation *o, json_t *json)
{
  bool has_rate = json_object_get (json, "rate_per_s") != NULL;
  int64_t rate_per_s = 0;
  int64_t burst = 0;
  char *error
      = ss_parse_number (json, "rate_per_s", 0, 0, SS_RATE_MAX, &rate_per_s);

  /* Without a burst of its own, an organisation may send what it may send in
   * one second.
   */
  if (!error)
    error = ss_parse_number (json, "burst", rate_per_s, 0, SS_RATE_MAX, &burst);
  if (!error && !has_rate && json_object_get (json, "burst"))
    error = g_strdup ("\"burst\" needs \"rate_per_s\"");
  o->is_limited = has_rate;
  o->rate_per_s = (uint32_t) rate_per_s;
  o->burst = (uint32_t) burst;
  return error;
}

char *
ss_parse_organisation (SsOrganisation *o, json_t *json)
{
  char *error = ss_parse_check_keys (json, " key_digests rate_per_s burst ");

  if (!error && !json_is_array (json_object_get (json, "key_digests")))
    error = g_strdup ("\"key_digests\" must be an array");
  if (!error)
    error = ss_parse_limits (o, json);
  return error;
}
