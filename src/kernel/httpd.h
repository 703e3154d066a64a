/* httpd: an HTTP server of libmicrohttpd on a libev loop.
 *
 * Shared by the administration API and by the platform stand-in.
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
  /* Answers with ss_http_reply, now or later. */
  void (*handle) (SsHttpd *httpd, SsHttpRequest *request);
  /* Optional: the client went away before its answer. */
  void (*on_gone) (SsHttpd *httpd, SsHttpRequest *request);
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
  int32_t reply_status; /* 0: close the connection with no answer */
  char *reply_body;
  const char *reply_type;
  bool replied;
  bool suspended;
  void *data; /* the handler's own */
};

/* ss_httpd_init: listens on IP and PORT; returns false where it can't. */
bool ss_httpd_init (SsHttpd *httpd, const SsHttpdClass *klass,
                    struct ev_loop *loop, const char *ip, uint16_t port);
void ss_httpd_finish (SsHttpd *httpd);

/* ss_http_reply: answers REQUEST; STATUS 0 closes the connection with no
 * answer.  TYPE is a static string.
 */
void ss_http_reply (SsHttpRequest *request, int32_t status, const char *type,
                    const char *body);

/* ss_http_query: a query argument or NULL; ss_http_header likewise. */
const char *ss_http_query (SsHttpRequest *request, const char *name);
const char *ss_http_header (SsHttpRequest *request, const char *name);
/* ss_http_query_number: FALLBACK where it is absent. */
int64_t ss_http_query_number (SsHttpRequest *request, const char *name,
                              int64_t fallback);

#endif
