/* httpc: an HTTP client of libcurl on a libev loop. */
#ifndef SS_HTTPC_H
#define SS_HTTPC_H

#include <curl/curl.h>
#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define SS_HTTPC_ANSWER_MAX_BYTES (64U * 1024 * 1024)

typedef struct
{
  struct ev_loop *loop;
  CURLM *multi;
  ev_timer timer;
  GHashTable *calls;     /* set of SsHttpCall: those under way */
  const char *source_ip; /* borrowed; NULL: any */
} SsHttpc;

/* How a call ended: where there is no answer, whether it may have been sent. */
typedef enum
{
  SS_HTTP_ANSWERED,
  SS_HTTP_NOT_SENT,
  SS_HTTP_UNKNOWN
} SsHttpEnd;

typedef struct SsHttpCall SsHttpCall;

/* The first member of a call; it is freed with g_free after on_done. */
struct SsHttpCall
{
  SsHttpc *client;
  CURL *easy;
  struct curl_slist *headers;
  GByteArray *answer;
  char *body;
  SsHttpEnd end;
  int32_t status; /* 0 where there is no answer */
  void (*on_done) (SsHttpCall *call);
  /* Optional: frees what is the call's own beside its memory. */
  void (*on_free) (SsHttpCall *call);
};

/* ss_httpc_init: returns false where the library can't be started. */
bool ss_httpc_init (SsHttpc *client, struct ev_loop *loop,
                    const char *source_ip);
/* ss_httpc_finish: ends all calls without on_done. */
void ss_httpc_finish (SsHttpc *client);

/* ss_http_header: adds a line to the headers of CALL before its start. */
void ss_http_call_header (SsHttpCall *call, const char *line);
/* ss_http_call_start: sends METHOD to URL with call->body (owned; NULL: none).
 */
void ss_http_call_start (SsHttpc *client, SsHttpCall *call, const char *method,
                         const char *url, int32_t timeout_ms);
/* ss_http_call_cancel: ends CALL without on_done and frees it. */
void ss_http_call_cancel (SsHttpCall *call);

#endif
