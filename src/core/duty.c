#include "core/duty.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

void
ss_duty_init (SsDuty *duty, uint64_t life)
{
  memset (duty, 0, sizeof *duty);
  g_snprintf (duty->life, sizeof duty->life, "%016" G_GINT64_MODIFIER "x",
              life);
}

char *
ss_duty_value (SsDuty *duty, const char *vm, const char *operation,
               int64_t hold_ms)
{
  json_t *json = json_pack ("{s:s, s:s, s:s, s:I, s:I}", "holder", vm,
                            "operation", operation, "life", duty->life, "write",
                            (json_int_t) ++duty->writes, "hold_ms",
                            (json_int_t) hold_ms);
  char *text = json_dumps (json, JSON_COMPACT | JSON_SORT_KEYS);
  char *copy = g_strdup (text);

  free (text);
  json_decref (json);
  return copy;
}

/* Returns the hold time that VALUE names.  A VM of an older version names none.
 */
static int64_t
read_hold_ms (json_t *value)
{
  json_t *hold = json_object_get (value, "hold_ms");

  if (!json_is_integer (hold) || json_integer_value (hold) < 0)
    return SS_DUTY_HOLD_MAX_MS;
  return MIN (json_integer_value (hold), SS_DUTY_HOLD_MAX_MS);
}

static bool
is_own (const SsDuty *duty, json_t *value)
{
  const char *life = json_string_value (json_object_get (value, "life"));

  return life && strcmp (life, duty->life) == 0;
}

void
ss_duty_observe (SsDuty *duty, const SsObject *object, int64_t now_ms)
{
  json_t *value;

  if (object->version <= duty->version)
    return;
  duty->version = object->version;
  value = json_loadb (object->value ? object->value : "", object->value_bytes,
                      0, NULL);
  if (is_own (duty, value))
    duty->free_ms = 0;
  else
    duty->free_ms = now_ms + read_hold_ms (value) + SS_DUTY_CALL_MAX_MS;
  json_decref (value);
}

void
ss_duty_forget (SsDuty *duty)
{
  duty->version = 0;
  duty->free_ms = 0;
}

bool
ss_duty_may_write (const SsDuty *duty, int64_t now_ms)
{
  return now_ms >= duty->free_ms;
}
