#include "plugins/metrics.h"

#include "core/owner.h"
#include "core/traffic.h"
#include "core/version.h"

#define TRAFFIC_METRIC "sapphirestair_peer_message_bytes_total"
#define CALLS_METRIC "sapphirestair_platform_calls_by_purpose_total"
#define ROUTES_METRIC "sapphirestair_routes_version"
#define SEQUENCE_METRIC "sapphirestair_routes_sequence"
#define ROUTES_AGE_METRIC "sapphirestair_routes_age_ms"
#define WATCH_METRIC "sapphirestair_watch_revision"
#define WATCH_AGE_METRIC "sapphirestair_watch_age_ms"
/* Targets owned here that the metrics list: a VM rarely owns more. */
#define TARGETS_MAX 64

static void
add_help (GString *out, const char *name, const char *type, const char *help)
{
  g_string_append_printf (out, "# HELP %s %s\n# TYPE %s %s\n", name, help, name,
                          type);
}

static void
add_traffic (GString *out, const SsTraffic *traffic)
{
  add_help (out, TRAFFIC_METRIC, "counter",
            "bytes sent to peers, by kind of message and link");
  for (uint32_t i = 0; i < SS_TRAFFIC_KIND_COUNT; i++)
    for (uint32_t j = 0; j < SS_TRAFFIC_LINK_COUNT; j++)
      g_string_append_printf (
          out,
          TRAFFIC_METRIC "{kind=\"%s\",link=\"%s\"} %" G_GUINT64_FORMAT "\n",
          ss_traffic_kind_name ((SsTrafficKind) i),
          ss_traffic_link_name ((SsTrafficLink) j), traffic->bytes[i][j]);
}

static void
add_platform_calls (GString *out, const SsPlatformCalls *calls)
{
  add_help (out, CALLS_METRIC, "counter",
            "calls on the platform, by purpose and kind of objects");
  for (uint32_t i = 0; i < SS_PLATFORM_PURPOSE_COUNT; i++)
    for (uint32_t j = 0; j < SS_WATCH_COUNT; j++)
      if (calls->calls[i][j])
        g_string_append_printf (
            out,
            CALLS_METRIC "{purpose=\"%s\",objects=\"%s\"} %" G_GUINT64_FORMAT
                         "\n",
            ss_platform_purpose_name ((SsPlatformPurpose) i),
            ss_platform_objects_name ((SsWatch) j), calls->calls[i][j]);
}

static void
add_counters (GString *out, const SsCounters *counters)
{
  for (uint32_t i = 0; i < SS_COUNTER_COUNT; i++)
    {
      const char *name = ss_counter_name ((SsCounterId) i);

      g_string_append_printf (out,
                              "# HELP sapphirestair_%s_total %s\n"
                              "# TYPE sapphirestair_%s_total counter\n"
                              "sapphirestair_%s_total %" G_GUINT64_FORMAT "\n",
                              name, ss_counter_help ((SsCounterId) i), name,
                              name, counters->values[i]);
    }
}

/* --- by organisation --- */

#define LARGEST_ORGANISATIONS 20
#define OPERATIONS_METRIC "sapphirestair_organisation_operations_total"
#define ENDS_METRIC "sapphirestair_organisation_statements_total"
#define REFUSALS_METRIC "sapphirestair_organisation_refusals_total"
#define WAITED_METRIC "sapphirestair_organisation_waited_ms_total"
#define WORST_METRIC "sapphirestair_organisation_worst_tenth_served"

/* Appends the label NAME with the value TEXT, escaped: it holds names that
 * others chose.
 */
static void
add_label (GString *out, const char *name, const char *text)
{
  g_string_append (out, name);
  g_string_append (out, "=\"");
  for (; *text; text++)
    {
      if (*text == '\\' || *text == '"')
        g_string_append_c (out, '\\');
      if (*text == '\n')
        g_string_append (out, "\\n");
      else
        g_string_append_c (out, *text);
    }
  g_string_append_c (out, '"');
}

/* Begins a line of the metric NAME with one label. */
static void
begin_labelled (GString *out, const char *name, const char *label,
                const char *text)
{
  g_string_append (out, name);
  g_string_append_c (out, '{');
  add_label (out, label, text);
  g_string_append (out, "} ");
}

/* Appends the labels of S, without braces: its name, or that it is the rest. */
static void
add_organisation (GString *out, const SsOrganisationStat *s)
{
  if (s->name)
    add_label (out, "organisation", s->name);
  else
    add_label (out, "rest", "true");
}

/* Adds one line of the metric NAME; LABEL may be NULL. */
static void
add_stat (GString *out, const char *name, const SsOrganisationStat *s,
          const char *label, const char *text, uint64_t value)
{
  g_string_append_printf (out, "%s{", name);
  add_organisation (out, s);
  if (label)
    g_string_append_printf (out, ",%s=\"%s\"", label, text);
  g_string_append_printf (out, "} %" G_GUINT64_FORMAT "\n", value);
}

static void
add_operations (GString *out, const SsOrganisationStat *s)
{
  add_stat (out, OPERATIONS_METRIC, s, NULL, NULL, s->operations);
}

static void
add_ends (GString *out, const SsOrganisationStat *s)
{
  add_stat (out, ENDS_METRIC, s, "outcome", "in_time", s->in_time);
  add_stat (out, ENDS_METRIC, s, "outcome", "late", s->late);
  add_stat (out, ENDS_METRIC, s, "outcome", "in_doubt", s->in_doubt);
}

static void
add_refusals (GString *out, const SsOrganisationStat *s)
{
  for (uint32_t i = 0; i < SS_REASON_COUNT; i++)
    if (s->refusals[i])
      add_stat (out, REFUSALS_METRIC, s, "reason",
                ss_reason_name ((SsReason) i), s->refusals[i]);
}

static void
add_waits (GString *out, const SsOrganisationStat *s)
{
  add_stat (out, WAITED_METRIC, s, NULL, NULL, s->waited_ms);
}

/* A metric that has lines for each organisation. */
typedef struct
{
  const char *name;
  const char *help;
  void (*add) (GString *out, const SsOrganisationStat *s);
} OrganisationMetric;

static const OrganisationMetric organisation_metrics[] = {
  { OPERATIONS_METRIC, "single statements and transactions of callers here",
    add_operations },
  { ENDS_METRIC,
    "statements served within or after their latency goal, or in doubt",
    add_ends },
  { REFUSALS_METRIC, "statements refused as not run, by reason", add_refusals },
  { WAITED_METRIC, "time in the queues of targets", add_waits },
};

/* Adds nothing in a deployment without organisations. */
static void
add_organisations (GString *out, const SsOrganisationStats *stats)
{
  SsOrganisationStat rest;
  GPtrArray *largest
      = ss_organisation_stats_largest (stats, LARGEST_ORGANISATIONS, &rest);

  for (size_t i = 0; largest->len && i < G_N_ELEMENTS (organisation_metrics);
       i++)
    {
      const OrganisationMetric *m = &organisation_metrics[i];

      add_help (out, m->name, "counter", m->help);
      for (guint j = 0; j < largest->len; j++)
        m->add (out, g_ptr_array_index (largest, j));
      m->add (out, &rest);
    }
  if (largest->len)
    {
      add_help (out, WORST_METRIC, "gauge",
                "share served in time, of the worst-served tenth of the "
                "organisations");
      g_string_append_printf (out, WORST_METRIC " %.4f\n",
                              ss_organisation_stats_worst_tenth (stats));
    }
  g_ptr_array_free (largest, TRUE);
}

static void
add_gauge (GString *out, const char *name, const char *help, int64_t value)
{
  add_help (out, name, "gauge", help);
  g_string_append_printf (out, "%s %" G_GINT64_FORMAT "\n", name, value);
}

/* Returns what a gauge of the routes object O reports. */
typedef int64_t (*RouteValue) (const SsNode *node, const SsStoredObject *o);

static int64_t
route_revision (const SsNode *node, const SsStoredObject *o)
{
  (void) node;
  return ss_version_revision (o->version);
}

static int64_t
route_sequence (const SsNode *node, const SsStoredObject *o)
{
  (void) node;
  return o->sequence;
}

static int64_t
route_age_ms (const SsNode *node, const SsStoredObject *o)
{
  return node->now_ms - o->adopted_ms;
}

typedef struct
{
  GString *out;
  const SsNode *node;
  const char *name;
  RouteValue value;
} RouteGauge;

static gboolean
add_route (gpointer key, gpointer value, gpointer data)
{
  const RouteGauge *g = data;

  if (!g_str_has_prefix (key, ss_watch_prefix (SS_WATCH_ROUTES)))
    return FALSE;
  begin_labelled (g->out, g->name, "key", key);
  g_string_append_printf (g->out, "%" G_GINT64_FORMAT "\n",
                          g->value (g->node, value));
  return FALSE;
}

/* Adds one line for each routes object. */
static void
add_routes (GString *out, const SsNode *node, const char *name,
            const char *help, RouteValue value)
{
  RouteGauge g = { out, node, name, value };

  add_help (out, name, "gauge", help);
  g_tree_foreach (node->config.objects, add_route, &g);
}

/* Adds one line for each watch of this VM. */
static void
add_watches (GString *out, const SsNode *node, const char *name, bool age)
{
  for (uint32_t i = 0; i < SS_WATCH_COUNT; i++)
    {
      const SsWatchState *watch = &node->watches[i];

      if ((node->params.watches & (1U << i)) && watch->answered_ms)
        g_string_append_printf (out, "%s{watch=\"%s\"} %" G_GINT64_FORMAT "\n",
                                name, ss_watch_prefix ((SsWatch) i),
                                age ? node->now_ms - watch->answered_ms
                                    : ss_version_revision (watch->revision));
    }
}

static void
add_config (GString *out, const SsNode *node)
{
  add_gauge (out, "sapphirestair_config_revision",
             "platform revision up to which the configuration is complete",
             ss_version_revision (node->config.revision));
  add_gauge (out, "sapphirestair_platform_era",
             "number of the platform's store since its last return from a copy",
             node->era);
  add_gauge (out, "sapphirestair_platform_up",
             "1 while the platform answers this VM's watches",
             !node->platform_down);
  add_help (out, WATCH_METRIC, "gauge", "revision that a watch continues from");
  add_watches (out, node, WATCH_METRIC, false);
  add_help (out, WATCH_AGE_METRIC, "gauge",
            "time since a watch was last answered");
  add_watches (out, node, WATCH_AGE_METRIC, true);
  add_routes (out, node, ROUTES_METRIC, "revision of the routes in force",
              route_revision);
  add_routes (out, node, SEQUENCE_METRIC,
              "the operator's number of the routes in force", route_sequence);
  add_routes (out, node, ROUTES_AGE_METRIC,
              "time since that version was adopted", route_age_ms);
}

/* Returns what a gauge of an owned target reports. */
typedef double (*TargetValue) (const SsNode *node, const SsOwnedTarget *owned);

static double
target_limit (const SsNode *node, const SsOwnedTarget *owned)
{
  return ss_pool_capacity ((SsNode *) node, owned);
}

static double
target_slowness (const SsNode *node, const SsOwnedTarget *owned)
{
  return ss_server_speed_factor (&owned->speed, node->now_ms);
}

static double
target_run_ms (const SsNode *node, const SsOwnedTarget *owned)
{
  (void) node;
  return owned->queue.mean_run_ms;
}

typedef struct
{
  GString *out;
  const SsNode *node;
  const char *name;
  TargetValue value;
  uint32_t left;
} TargetGauge;

static gboolean
add_target (gpointer key, gpointer value, gpointer data)
{
  const SsOwnedTarget *owned = value;
  TargetGauge *g = data;

  if (!owned->active)
    return FALSE;
  begin_labelled (g->out, g->name, "target", key);
  g_string_append_printf (g->out, "%.3f\n", g->value (g->node, owned));
  return --g->left == 0;
}

/* Adds one line for each target that this VM owns. */
static void
add_targets (GString *out, const SsNode *node, const char *name,
             const char *help, TargetValue value)
{
  TargetGauge g = { out, node, name, value, TARGETS_MAX };

  add_help (out, name, "gauge", help);
  g_tree_foreach (node->owned, add_target, &g);
}

static void
add_speed (GString *out, const SsNode *node)
{
  if (!node->params.learn_speed)
    return;
  add_targets (out, node, "sapphirestair_target_concurrency_limit",
               "statements sent to a target at once", target_limit);
  add_targets (out, node, "sapphirestair_target_slowness",
               "run times at a target as a multiple of the usual ones",
               target_slowness);
  add_targets (out, node, "sapphirestair_target_run_ms",
               "mean run time of statements at a target", target_run_ms);
}

char *
ss_metrics_text (const SsNode *node)
{
  GString *out = g_string_new (NULL);

  add_counters (out, &node->counters);
  add_traffic (out, &node->traffic);
  add_platform_calls (out, &node->platform_calls);
  add_config (out, node);
  add_organisations (out, &node->organisation_stats);
  add_speed (out, node);
  return g_string_free (out, FALSE);
}
