/* httpd: an HTTP server, libmicrohttpd on a libev loop.
 *
 * Shared by the administration API, the readiness probe and the stand-ins for
 * the platform and the network.
 */
#ifndef SS_HTTPD_H
#define SS_HTTPD_H

#include <ev.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#define SS_HTTPD_BODY_MAX_BYTES (1024 * 1024)

typedef struct SsHttpd SsHttpd;
typedef struct SsHttpRequest SsHttpRequest;

typedef struct
{
  /* Handles REQUEST; calls ss_http_reply during the call or later. */
  void (*handle) (SsHttpd *httpd, SsHttpRequest *request);
  /* Optional: the connection ended before the reply. */
  void (*on_disconnect) (SsHttpd *httpd, SsHttpRequest *request);
} SsHttpdClass;

struct SsHttpd
{
  const SsHttpdClass *klass;
  struct ev_loop *loop;
  struct MHD_Daemon *daemon;
  ev_io io;
  ev_timer timer;
};

struct SsHttpRequest
{
  SsHttpd *httpd;
  struct MHD_Connection *connection;
  char *method;
  char *path;
  GByteArray *body;
  char client_ip[INET_ADDRSTRLEN];
  int32_t response_status; /* 0: close the connection without a response */
  char *response_body;
  const char *response_type; /* content type */
  const char *header_name;   /* of one more response header; NULL: none */
  char *header_value;
  bool replied;
  bool suspended;
  void *data; /* for use by the handler */
};

/* ss_httpd_init: listens on IP and PORT; returns false on failure. */
bool ss_httpd_init (SsHttpd *httpd, const SsHttpdClass *klass,
                    struct ev_loop *loop, const char *ip, uint16_t port);
/* ss_httpd_finish: stops the server; does nothing if init failed. */
void ss_httpd_finish (SsHttpd *httpd);

/* ss_http_reply: replies to REQUEST; STATUS 0 closes the connection without a
 * response.  TYPE is the content type, a static string; BODY may be NULL.
 */
void ss_http_reply (SsHttpRequest *request, int32_t status, const char *type,
                    const char *body);

/* ss_http_set_response_header: sets a header of the reply, before the reply.
 * NAME is a static string, VALUE is copied.  A request has at most one.
 */
void ss_http_set_response_header (SsHttpRequest *request, const char *name,
                                  const char *value);

/* ss_http_query, ss_http_header: return a query argument or a request header,
 * or NULL.
 */
const char *ss_http_query (SsHttpRequest *request, const char *name);
const char *ss_http_header (SsHttpRequest *request, const char *name);
/* ss_http_query_number: returns FALLBACK if the argument is absent, 0 if it is
 * not a number.
 */
int64_t ss_http_query_number (SsHttpRequest *request, const char *name,
                              int64_t fallback);

#endif
