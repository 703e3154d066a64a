#include "core/config.h"

#include <jansson.h>
#include <string.h>

#include "core/config_order.h"
#include "core/config_store.h"
#include "core/identity.h"
#include "core/parse.h"
#include "core/version.h"
#include "core/voters.h"
#include "kernel/compare.h"

const char *
ss_server_role_text (SsServerRole role)
{
  static const char *const names[] = {
#define X(id, name) name,
    SS_ROLES (X)
#undef X
  };

  return names[role];
}

static void
stored_free (gpointer data)
{
  SsStoredObject *o = data;

  g_free (o->key);
  g_bytes_unref (o->value);
  g_clear_pointer (&o->compressed, g_bytes_unref);
  g_free (o);
}

static void
service_free (gpointer data)
{
  SsService *s = data;

  for (uint32_t i = 0; i < s->kind_count; i++)
    g_free (s->kinds[i].name);
  g_free (s->name);
  g_free (s->group);
  g_free (s->flow);
  g_free (s->default_kind);
  g_free (s);
}

static void
target_clear_settings (SsTarget *t)
{
  g_free (t->group);
  g_free (t->ip);
  g_free (t->failure_domain);
}

static void
target_free (gpointer data)
{
  SsTarget *t = data;

  target_clear_settings (t);
  g_free (t->name);
  g_free (t);
}

static void
organisation_free (gpointer data)
{
  SsOrganisation *o = data;

  g_clear_pointer (&o->verifiers, g_hash_table_destroy);
  g_free (o->name);
  g_free (o);
}

static void
clear_organisations (SsConfig *c)
{
  g_clear_pointer (&c->keys, g_hash_table_destroy);
  g_clear_pointer (&c->organisations, g_tree_destroy);
}

void
ss_group_free (gpointer group)
{
  SsGroup *g = group;

  g_free (g->name);
  g_free (g->primary);
  g_free (g->operation);
  g_free (g);
}

static void
free_targets (gpointer targets)
{
  g_ptr_array_free (targets, TRUE);
}

void
ss_config_init (SsConfig *config)
{
  config->objects
      = g_tree_new_full (ss_compare_strings, NULL, NULL, stored_free);
  config->services
      = g_tree_new_full (ss_compare_strings, NULL, NULL, service_free);
  config->targets
      = g_tree_new_full (ss_compare_strings, NULL, NULL, target_free);
  config->groups
      = g_tree_new_full (ss_compare_strings, NULL, NULL, ss_group_free);
  config->voters
      = g_tree_new_full (ss_compare_strings, NULL, NULL, ss_voters_free);
  config->targets_by_group
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_targets);
  config->max_connections
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  config->organisations = NULL;
  config->keys = NULL;
  config->has_organisation_objects = false;
  config->transaction_idle_ms = 0;
  config->hash = 0;
  config->revision = 0;
  config->sequence = 0;
}

void
ss_config_finish (SsConfig *config)
{
  g_tree_destroy (config->objects);
  g_tree_destroy (config->services);
  g_hash_table_destroy (config->targets_by_group);
  g_tree_destroy (config->targets);
  g_tree_destroy (config->groups);
  g_tree_destroy (config->voters);
  g_hash_table_destroy (config->max_connections);
  clear_organisations (config);
}

/* Sets the servers of GROUP, which may be NULL, to the targets that name it. */
static void
attach_servers (const SsConfig *c, SsGroup *group)
{
  const GPtrArray *targets
      = group ? ss_config_group_targets (c, group->name) : NULL;

  if (!group)
    return;
  group->server_count = 0;
  group->primary_server = NULL;
  for (guint i = 0; targets && i < targets->len; i++)
    {
      SsTarget *t = g_ptr_array_index (targets, i);

      if (t->removed || group->server_count == SS_CONFIG_SERVERS_MAX)
        continue;
      group->servers[group->server_count++] = t;
      if (strcmp (t->name, group->primary) == 0)
        group->primary_server = t;
    }
  ss_group_count_voters (group, ss_config_voters (c, group->name), targets);
}

static gint
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp ((*(const SsTarget *const *) a)->name,
                 (*(const SsTarget *const *) b)->name);
}

/* All VMs list the servers of a group in the order of their names. */
static void
index_target (SsConfig *c, SsTarget *t)
{
  GPtrArray *targets = g_hash_table_lookup (c->targets_by_group, t->group);

  if (!targets)
    {
      targets = g_ptr_array_new ();
      g_hash_table_insert (c->targets_by_group, g_strdup (t->group), targets);
    }
  g_ptr_array_add (targets, t);
  g_ptr_array_sort (targets, compare_names);
}

/* T has a group. */
static void
unindex_target (SsConfig *c, SsTarget *t)
{
  GPtrArray *targets = g_hash_table_lookup (c->targets_by_group, t->group);

  g_ptr_array_remove (targets, t);
  if (!targets->len)
    g_hash_table_remove (c->targets_by_group, t->group);
}

static char *
adopt_service (SsConfig *c, const char *name, const char *flow, int64_t version,
               json_t *json)
{
  SsService *s = g_new0 (SsService, 1);
  char *error = ss_parse_service (s, json);

  s->name = g_strdup (name);
  s->flow = g_strdup (flow);
  s->version = version;
  if (error)
    service_free (s);
  else
    g_tree_replace (c->services, s->name, s);
  return error;
}

static bool
is_same_server (const SsTarget *before, const SsTarget *parsed)
{
  return before->born_ms == parsed->born_ms && before->port == parsed->port
         && g_strcmp0 (before->ip, parsed->ip) == 0;
}

/* Another server process has the name of T: what was known of the former one is
 * void, and so are reports that were asked for before NOW_MS.
 */
static void
forget_server (SsTarget *t, int64_t now_ms)
{
  bool is_known = t->state_ms != 0;

  t->incarnation++;
  memset (&t->state, 0, sizeof t->state);
  if (is_known)
    t->state_ms = now_ms;
}

/* Updates a known target in place: pointers to it and its state stay valid. */
static char *
adopt_target (SsConfig *c, const char *name, int64_t version, json_t *json,
              int64_t now_ms)
{
  SsTarget parsed = { 0 };
  bool draining_before;
  SsGroup *group_before = NULL;
  bool is_same;
  char *error = ss_parse_target (&parsed, json);
  SsTarget *t;

  if (error)
    {
      target_clear_settings (&parsed);
      return error;
    }
  t = ss_config_target (c, name);
  if (!t)
    {
      t = g_new0 (SsTarget, 1);
      t->name = g_strdup (name);
      g_tree_insert (c->targets, t->name, t);
    }
  group_before = t->group ? ss_config_group (c, t->group) : NULL;
  is_same = is_same_server (t, &parsed);
  if (t->group)
    unindex_target (c, t);
  target_clear_settings (t);
  draining_before = t->draining && !t->unlisted && t->born_ms
                    && t->born_ms == parsed.born_ms
                    && ss_version_era (t->version) != ss_version_era (version);
  t->version = version;
  t->group = parsed.group;
  index_target (c, t);
  t->ip = parsed.ip;
  t->port = parsed.port;
  t->failure_domain = parsed.failure_domain;
  t->max_connections = parsed.max_connections;
  t->slots = parsed.slots;
  /* In a new era the copy's entry may be older: a server that leaves does not
   * stay.
   */
  t->draining = parsed.draining || draining_before;
  t->removed = false;
  t->unlisted = false;
  if (!is_same)
    forget_server (t, now_ms);
  t->born_ms = parsed.born_ms;
  t->owner_generation = 0;
  if (group_before != ss_config_group (c, t->group))
    attach_servers (c, group_before);
  attach_servers (c, ss_config_group (c, t->group));
  return NULL;
}

/* Returns since when the group has had no primary, or 0 if it has one.  A claim
 * on a group with a primary raises the term, so no primary was set between two
 * claims of the same term in one era.  Between two eras the platform may have
 * lost the first claim and confirmed the former primary.
 */
static int64_t
no_primary_since (const SsGroup *before, const SsGroup *g, int64_t now_ms)
{
  if (*g->primary)
    return 0;
  if (before && before->term == g->term && before->no_primary_since_ms
      && ss_version_era (before->version) == ss_version_era (g->version))
    return before->no_primary_since_ms;
  return now_ms;
}

/* The same content in a later era: a lease on its primary ends by its own time.
 */
static void
keep_lease (const SsGroup *before, SsGroup *g)
{
  if (!before || before->term != g->term
      || strcmp (before->primary, g->primary) != 0
      || strcmp (before->operation, g->operation) != 0)
    return;
  g->changed_ms = before->changed_ms;
  g->confirmed_ms = before->confirmed_ms;
}

static char *
adopt_group (SsConfig *c, const char *name, int64_t version, json_t *json,
             int64_t now_ms)
{
  SsGroup *g = g_new0 (SsGroup, 1);
  const SsGroup *before;
  char *error = ss_parse_group (g, json);

  g->name = g_strdup (name);
  g->version = version;
  g->changed_ms = now_ms;
  if (error)
    {
      ss_group_free (g);
      return error;
    }
  before = ss_config_group (c, name);
  g->no_primary_since_ms = no_primary_since (before, g, now_ms);
  keep_lease (before, g);
  g_tree_replace (c->groups, g->name, g);
  attach_servers (c, g);
  return NULL;
}

static void
remove_target (SsTarget *t)
{
  t->removed = true;
  t->unlisted = false;
  memset (&t->state, 0, sizeof t->state);
}

static bool
is_voter (const SsConfig *c, const SsTarget *t)
{
  const SsVoters *v = ss_config_voters (c, t->group);

  return v && ss_voters_contain (v, t);
}

/* Removes the targets of GROUP that stayed only as voters and are none now. */
static void
remove_former_voters (SsConfig *c, const char *group)
{
  const GPtrArray *targets = ss_config_group_targets (c, group);

  for (guint i = 0; targets && i < targets->len; i++)
    {
      SsTarget *t = g_ptr_array_index (targets, i);

      if (t->unlisted && !is_voter (c, t))
        remove_target (t);
    }
}

static char *
adopt_voters (SsConfig *c, const char *group, int64_t version, json_t *json)
{
  char *error;
  SsVoters *v = ss_voters_parse (group, json, &error);

  if (!v)
    return error;
  v->version = version;
  g_tree_replace (c->voters, v->group, v);
  remove_former_voters (c, group);
  attach_servers (c, ss_config_group (c, group));
  return NULL;
}

static void
ensure_group (SsConfig *c, const char *name)
{
  SsGroup *g;

  if (ss_config_group (c, name))
    return;
  g = g_new0 (SsGroup, 1);
  g->name = g_strdup (name);
  g->primary = g_strdup ("");
  g->operation = g_strdup ("");
  g_tree_insert (c->groups, g->name, g);
  attach_servers (c, g);
}

static char *
check_group_limit (json_t *group)
{
  int64_t connections;
  char *error = ss_parse_check_keys (group, " max_connections ");

  if (!error)
    error = ss_parse_number (group, "max_connections", -1, 1,
                             SS_CONNECTIONS_MAX, &connections);
  return error;
}

static char *
check_group_limits (json_t *groups)
{
  const char *name;
  json_t *group;
  char *error = NULL;

  json_object_foreach (groups, name, group)
  {
    if (!error)
      error = check_group_limit (group);
  }
  return error;
}

/* Adopts limits that are checked. */
static void
adopt_group_limits (SsConfig *c, json_t *groups)
{
  const char *name;
  json_t *group;

  json_object_foreach (groups, name, group)
  {
    json_int_t connections
        = json_integer_value (json_object_get (group, "max_connections"));

    g_hash_table_replace (c->max_connections, g_strdup (name),
                          GINT_TO_POINTER ((gint) connections));
    ensure_group (c, name);
  }
}

/* A key belongs to one organisation: a second one that lists it is invalid. */
static char *
adopt_key (SsConfig *c, SsOrganisation *o, json_t *digest)
{
  const char *text = json_string_value (digest);
  const SsOrganisation *holder;

  if (!text || strlen (text) != SS_KEY_DIGEST_BYTES - 1
      || strspn (text, "0123456789abcdef") != SS_KEY_DIGEST_BYTES - 1)
    return g_strdup_printf (
        "\"key_digests\" of \"%s\" must be strings of %d hexadecimal digits",
        o->name, SS_KEY_DIGEST_BYTES - 1);
  holder = ss_config_key (c, text);
  if (holder && holder != o)
    return g_strdup_printf ("\"%s\" and \"%s\" have a key in common",
                            holder->name, o->name);
  g_hash_table_replace (c->keys, g_strdup (text), o);
  return NULL;
}

static char *
adopt_organisation (SsConfig *c, const char *name, json_t *json)
{
  SsOrganisation *o = g_new0 (SsOrganisation, 1);
  char *error = ss_parse_organisation_name (name);
  json_t *digest;
  size_t i;

  if (!error)
    error = ss_parse_organisation (o, json);

  o->name = g_strdup (name);
  g_tree_insert (c->organisations, o->name, o);
  json_array_foreach (json_object_get (json, "key_digests"), i, digest)
  {
    if (!error)
      error = adopt_key (c, o, digest);
  }
  return error;
}

static void
new_organisations (SsConfig *c)
{
  c->organisations
      = g_tree_new_full (ss_compare_strings, NULL, NULL, organisation_free);
  c->keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

/* Replaces all organisations; JSON is NULL where callers need no key.  Keeps
 * the previous ones if any is invalid.
 */
static char *
adopt_organisations (SsConfig *c, json_t *json)
{
  GTree *organisations = c->organisations;
  GHashTable *keys = c->keys;
  const char *name;
  json_t *organisation;
  char *error = NULL;

  if (c->has_organisation_objects)
    return json ? g_strdup ("there are organisation objects already") : NULL;
  c->organisations = NULL;
  c->keys = NULL;
  if (json)
    new_organisations (c);
  if (json && !json_is_object (json))
    error = g_strdup ("\"organisations\" must be an object");
  json_object_foreach (json, name, organisation)
  {
    if (!error)
      error = adopt_organisation (c, name, organisation);
  }
  if (error)
    {
      clear_organisations (c);
      c->organisations = organisations;
      c->keys = keys;
      return error;
    }
  if (organisations)
    {
      g_hash_table_destroy (keys);
      g_tree_destroy (organisations);
    }
  return NULL;
}

/* --- organisation/NAME --- */

static char *
adopt_verifier (SsOrganisation *o, const char *key, json_t *verifier)
{
  const char *text = json_string_value (verifier);
  char *error = ss_parse_key_name (key);

  if (!error)
    error = ss_parse_verifier (text ? text : "");
  if (!error)
    g_hash_table_insert (o->verifiers, g_strdup (key), g_strdup (text));
  return error;
}

static char *
parse_organisation_object (SsOrganisation *o, json_t *json)
{
  json_t *verifiers = json_object_get (json, "key_verifiers");
  const char *key;
  json_t *verifier;
  char *error = ss_parse_check_keys (
      json, " key_verifiers rate_per_s burst operation ");

  if (!error)
    error = ss_parse_organisation_name (o->name);
  if (!error && strchr (o->name, '.'))
    error = g_strdup ("the name of an organisation must not contain a dot");
  if (!error && !json_is_object (verifiers))
    error = g_strdup ("\"key_verifiers\" must be an object");
  if (!error)
    error = ss_parse_limits (o, json);
  json_object_foreach (verifiers, key, verifier)
  {
    if (!error)
      error = adopt_verifier (o, key, verifier);
  }
  return error;
}

static gboolean
belongs_to (gpointer key, gpointer value, gpointer data)
{
  (void) key;
  return value == data;
}

static void
remove_organisation (SsConfig *c, const char *name)
{
  SsOrganisation *o = ss_config_organisation (c, name);

  if (!o)
    return;
  g_hash_table_foreach_remove (c->keys, belongs_to, o);
  g_tree_remove (c->organisations, name);
}

static char *
adopt_organisation_object (SsConfig *c, const char *name, json_t *json)
{
  SsOrganisation *o = g_new0 (SsOrganisation, 1);
  GHashTableIter iter;
  gpointer key;
  gpointer verifier;
  char *error;

  o->name = g_strdup (name);
  o->verifiers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  error = parse_organisation_object (o, json);
  if (!error && c->organisations && !c->has_organisation_objects)
    error = g_strdup ("the routes list organisations already");
  if (error)
    {
      organisation_free (o);
      return error;
    }
  if (!c->organisations)
    new_organisations (c);
  c->has_organisation_objects = true;
  remove_organisation (c, name);
  g_tree_insert (c->organisations, o->name, o);
  g_hash_table_iter_init (&iter, o->verifiers);
  while (g_hash_table_iter_next (&iter, &key, &verifier))
    {
      char digest[SS_KEY_DIGEST_BYTES];
      char *credential = ss_identity_credential (name, key, verifier);

      ss_identity_digest (credential, digest);
      g_hash_table_replace (c->keys, g_strdup (digest), o);
      g_free (credential);
    }
  return NULL;
}

/* Without any organisation object, callers need no key. */
static void
remove_organisation_object (SsConfig *c, const char *name)
{
  remove_organisation (c, name);
  if (!c->has_organisation_objects || g_tree_nnodes (c->organisations))
    return;
  clear_organisations (c);
  c->has_organisation_objects = false;
}

/* Replaces all services: those that JSON does not list are removed.  Keeps the
 * previous services if any part is invalid.  The services of one object are one
 * flow: they are kinds of requests of one customer.
 */
static char *
adopt_routes (SsConfig *c, const char *key, int64_t version, json_t *json)
{
  GTree *before = c->services;
  char *error = ss_parse_check_keys (
      json, " services groups transaction_idle_ms organisations ");
  int64_t idle_ms = 0;
  const char *name;
  json_t *service;

  c->services = g_tree_new_full (ss_compare_strings, NULL, NULL, service_free);
  json_object_foreach (json_object_get (json, "services"), name, service)
  {
    if (!error)
      error = adopt_service (c, name, key, version, service);
  }
  if (!error)
    error = ss_parse_number (json, "transaction_idle_ms", 0, 0,
                             SS_TIMEOUT_MAX_MS, &idle_ms);
  if (!error)
    error = check_group_limits (json_object_get (json, "groups"));
  if (!error)
    error = adopt_organisations (c, json_object_get (json, "organisations"));
  if (error)
    {
      g_tree_destroy (c->services);
      c->services = before;
      return error;
    }
  adopt_group_limits (c, json_object_get (json, "groups"));
  g_tree_destroy (before);
  c->transaction_idle_ms = idle_ms;
  return NULL;
}

/* Updates the version of a target whose object has the same content as before.
 * Returns false if it is another one.  After a restore all targets have new
 * versions, and most the same content.
 */
static bool
refresh_target (SsConfig *c, const SsStoredObject *stored,
                const SsObject *object)
{
  SsTarget *t;

  if (!g_str_has_prefix (object->key, "target/")
      || !ss_stored_object_is_equal (stored, object))
    return false;
  t = ss_config_target (c, strchr (object->key, '/') + 1);
  if (!t || t->removed)
    return false;
  t->version = object->version;
  return true;
}

static char *
adopt_parsed (SsConfig *c, const char *key, int64_t version, const char *value,
              uint32_t value_bytes, int64_t now_ms)
{
  /* The parser's message may quote a key or a verifier, so it is not shown. */
  json_error_t where = { .line = 1, .column = 1 };
  json_t *json
      = json_loadb (value, value_bytes, JSON_REJECT_DUPLICATES, &where);
  char *error = NULL;

  if (!json_is_object (json))
    error = g_strdup_printf ("not a JSON object: line %d, column %d",
                             where.line, where.column);
  else if (g_str_has_prefix (key, "routes/"))
    error = adopt_routes (c, key, version, json);
  else if (g_str_has_prefix (key, "service/"))
    error = adopt_service (c, strchr (key, '/') + 1, key, version, json);
  else if (g_str_has_prefix (key, "target/"))
    error = adopt_target (c, strchr (key, '/') + 1, version, json, now_ms);
  else if (g_str_has_prefix (key, "group/"))
    error = adopt_group (c, strchr (key, '/') + 1, version, json, now_ms);
  else if (g_str_has_prefix (key, SS_VOTERS_PREFIX))
    error = adopt_voters (c, strchr (key, '/') + 1, version, json);
  else if (g_str_has_prefix (key, "organisation/"))
    error = adopt_organisation_object (c, strchr (key, '/') + 1, json);
  json_decref (json);
  return error;
}

/* Only the deletion of a target or an organisation takes effect.  Other objects
 * that are deleted at the platform stay in force until another object replaces
 * them.  A voter that is no longer listed may live: it gets no statements, but
 * is asked for its state and its term.
 */
static void
remove_object (SsConfig *c, const char *key)
{
  SsTarget *t;

  if (g_str_has_prefix (key, "organisation/"))
    remove_organisation_object (c, strchr (key, '/') + 1);
  if (!g_str_has_prefix (key, "target/"))
    return;
  t = ss_config_target (c, strchr (key, '/') + 1);
  if (!t)
    return;
  if (is_voter (c, t))
    {
      t->unlisted = true;
      t->draining = true;
    }
  else
    remove_target (t);
  attach_servers (c, ss_config_group (c, t->group));
}

SsAdoption
ss_config_adopt (SsConfig *config, const SsObject *object, int64_t now_ms,
                 char **error)
{
  const SsStoredObject *stored = ss_config_object (config, object->key);

  *error = NULL;
  if (stored && !ss_config_is_newer (stored, object))
    {
      ss_config_record_seen (config, object, now_ms);
      return SS_ADOPT_NOT_NEWER;
    }
  if (object->deleted)
    remove_object (config, object->key);
  else if (!refresh_target (config, stored, object))
    *error = adopt_parsed (config, object->key, object->version, object->value,
                           object->value_bytes, now_ms);
  if (*error)
    return SS_ADOPT_INVALID;
  ss_config_store_object (config, object, now_ms);
  return SS_ADOPT_DONE;
}

char *
ss_config_check (const char *key, const char *value, uint32_t value_bytes)
{
  SsConfig scratch;
  char *error;

  ss_config_init (&scratch);
  error = adopt_parsed (&scratch, key, 1, value, value_bytes, 0);
  ss_config_finish (&scratch);
  return error;
}

SsService *
ss_config_service (const SsConfig *config, const char *name)
{
  return g_tree_lookup (config->services, name);
}

SsTarget *
ss_config_target (const SsConfig *config, const char *name)
{
  return g_tree_lookup (config->targets, name);
}

SsGroup *
ss_config_group (const SsConfig *config, const char *name)
{
  return g_tree_lookup (config->groups, name);
}

SsOrganisation *
ss_config_organisation (const SsConfig *config, const char *name)
{
  return config->organisations ? g_tree_lookup (config->organisations, name)
                               : NULL;
}

SsOrganisation *
ss_config_key (const SsConfig *config, const char *digest)
{
  return config->keys ? g_hash_table_lookup (config->keys, digest) : NULL;
}

const SsVoters *
ss_config_voters (const SsConfig *config, const char *group)
{
  return g_tree_lookup (config->voters, group);
}

const GPtrArray *
ss_config_group_targets (const SsConfig *config, const char *group)
{
  return g_hash_table_lookup (config->targets_by_group, group);
}

const SsStoredObject *
ss_config_object (const SsConfig *config, const char *key)
{
  return g_tree_lookup (config->objects, key);
}

uint32_t
ss_config_max_connections (const SsConfig *config, const SsTarget *target)
{
  if (target->max_connections)
    return target->max_connections;
  return (uint32_t) GPOINTER_TO_INT (
      g_hash_table_lookup (config->max_connections, target->group));
}

int64_t
ss_service_staleness (const SsService *service, const char *kind)
{
  for (uint32_t i = 0; i < service->kind_count; i++)
    if (strcmp (service->kinds[i].name, kind) == 0)
      return service->kinds[i].staleness_ms;
  return strcmp (kind, "session") == 0 ? 0 : -1;
}

typedef struct
{
  const char *group;
  int64_t staleness_ms;
} StalenessSearch;

static gboolean
find_staleness (gpointer key, gpointer value, gpointer data)
{
  StalenessSearch *search = data;
  const SsService *service = value;

  (void) key;
  if (strcmp (service->group, search->group) != 0)
    return FALSE;
  for (uint32_t i = 0; i < service->kind_count; i++)
    search->staleness_ms
        = MAX (search->staleness_ms, service->kinds[i].staleness_ms);
  return FALSE;
}

int64_t
ss_config_group_staleness (const SsConfig *config, const char *group)
{
  StalenessSearch search = { group, 0 };

  g_tree_foreach (config->services, find_staleness, &search);
  return search.staleness_ms;
}

SsTarget *
ss_group_primary (const SsGroup *group)
{
  return group->primary_server;
}
