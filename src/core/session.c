#include <string.h>

#include "core/entry.h"
#include "core/sql_text.h"

#define KEY_MAX_BYTES 64

#define PREFIX SS_SQL_SETTING_WORD "."

const char *
ss_session_setting_name (const char *parameter)
{
  size_t bytes = strlen (PREFIX);

  return g_ascii_strncasecmp (parameter, PREFIX, bytes) == 0 ? parameter + bytes
                                                             : NULL;
}

static bool
is_request_key (const char *text)
{
  size_t bytes = strlen (text);

  return bytes > 0 && bytes <= KEY_MAX_BYTES
         && strspn (text, "abcdefghijklmnopqrstuvwxyz"
                          "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._:-")
                == bytes;
}

void
ss_session_replace_text (char **field, const char *value)
{
  g_free (*field);
  *field = value && *value ? g_strdup (value) : NULL;
}

static const char *
set_token (SsNode *node, SsSession *s, const char *value)
{
  SsPosition position;

  (void) node;
  if (!value || !ss_position_parse (value, &position))
    return "sapphirestair.token must be TERM/OFFSET";
  ss_session_raise_floor (s, position);
  return NULL;
}

static const char *
set_kind (SsNode *node, SsSession *s, const char *value)
{
  SsService *service = ss_config_service (&node->config, s->service);

  if (value && *value && strcmp (value, "write") != 0
      && strcmp (value, "strict") != 0
      && (!service || ss_service_staleness (service, value) < 0))
    return "sapphirestair.kind must be write, session, strict or a kind of "
           "the service";
  ss_session_replace_text (&s->kind, value);
  return NULL;
}

static const char *
set_deadline (SsNode *node, SsSession *s, const char *value)
{
  guint64 number = 0;

  if (!value)
    s->deadline_ms = node->params.deadline_ms;
  else if (!g_ascii_string_to_unsigned (value, 10, 1, 600000, &number, NULL))
    return "sapphirestair.deadline_ms must be from 1 to 600000";
  else
    s->deadline_ms = (int64_t) number;
  return NULL;
}

static const char *
set_request_id (SsNode *node, SsSession *s, const char *value)
{
  (void) node;
  if (value && *value && !is_request_key (value))
    return "sapphirestair.request_id must be 1 to 64 letters, digits or "
           "one of . _ : -";
  ss_session_replace_text (&s->request_key, value);
  return NULL;
}

static const char *
set_traceparent (SsNode *node, SsSession *s, const char *value)
{
  char **parts;

  (void) node;
  if (!value || !*value)
    {
      ss_session_replace_text (&s->trace, NULL);
      return NULL;
    }
  parts = g_strsplit (value, "-", 4);
  if (g_strv_length (parts) != 4 || strlen (parts[1]) != 32
      || strspn (parts[1], "0123456789abcdef") != 32)
    {
      g_strfreev (parts);
      return "sapphirestair.traceparent must be VERSION-TRACE-SPAN-FLAGS";
    }
  ss_session_replace_text (&s->trace, parts[1]);
  g_strfreev (parts);
  return NULL;
}

typedef struct
{
  const char *name;
  /* Returns NULL or a static error message; VALUE is NULL for a reset. */
  const char *(*set) (SsNode *node, SsSession *s, const char *value);
} SettingRow;

static const SettingRow setting_rows[] = {
  { "token", set_token },
  { "kind", set_kind },
  { "deadline_ms", set_deadline },
  { "request_id", set_request_id },
  { "traceparent", set_traceparent },
};

const char *
ss_session_set (SsNode *node, SsSession *s, const char *name, const char *value)
{
  for (size_t i = 0; i < G_N_ELEMENTS (setting_rows); i++)
    if (g_ascii_strcasecmp (name, setting_rows[i].name) == 0)
      return setting_rows[i].set (node, s, value);
  return "unknown session setting; must be token, kind, deadline_ms, "
         "request_id or traceparent";
}

static void
show_setting (SsNode *node, SsSession *s, const char *name)
{
  char text[SS_POSITION_TEXT_BYTES] = "";
  SsAction *a;

  if (strcmp (name, "token") == 0)
    ss_position_format (s->floor, text);
  else if (strcmp (name, "kind") == 0)
    g_strlcpy (text, s->kind ? s->kind : "", sizeof text);
  else
    {
      ss_session_refuse (
          node, s, SS_REASON_BAD_SETTING,
          "only sapphirestair.token and sapphirestair.kind can be "
          "shown");
      return;
    }
  a = ss_session_reply (node, s, SS_VERDICT_RAN, SS_REASON_NONE, 0);
  a->name = g_strdup_printf ("sapphirestair.%s", name);
  a->text = g_strdup (text);
}

void
ss_session_run_setting (SsNode *node, SsSession *s,
                        const SsSettingStatement *setting)
{
  const char *error;

  if (setting->kind == SS_SETTING_STATEMENT_MALFORMED)
    {
      ss_session_refuse (node, s, SS_REASON_BAD_SETTING,
                         "expected SET sapphirestair.NAME = 'VALUE'");
      return;
    }
  if (setting->kind == SS_SETTING_STATEMENT_SHOW)
    {
      show_setting (node, s, setting->name);
      return;
    }
  error = ss_session_set (node, s, setting->name, setting->value);
  if (error)
    ss_session_refuse (node, s, SS_REASON_BAD_SETTING, error);
  else
    ss_session_reply_tag (node, s, setting->value ? "SET" : "RESET");
}
