#include "kernel/httpc.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

/* A connection whose peer doesn't respond for USER_TIMEOUT_MS counts as broken;
 * keep-alive probes detect it while it is idle.
 */
#define KEEPALIVE_IDLE_S 1L
#define KEEPALIVE_INTERVAL_S 1L
#define USER_TIMEOUT_MS 2500U

typedef struct
{
  ev_io io;
  SsHttpc *client;
} SocketWatcher;

static void
free_call (SsHttpCall *call)
{
  SsHttpc *client = call->client;

  g_hash_table_remove (client->calls, call);
  curl_multi_remove_handle (client->multi, call->easy);
  curl_easy_cleanup (call->easy);
  curl_slist_free_all (call->headers);
  g_byte_array_free (call->response, TRUE);
  g_free (call->body);
  if (call->on_free)
    call->on_free (call);
  g_free (call);
}

static void
finish_call (SsHttpCall *call, CURLcode code)
{
  long status = 0;

  if (code == CURLE_OK)
    curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &status);
  call->status = (int32_t) status;
  if (code == CURLE_OK)
    call->result = SS_HTTP_ANSWERED;
  else if (code == CURLE_COULDNT_CONNECT)
    call->result = SS_HTTP_NOT_SENT;
  else
    call->result = SS_HTTP_UNKNOWN;
  call->on_done (call);
  free_call (call);
}

static void
handle_finished (SsHttpc *client)
{
  CURLMsg *message;
  int left;

  while ((message = curl_multi_info_read (client->multi, &left)))
    {
      CURLcode code = message->data.result;
      CURL *easy = message->easy_handle;
      SsHttpCall *call;

      if (message->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (easy, CURLINFO_PRIVATE, &call);
      finish_call (call, code);
    }
}

/* --- libev integration --- */

static void
on_io (struct ev_loop *loop, ev_io *w, int events)
{
  SsHttpc *client = ((SocketWatcher *) w->data)->client;
  int flags = 0;
  int running;

  (void) loop;
  if (events & EV_READ)
    flags |= CURL_CSELECT_IN;
  if (events & EV_WRITE)
    flags |= CURL_CSELECT_OUT;
  curl_multi_socket_action (client->multi, w->fd, flags, &running);
  handle_finished (client);
}

static void
on_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  SsHttpc *client = w->data;
  int running;

  (void) loop;
  (void) events;
  curl_multi_socket_action (client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  handle_finished (client);
}

static int
set_timer (CURLM *multi, long timeout_ms, void *data)
{
  SsHttpc *client = data;

  (void) multi;
  ev_timer_stop (client->loop, &client->timer);
  if (timeout_ms < 0)
    return 0;
  ev_timer_set (&client->timer, (double) timeout_ms / 1000.0, 0);
  ev_timer_start (client->loop, &client->timer);
  return 0;
}

static int
set_socket (CURL *easy, curl_socket_t fd, int what, void *data, void *known)
{
  SsHttpc *client = data;
  SocketWatcher *s = known;
  int events = 0;

  (void) easy;
  if (what == CURL_POLL_REMOVE)
    {
      if (s)
        ev_io_stop (client->loop, &s->io);
      g_free (s);
      return 0;
    }
  if (!s)
    {
      s = g_new0 (SocketWatcher, 1);
      s->client = client;
      ev_io_init (&s->io, on_io, fd, EV_READ);
      s->io.data = s;
      curl_multi_assign (client->multi, fd, s);
    }
  if (what & CURL_POLL_IN)
    events |= EV_READ;
  if (what & CURL_POLL_OUT)
    events |= EV_WRITE;
  ev_io_stop (client->loop, &s->io);
  ev_io_set (&s->io, fd, events);
  ev_io_start (client->loop, &s->io);
  return 0;
}

static size_t
append_response (char *data, size_t size, size_t count, void *user)
{
  SsHttpCall *call = user;

  if (call->response->len + size * count > SS_HTTPC_RESPONSE_MAX_BYTES)
    return 0;
  g_byte_array_append (call->response, (const uint8_t *) data,
                       (guint) (size * count));
  return size * count;
}

static int
set_user_timeout (void *data, curl_socket_t fd, curlsocktype purpose)
{
  unsigned int timeout_ms = USER_TIMEOUT_MS;

  (void) data;
  (void) purpose;
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
              sizeof timeout_ms);
  return CURL_SOCKOPT_OK;
}

/* --- calls --- */

void
ss_http_call_add_header (SsHttpCall *call, const char *line)
{
  call->headers = curl_slist_append (call->headers, line);
}

void
ss_http_call_start (SsHttpc *client, SsHttpCall *call, const char *method,
                    const char *url, int32_t timeout_ms)
{
  CURL *easy = curl_easy_init ();

  call->client = client;
  call->easy = easy;
  call->response = g_byte_array_new ();
  curl_easy_setopt (easy, CURLOPT_URL, url);
  /* A name in the path may be "..". */
  curl_easy_setopt (easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, call);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append_response);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, call);
  curl_easy_setopt (easy, CURLOPT_SOCKOPTFUNCTION, set_user_timeout);
  curl_easy_setopt (easy, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt (easy, CURLOPT_TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
  curl_easy_setopt (easy, CURLOPT_TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long) timeout_ms);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, method);
  if (client->source_ip)
    curl_easy_setopt (easy, CURLOPT_INTERFACE, client->source_ip);
  if (call->body)
    {
      ss_http_call_add_header (call, "Content-Type: application/json");
      ss_http_call_add_header (call, "Expect:");
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS, call->body);
    }
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, call->headers);
  g_hash_table_add (client->calls, call);
  curl_multi_add_handle (client->multi, easy);
}

const char *
ss_http_call_header (const SsHttpCall *call, const char *name)
{
  struct curl_header *header;

  if (curl_easy_header (call->easy, name, 0, CURLH_HEADER, -1, &header)
      != CURLHE_OK)
    return NULL;
  return header->value;
}

void
ss_http_call_cancel (SsHttpCall *call)
{
  free_call (call);
}

/* --- set-up and tear-down --- */

bool
ss_httpc_init (SsHttpc *client, struct ev_loop *loop, const char *source_ip)
{
  memset (client, 0, sizeof *client);
  if (curl_global_init (CURL_GLOBAL_DEFAULT) != CURLE_OK)
    return false;
  client->loop = loop;
  client->source_ip = source_ip;
  client->multi = curl_multi_init ();
  client->calls = g_hash_table_new (NULL, NULL);
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETFUNCTION, set_socket);
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERFUNCTION, set_timer);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERDATA, client);
  ev_timer_init (&client->timer, on_timer, 0, 0);
  client->timer.data = client;
  return true;
}

void
ss_httpc_finish (SsHttpc *client)
{
  GList *calls;

  if (!client->multi)
    return;
  calls = g_hash_table_get_keys (client->calls);
  for (GList *l = calls; l; l = l->next)
    free_call (l->data);
  g_list_free (calls);
  g_hash_table_destroy (client->calls);
  ev_timer_stop (client->loop, &client->timer);
  curl_multi_cleanup (client->multi);
  client->multi = NULL;
}
