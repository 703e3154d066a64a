/* pgserver: serves callers that use the PostgreSQL protocol. */
#include <string.h>
#include <sys/random.h>

#include "core/entry.h"
#include "core/identity.h"
#include "kernel/callers.h"
#include "plugins/pgwire.h"
#include "plugins/scram.h"

#define SETTINGS_MAX 16
#define NONCE_BYTES 18
#define SERVER_VERSION "15.0 (sapphirestair)"

/* A caller that has to prove who it is. */
typedef struct
{
  SsScram scram;
  char *credential; /* what the proof stands for; NULL: an unknown user */
  uint8_t *startup; /* its start-up message */
  uint32_t startup_bytes;
  bool has_first; /* the client's first message was accepted */
} Authentication;

typedef struct
{
  SsCaller base;      /* first: callbacks cast to this struct */
  uint32_t secret;    /* of cancel requests */
  bool skips_to_sync; /* after an error: ignores queries until Sync */
  Authentication *authentication; /* under way; NULL: none */
} Caller;

static SsCallers callers;
static uint8_t mock_secret[SS_SCRAM_KEY_BYTES]; /* of this process */

static GByteArray *
out (Caller *c)
{
  return ss_caller_output (&c->base);
}

static void
end_with_error (Caller *c, SsCallerEnd end, const char *sqlstate,
                const char *message)
{
  ss_log_write (&callers.runtime->log, SS_EVENT_LOG_CALLER_REFUSED, "subject",
                sqlstate, "detail", message, NULL);
  ss_pgwire_error (out (c), "FATAL", sqlstate, message, NULL, NULL);
  c->base.is_told = true;
  ss_caller_close_and_notify (&c->base, end);
}

static void
refuse (Caller *c, const char *sqlstate, const char *message)
{
  end_with_error (c, SS_CALLER_END_REFUSED, sqlstate, message);
}

static void
send_ready (Caller *c)
{
  ss_pgwire_ready (out (c), c->base.status);
  ss_caller_set_idle (&c->base);
}

static void
send_startup_reply (Caller *c)
{
  c->base.status = 'I';
  ss_pgwire_auth_ok (out (c));
  ss_pgwire_parameter (out (c), "server_version", SERVER_VERSION);
  ss_pgwire_parameter (out (c), "server_encoding", "UTF8");
  ss_pgwire_parameter (out (c), "client_encoding", "UTF8");
  ss_pgwire_parameter (out (c), "DateStyle", "ISO, MDY");
  ss_pgwire_parameter (out (c), "integer_datetimes", "on");
  ss_pgwire_parameter (out (c), "standard_conforming_strings", "on");
  ss_pgwire_key_data (out (c), (uint32_t) c->base.id, c->secret);
  send_ready (c);
}

/* --- messages from callers --- */

typedef struct
{
  const char *pairs[SETTINGS_MAX * 2 + 1]; /* name, value, ..., NULL */
  char *copies[SETTINGS_MAX * 2];
  uint32_t count;
  bool has_too_many;
} Settings;

static void
add_setting (void *data, const char *name, const char *value)
{
  Settings *s = data;
  const char *setting = ss_session_setting_name (name);

  if (!setting)
    return;
  if (s->count + 2 > SETTINGS_MAX * 2)
    {
      s->has_too_many = true;
      return;
    }
  s->copies[s->count] = g_strdup (setting);
  s->copies[s->count + 1] = g_strdup (value);
  s->pairs[s->count] = s->copies[s->count];
  s->pairs[s->count + 1] = s->copies[s->count + 1];
  s->count += 2;
}

static void
collect_settings (Settings *s, const SsPgwireMessage *m)
{
  const char *at = m->text;

  memset (s, 0, sizeof *s);
  while (*at)
    {
      const char *value = at + strlen (at) + 1;

      if (strcmp (at, "options") == 0)
        ss_pgwire_parse_options (value, add_setting, s);
      else
        add_setting (s, at, value);
      at = value + strlen (value) + 1;
    }
}

static const char *
user_of (const SsPgwireMessage *m)
{
  const char *user = ss_pgwire_startup_value (m, "user");

  return user ? user : "";
}

static const char *
service_of (const SsPgwireMessage *m)
{
  const char *database = ss_pgwire_startup_value (m, "database");

  return database ? database : user_of (m);
}

/* CREDENTIAL is what the caller has proved; NULL: nothing. */
static void
open_session (Caller *c, const SsPgwireMessage *m, const char *credential)
{
  SsEvent e = { .kind = SS_EVENT_CALLER_OPEN };
  Settings settings;

  collect_settings (&settings, m);
  e.caller_open.caller = c->base.id;
  e.caller_open.service = service_of (m);
  e.caller_open.user = user_of (m);
  e.caller_open.key = credential;
  e.caller_open.settings = settings.pairs;
  if (settings.has_too_many)
    refuse (c, "22023", "too many sapphirestair settings");
  else
    {
      c->base.state = SS_CALLER_OPENING;
      ss_runtime_event (callers.runtime, &e);
    }
  for (uint32_t i = 0; i < settings.count; i++)
    g_free (settings.copies[i]);
}

/* --- authentication --- */

static void
free_authentication (Authentication *a)
{
  if (!a)
    return;
  ss_scram_finish (&a->scram);
  g_free (a->credential);
  g_free (a->startup);
  g_free (a);
}

/* The reply does not tell whether the user or the password is wrong. */
static void
refuse_authentication (Caller *c)
{
  free_authentication (g_steal_pointer (&c->authentication));
  callers.runtime->node.counters.values[SS_COUNTER_UNKNOWN_KEYS]++;
  refuse (c, "28P01", "authentication failed");
}

static void
begin_authentication (Caller *c, const SsPgwireMessage *m)
{
  Authentication *a = g_new0 (Authentication, 1);
  SsScramVerifier verifier;
  const char *text = ss_identity_verifier (&callers.runtime->node.config,
                                           user_of (m), &a->credential);

  if (!text || !ss_scram_verifier_parse (&verifier, text))
    {
      g_clear_pointer (&a->credential, g_free);
      ss_scram_verifier_mock (&verifier, user_of (m), mock_secret);
    }
  ss_scram_init (&a->scram, &verifier);
  a->startup = g_memdup2 (m->text, m->text_bytes);
  a->startup_bytes = m->text_bytes;
  c->authentication = a;
  ss_pgwire_auth_sasl (out (c), SS_SCRAM_MECHANISM);
}

/* Returns a new nonce, to be freed with g_free, or NULL. */
static char *
new_nonce (void)
{
  uint8_t bytes[NONCE_BYTES];

  if (getrandom (bytes, sizeof bytes, 0) != (ssize_t) sizeof bytes)
    return NULL;
  return g_base64_encode (bytes, sizeof bytes);
}

static void
handle_first (Caller *c, const SsPgwireMessage *m)
{
  Authentication *a = c->authentication;
  char *nonce = new_nonce ();
  char *message = ss_pgwire_sasl_initial (m, SS_SCRAM_MECHANISM);
  char *answer
      = nonce && message ? ss_scram_first (&a->scram, message, nonce) : NULL;

  g_free (nonce);
  g_free (message);
  if (!answer)
    {
      refuse_authentication (c);
      return;
    }
  a->has_first = true;
  ss_pgwire_auth_sasl_continue (out (c), answer);
  g_free (answer);
}

static void
handle_final (Caller *c, const SsPgwireMessage *m)
{
  Authentication *a = c->authentication;
  char *message = g_strndup (m->text, m->text_bytes);
  char *answer = ss_scram_final (&a->scram, message);
  SsPgwireMessage startup = { .kind = SS_PGWIRE_STARTUP };

  g_free (message);
  if (!answer || !a->credential)
    {
      g_free (answer);
      refuse_authentication (c);
      return;
    }
  ss_pgwire_auth_sasl_final (out (c), answer);
  g_free (answer);
  c->authentication = NULL;
  startup.text = (const char *) a->startup;
  startup.text_bytes = a->startup_bytes;
  open_session (c, &startup, a->credential);
  free_authentication (a);
}

static void
handle_password (Caller *c, const SsPgwireMessage *m)
{
  if (!c->authentication)
    refuse (c, "08P01", ss_pgwire_message_name (SS_PGWIRE_MALFORMED));
  else if (c->authentication->has_first)
    handle_final (c, m);
  else
    handle_first (c, m);
}

static void
handle_startup (Caller *c, const SsPgwireMessage *m)
{
  if (ss_callers_is_over_limit (&callers))
    refuse (c, "53300", "too many callers on this vm");
  else if (ss_identity_needs_password (&callers.runtime->node.config,
                                       service_of (m)))
    begin_authentication (c, m);
  else
    open_session (c, m, NULL);
}

static void
handle_cancel (const SsPgwireMessage *m)
{
  SsEvent e = { .kind = SS_EVENT_CALLER_CANCEL };
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, callers.by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Caller *c = value;

      if ((uint32_t) c->base.id != m->cancel_process
          || c->secret != m->cancel_secret)
        continue;
      e.caller.caller = c->base.id;
      ss_runtime_event (callers.runtime, &e);
      return;
    }
}

static void
handle_query (Caller *c, const SsPgwireMessage *m)
{
  SsEvent e = { .kind = SS_EVENT_CALLER_STATEMENT };

  ss_caller_set_busy (&c->base, NULL);
  e.caller_statement.caller = c->base.id;
  e.caller_statement.sql = m->text;
  ss_runtime_event (callers.runtime, &e);
}

static void
refuse_extended (Caller *c)
{
  if (c->skips_to_sync)
    return;
  c->skips_to_sync = true;
  ss_pgwire_error (out (c), "ERROR", "0A000",
                   "the extended query protocol is not supported",
                   "verdict=not_run reason=unsupported retry_after_ms=0",
                   "Use simple queries (PQexec).");
}

/* Handles messages of an established session. */
static void
handle_session_message (Caller *c, const SsPgwireMessage *m)
{
  switch (m->kind)
    {
    case SS_PGWIRE_QUERY:
      if (!c->skips_to_sync)
        handle_query (c, m);
      break;
    case SS_PGWIRE_EXTENDED:
      refuse_extended (c);
      break;
    case SS_PGWIRE_SYNC:
      c->skips_to_sync = false;
      send_ready (c);
      break;
    case SS_PGWIRE_FUNCTION_CALL:
      refuse_extended (c);
      c->skips_to_sync = false;
      send_ready (c);
      break;
    case SS_PGWIRE_TERMINATE:
      ss_caller_close_and_notify (&c->base, SS_CALLER_END_CALLER);
      break;
    default:
      break;
    }
}

static void
dispatch_message (Caller *c, const SsPgwireMessage *m)
{
  switch (m->kind)
    {
    case SS_PGWIRE_SSL_REQUEST:
      g_byte_array_append (out (c), (const uint8_t *) "N", 1);
      break;
    case SS_PGWIRE_STARTUP:
      handle_startup (c, m);
      break;
    case SS_PGWIRE_CANCEL:
      handle_cancel (m);
      ss_caller_close (&c->base, SS_CALLER_END_CALLER);
      break;
    case SS_PGWIRE_PASSWORD:
      handle_password (c, m);
      break;
    case SS_PGWIRE_BAD_VERSION:
    case SS_PGWIRE_MALFORMED:
      end_with_error (c, SS_CALLER_END_INVALID, "08P01",
                      ss_pgwire_message_name (m->kind));
      break;
    case SS_PGWIRE_TOO_LARGE:
      end_with_error (c, SS_CALLER_END_INVALID, "54000",
                      ss_pgwire_message_name (m->kind));
      break;
    default:
      handle_session_message (c, m);
      break;
    }
}

static uint32_t
take_message (SsCaller *caller)
{
  Caller *c = (Caller *) caller;
  bool authenticates = c->authentication != NULL;
  SsPgwireMessage m
      = ss_pgwire_read (caller->stream.input->data, caller->stream.input->len,
                        caller->state == SS_CALLER_STARTING && !authenticates);
  uint32_t used_bytes = m.used_bytes;

  if (m.kind == SS_PGWIRE_NONE)
    return 0;
  if (authenticates && m.kind != SS_PGWIRE_PASSWORD)
    refuse_authentication (c);
  else
    dispatch_message (c, &m);
  return used_bytes;
}

static void
on_accept (SsCaller *caller)
{
  ((Caller *) caller)->secret = g_random_int ();
}

static void
on_free (SsCaller *caller)
{
  free_authentication (((Caller *) caller)->authentication);
}

static void
on_timeout (SsCaller *caller)
{
  end_with_error ((Caller *) caller, SS_CALLER_END_TIMEOUT, "57P05",
                  "idle for too long");
}

/* --- actions from the core --- */

static const char *
hint_for (SsVerdict verdict)
{
  switch (verdict)
    {
    case SS_VERDICT_NOT_RUN:
      return "The statement was not run and can be sent again.";
    case SS_VERDICT_MAY_HAVE_RUN:
      return "The statement may have run; repeat it only with the same "
             "idempotency key (sapphirestair.request_id), or check first "
             "whether it took effect.";
    default:
      return NULL;
    }
}

static void
put_failure (Caller *c, const SsAction *a, const char *severity)
{
  char *detail = g_strdup_printf (
      "verdict=%s reason=%s retry_after_ms=%u", ss_verdict_name (a->verdict),
      ss_reason_name (a->reason), a->retry_after_ms);

  ss_pgwire_error (out (c), severity, ss_reason_sqlstate (a->reason),
                   a->text ? a->text : ss_reason_message (a->reason), detail,
                   hint_for (a->verdict));
  g_free (detail);
}

static void
put_success (Caller *c, const SsAction *a)
{
  if (a->bytes)
    {
      gsize bytes;
      const uint8_t *data = g_bytes_get_data (a->bytes, &bytes);

      g_byte_array_append (out (c), data, (guint) bytes);
    }
  else if (a->name)
    {
      const char *name = a->name;
      const char *cell = a->text;

      ss_pgwire_text_columns (out (c), &name, 1);
      ss_pgwire_row (out (c), &cell, 1);
      ss_pgwire_complete (out (c), "SHOW");
    }
  else if (!a->text || !*a->text)
    ss_pgwire_empty_query (out (c));
  else
    ss_pgwire_complete (out (c), a->text);
}

static void
reply (Caller *c, const SsAction *a)
{
  bool was_busy = c->base.state == SS_CALLER_BUSY;

  if (c->base.state == SS_CALLER_OPENING)
    {
      if (a->verdict == SS_VERDICT_RAN)
        send_startup_reply (c);
      else
        put_failure (c, a, "FATAL");
      ss_stream_flush (&c->base.stream);
      return;
    }
  if (!was_busy)
    return;
  c->base.status = a->transaction_status;
  if (a->verdict == SS_VERDICT_RAN || a->bytes)
    put_success (c, a);
  else
    put_failure (c, a, "ERROR");
  send_ready (c);
  ss_caller_resume (&c->base);
}

/* Why the core ends C: in a transaction only a forced stop does. */
static SsCallerEnd
end_of (const Caller *c, const SsAction *a)
{
  if (a->reason != SS_REASON_STOPPING)
    return SS_CALLER_END_REFUSED;
  return c->base.status == 'I' ? SS_CALLER_END_STOP : SS_CALLER_END_FORCED_STOP;
}

static void
close_session (Caller *c, const SsAction *a)
{
  if (a->reason == SS_REASON_STOPPING)
    ss_pgwire_error (out (c), "FATAL", "57P01", "this vm is stopping",
                     "verdict=not_run reason=stopping retry_after_ms=0",
                     "Connect again.");
  /* A caller that is refused has got an error as the reply. */
  c->base.is_told = true;
  ss_caller_close (&c->base, end_of (c, a));
}

static void
on_action (SsRuntime *runtime, SsAction *a)
{
  Caller *c = (Caller *) ss_callers_find (&callers, a->id);

  (void) runtime;
  if (!c)
    return;
  switch (a->kind)
    {
    case SS_ACTION_CALLER_REPLY:
      reply (c, a);
      break;
    case SS_ACTION_CALLER_PARAMETER:
      ss_pgwire_parameter (out (c), a->name, a->text);
      break;
    case SS_ACTION_CALLER_CLOSE:
      close_session (c, a);
      break;
    default:
      break;
    }
}

/* --- plug-in --- */

static bool
is_drained (SsRuntime *runtime)
{
  (void) runtime;
  return ss_callers_is_drained (&callers);
}

static const SsCallersClass callers_class
    = { .caller_bytes = sizeof (Caller),
        .pending_input_max_bytes = 2 * SS_PGWIRE_MESSAGE_MAX_BYTES,
        .take_message = take_message,
        .on_accept = on_accept,
        .on_free = on_free,
        .on_timeout = on_timeout };

static char *
init (SsRuntime *runtime)
{
  if (getrandom (mock_secret, sizeof mock_secret, 0)
      != (ssize_t) sizeof mock_secret)
    return g_strdup ("no random numbers");
  return ss_callers_init (&callers, &callers_class, runtime);
}

static void
finish (SsRuntime *runtime)
{
  (void) runtime;
  ss_callers_finish (&callers);
}

static const SsPlugin plugin
    = { .name = "pgserver",
        .interface = SS_INTERFACE_POSTGRESQL,
        .handles = SS_HANDLES (CALLER_REPLY) | SS_HANDLES (CALLER_PARAMETER)
                   | SS_HANDLES (CALLER_CLOSE),
        .init = init,
        .finish = finish,
        .on_action = on_action,
        .is_drained = is_drained };

SS_PLUGIN_REGISTER (plugin)
