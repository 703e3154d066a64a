#include "kernel/caller_end.h"

#define LINES_PER_S 40

static const char *const end_names[] = {
#define SS_CALLER_END_NAME(id, name) name,
  SS_CALLER_ENDS (SS_CALLER_END_NAME)
#undef SS_CALLER_END_NAME
};

static void
count (SsCallerCuts *cuts, SsRuntime *runtime, const SsCallerCut *cut)
{
  uint64_t *counters = runtime->node.counters.values;

  if (cut->at_core || cut->dropped_bytes)
    {
      cuts->unanswered++;
      counters[SS_COUNTER_CALLERS_UNANSWERED]++;
    }
  if (cut->unsent_bytes)
    {
      cuts->unsent++;
      counters[SS_COUNTER_CALLERS_UNSENT]++;
    }
  if (cut->end == SS_CALLER_END_CALLER)
    {
      cuts->by_caller++;
      counters[SS_COUNTER_CALLERS_LEFT]++;
    }
}

/* Whether a line may be written now. */
static bool
consume_quota (SsCallerCuts *cuts, int64_t now_ms)
{
  if (now_ms - cuts->since_ms >= 1000)
    {
      cuts->since_ms = now_ms;
      cuts->lines = 0;
    }
  if (cuts->lines >= LINES_PER_S)
    {
      cuts->left_out++;
      return false;
    }
  cuts->lines++;
  return true;
}

static const char *
place_of (const SsCallerCut *cut)
{
  if (cut->at_core)
    return "core";
  return cut->dropped_bytes ? "input" : "output";
}

void
ss_caller_cuts_note (SsCallerCuts *cuts, SsRuntime *runtime,
                     const SsCallerCut *cut)
{
  char *detail;

  count (cuts, runtime, cut);
  if (!consume_quota (cuts, ss_clock_now_ms (runtime->clock)))
    return;
  detail = g_strdup_printf ("by=%s where=%s age_ms=%" G_GINT64_FORMAT
                            " dropped_bytes=%u unsent_bytes=%u stopping=%d"
                            " left_out=%u",
                            end_names[cut->end], place_of (cut), cut->age_ms,
                            cut->dropped_bytes, cut->unsent_bytes,
                            runtime->node.stopping, cuts->left_out);
  cuts->left_out = 0;
  ss_log_write (&runtime->log, SS_EVENT_LOG_CALLER_CUT, "subject",
                cut->label ? cut->label : "-", "detail", detail, NULL);
  g_free (detail);
}

void
ss_caller_cuts_log_total (const SsCallerCuts *cuts, SsRuntime *runtime)
{
  char *detail = g_strdup_printf (
      "unanswered=%" G_GUINT64_FORMAT " unsent=%" G_GUINT64_FORMAT
      " by_caller=%" G_GUINT64_FORMAT,
      cuts->unanswered, cuts->unsent, cuts->by_caller);

  ss_log_write (&runtime->log, SS_EVENT_LOG_CALLERS_CUT, "subject",
                runtime->settings->vm_name, "detail", detail, NULL);
  g_free (detail);
}
