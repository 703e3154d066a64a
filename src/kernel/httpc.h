/* httpc: an asynchronous HTTP client, libcurl on a libev loop. */
#ifndef SS_HTTPC_H
#define SS_HTTPC_H

#include <curl/curl.h>
#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define SS_HTTPC_RESPONSE_MAX_BYTES (64U * 1024 * 1024)

typedef struct
{
  struct ev_loop *loop;
  CURLM *multi;
  ev_timer timer;
  GHashTable *calls;     /* set of SsHttpCall, the outstanding calls */
  const char *source_ip; /* borrowed; NULL: any */
} SsHttpc;

/* How a call ended: with a response, before the request was sent, or after the
 * request may have been sent.
 */
typedef enum
{
  SS_HTTP_ANSWERED,
  SS_HTTP_NOT_SENT,
  SS_HTTP_UNKNOWN
} SsHttpResult;

typedef struct SsHttpCall SsHttpCall;

/* Base struct of a call, the first member of an embedding struct; freed with
 * g_free after on_done.
 */
struct SsHttpCall
{
  SsHttpc *client;
  CURL *easy;
  struct curl_slist *headers;
  GByteArray *response; /* body of the response */
  char *body;           /* of the request */
  SsHttpResult result;
  int32_t status; /* HTTP status; 0: no response */
  void (*on_done) (SsHttpCall *call);
  /* Optional: frees what the members of the embedding struct own. */
  void (*on_free) (SsHttpCall *call);
};

/* ss_httpc_init: returns false if libcurl can't be initialised; SOURCE_IP is
 * borrowed.
 */
bool ss_httpc_init (SsHttpc *client, struct ev_loop *loop,
                    const char *source_ip);
/* ss_httpc_finish: cancels all calls without on_done; does nothing if init
 * failed.
 */
void ss_httpc_finish (SsHttpc *client);

/* ss_http_call_add_header: adds a header line to CALL before its start. */
void ss_http_call_add_header (SsHttpCall *call, const char *line);
/* ss_http_call_start: sends a METHOD request to URL with call->body (owned by
 * CALL; NULL: no body).  The loop calls on_done, at the latest once TIMEOUT_MS
 * has passed.  CALL must be zeroed except for headers, body and the callbacks.
 */
void ss_http_call_start (SsHttpc *client, SsHttpCall *call, const char *method,
                         const char *url, int32_t timeout_ms);
/* ss_http_call_header: returns a header of the response, or NULL; valid during
 * on_done.
 */
const char *ss_http_call_header (const SsHttpCall *call, const char *name);
/* ss_http_call_cancel: aborts CALL without on_done and frees it. */
void ss_http_call_cancel (SsHttpCall *call);

#endif
