#include "kernel/httpd.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <string.h>

#define IDLE_TIMEOUT_S 120
#define MEMORY_LIMIT_BYTES 16384

static void
run_daemon (SsHttpd *h)
{
  MHD_UNSIGNED_LONG_LONG timeout_ms;

  MHD_run (h->daemon);
  ev_timer_stop (h->loop, &h->timer);
  if (MHD_get_timeout (h->daemon, &timeout_ms) != MHD_YES)
    return;
  ev_timer_set (&h->timer, (double) timeout_ms / 1000.0 + 0.001, 0);
  ev_timer_start (h->loop, &h->timer);
}

static void
on_io (struct ev_loop *loop, ev_io *w, int events)
{
  (void) loop;
  (void) events;
  run_daemon (w->data);
}

static void
on_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  (void) loop;
  (void) events;
  run_daemon (w->data);
}

static SsHttpRequest *
new_request (SsHttpd *h, struct MHD_Connection *connection, const char *method,
             const char *path)
{
  SsHttpRequest *r = g_new0 (SsHttpRequest, 1);
  const union MHD_ConnectionInfo *info;
  const struct sockaddr_in *address;

  r->httpd = h;
  r->connection = connection;
  r->method = g_strdup (method);
  r->path = g_strdup (path);
  r->body = g_byte_array_new ();
  info = MHD_get_connection_info (connection,
                                  MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  address = (const struct sockaddr_in *) (const void *) info->client_addr;
  inet_ntop (AF_INET, &address->sin_addr, r->client_ip, sizeof r->client_ip);
  return r;
}

static enum MHD_Result
queue_response (SsHttpRequest *r)
{
  struct MHD_Response *response;
  enum MHD_Result result;

  if (r->response_status == 0)
    return MHD_NO;
  response = MHD_create_response_from_buffer (
      strlen (r->response_body), r->response_body, MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (response, "Content-Type", r->response_type);
  if (r->header_name)
    MHD_add_response_header (response, r->header_name, r->header_value);
  result = MHD_queue_response (r->connection, (unsigned) r->response_status,
                               response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
on_request (void *cls, struct MHD_Connection *connection, const char *path,
            const char *method, const char *version, const char *data,
            size_t *data_bytes, void **request)
{
  SsHttpd *h = cls;
  SsHttpRequest *r = *request;

  (void) version;
  if (!r)
    {
      *request = new_request (h, connection, method, path);
      return MHD_YES;
    }
  if (r->replied)
    return queue_response (r);
  if (*data_bytes)
    {
      if (r->body->len + *data_bytes > SS_HTTPD_BODY_MAX_BYTES)
        return MHD_NO;
      g_byte_array_append (r->body, (const uint8_t *) data,
                           (guint) *data_bytes);
      *data_bytes = 0;
      return MHD_YES;
    }
  h->klass->handle (h, r);
  if (r->replied)
    return queue_response (r);
  r->suspended = true;
  MHD_suspend_connection (connection);
  return MHD_YES;
}

static void
on_completed (void *cls, struct MHD_Connection *connection, void **request,
              enum MHD_RequestTerminationCode code)
{
  SsHttpd *h = cls;
  SsHttpRequest *r = *request;

  (void) connection;
  (void) code;
  if (!r)
    return;
  if (!r->replied && h->klass->on_disconnect)
    h->klass->on_disconnect (h, r);
  g_byte_array_free (r->body, TRUE);
  g_free (r->response_body);
  g_free (r->header_value);
  g_free (r->method);
  g_free (r->path);
  g_free (r);
  *request = NULL;
}

bool
ss_httpd_init (SsHttpd *httpd, const SsHttpdClass *klass, struct ev_loop *loop,
               const char *ip, uint16_t port)
{
  const union MHD_DaemonInfo *info;
  struct sockaddr_in address = { 0 };

  httpd->klass = klass;
  httpd->loop = loop;
  address.sin_family = AF_INET;
  address.sin_port = htons (port);
  inet_pton (AF_INET, ip, &address.sin_addr);
  httpd->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, port, NULL, NULL, on_request,
      httpd, MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_NOTIFY_COMPLETED,
      on_completed, httpd, MHD_OPTION_CONNECTION_TIMEOUT, IDLE_TIMEOUT_S,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t) MEMORY_LIMIT_BYTES,
      MHD_OPTION_END);
  if (!httpd->daemon)
    return false;
  info = MHD_get_daemon_info (httpd->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  ev_io_init (&httpd->io, on_io, info->epoll_fd, EV_READ);
  httpd->io.data = httpd;
  ev_io_start (loop, &httpd->io);
  ev_timer_init (&httpd->timer, on_timer, 0, 0);
  httpd->timer.data = httpd;
  return true;
}

void
ss_httpd_finish (SsHttpd *httpd)
{
  if (!httpd->daemon)
    return;
  ev_io_stop (httpd->loop, &httpd->io);
  ev_timer_stop (httpd->loop, &httpd->timer);
  MHD_stop_daemon (httpd->daemon);
  httpd->daemon = NULL;
}

void
ss_http_reply (SsHttpRequest *request, int32_t status, const char *type,
               const char *body)
{
  SsHttpd *h = request->httpd;

  request->replied = true;
  request->response_status = status;
  request->response_type = type;
  request->response_body = g_strdup (body ? body : "");
  if (!request->suspended)
    return;
  request->suspended = false;
  MHD_resume_connection (request->connection);
  /* MHD_run must not be re-entered, and this may be called from a handler that
   * it runs: let the loop call it.
   */
  ev_timer_stop (h->loop, &h->timer);
  ev_timer_set (&h->timer, 0, 0);
  ev_timer_start (h->loop, &h->timer);
}

void
ss_http_set_response_header (SsHttpRequest *request, const char *name,
                             const char *value)
{
  g_free (request->header_value);
  request->header_name = name;
  request->header_value = g_strdup (value);
}

const char *
ss_http_query (SsHttpRequest *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection,
                                      MHD_GET_ARGUMENT_KIND, name);
}

const char *
ss_http_header (SsHttpRequest *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection, MHD_HEADER_KIND,
                                      name);
}

int64_t
ss_http_query_number (SsHttpRequest *request, const char *name,
                      int64_t fallback)
{
  const char *text = ss_http_query (request, name);

  return text ? g_ascii_strtoll (text, NULL, 10) : fallback;
}
