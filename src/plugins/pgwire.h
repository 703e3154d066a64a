/* pgwire: the server side of the PostgreSQL protocol, version 3.
 *
 * Parses and formats messages in byte arrays; does not use sockets.  Shared by
 * the daemon's plug-ins for callers and for targets and by the target stand-in.
 * Follows the published description of the protocol.
 */
#ifndef SS_PGWIRE_H
#define SS_PGWIRE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define SS_PGWIRE_STARTUP_MAX_BYTES 10000
#define SS_PGWIRE_MESSAGE_MAX_BYTES (1024 * 1024)

/* X (id, name in error messages) */
#define SS_PGWIRE_MESSAGES(X)                                                  \
  X (NONE, "incomplete")                                                       \
  X (SSL_REQUEST, "SSL or GSS request")                                        \
  X (STARTUP, "start-up")                                                      \
  X (CANCEL, "cancel request")                                                 \
  X (QUERY, "simple query")                                                    \
  X (TERMINATE, "terminate")                                                   \
  X (EXTENDED, "extended protocol")                                            \
  X (FUNCTION_CALL, "function call")                                           \
  X (SYNC, "sync")                                                             \
  X (PASSWORD, "password or SASL response")                                    \
  X (IGNORED, "ignored")                                                       \
  X (BAD_VERSION, "unsupported protocol version")                              \
  X (TOO_LARGE, "message too large")                                           \
  X (MALFORMED, "malformed message")

typedef enum
{
#define SS_PGWIRE_ENUM(id, name) SS_PGWIRE_##id,
  SS_PGWIRE_MESSAGES (SS_PGWIRE_ENUM)
#undef SS_PGWIRE_ENUM
} SsPgwireKind;

typedef struct
{
  SsPgwireKind kind;
  const char *text;        /* QUERY: the query; STARTUP: name and value pairs;
                              PASSWORD: the response, not NUL-terminated */
  uint32_t text_bytes;     /* with the terminating NUL */
  uint32_t cancel_process; /* CANCEL: process id and secret key */
  uint32_t cancel_secret;
  uint32_t used_bytes; /* length in the input; 0: nothing to consume */
} SsPgwireMessage;

/* ss_pgwire_read: parses the first message in DATA.
 *
 * IN_STARTUP tells whether the start-up packet is still expected.  The message
 * points into DATA.  NONE means that the message is incomplete.  After
 * BAD_VERSION, TOO_LARGE or MALFORMED the connection cannot be used any more.
 */
SsPgwireMessage ss_pgwire_read (const uint8_t *data, uint32_t data_bytes,
                                bool in_startup);

/* ss_pgwire_message_name: returns a static string. */
const char *ss_pgwire_message_name (SsPgwireKind kind);

/* ss_pgwire_sasl_initial: returns the client's first message in MESSAGE, a
 * PASSWORD, to be freed with g_free; NULL if it is malformed, has none or is of
 * another mechanism than MECHANISM.
 */
char *ss_pgwire_sasl_initial (const SsPgwireMessage *message,
                              const char *mechanism);

/* ss_pgwire_startup_value: returns the value of NAME in a start-up packet, or
 * NULL if it is absent.
 */
const char *ss_pgwire_startup_value (const SsPgwireMessage *message,
                                     const char *name);

/* ss_pgwire_parse_options: calls FOUND for each setting in OPTIONS, which has
 * the form "-c name=value", "-cname=value" or "--name=value".
 */
void ss_pgwire_parse_options (const char *options,
                              void (*found) (void *data, const char *name,
                                             const char *value),
                              void *data);

/* The following append one message to OUT. */
void ss_pgwire_auth_ok (GByteArray *out);
/* ss_pgwire_auth_sasl, _continue, _final: request SASL authentication by
 * MECHANISM, and send the server's messages.
 */
void ss_pgwire_auth_sasl (GByteArray *out, const char *mechanism);
void ss_pgwire_auth_sasl_continue (GByteArray *out, const char *text);
void ss_pgwire_auth_sasl_final (GByteArray *out, const char *text);
void ss_pgwire_parameter (GByteArray *out, const char *name, const char *value);
void ss_pgwire_key_data (GByteArray *out, uint32_t process, uint32_t secret);
void ss_pgwire_ready (GByteArray *out, char transaction_status);
void ss_pgwire_complete (GByteArray *out, const char *tag);
void ss_pgwire_empty_query (GByteArray *out);

/* ss_pgwire_error: DETAIL and HINT may be NULL. */
void ss_pgwire_error (GByteArray *out, const char *severity,
                      const char *sqlstate, const char *message,
                      const char *detail, const char *hint);

typedef struct
{
  const char *name;
  uint32_t type_id;
} SsPgwireColumn;

/* ss_pgwire_row_description, ss_pgwire_row: a NULL cell means SQL NULL. */
void ss_pgwire_row_description (GByteArray *out, const SsPgwireColumn *columns,
                                uint16_t count);
void ss_pgwire_row (GByteArray *out, const char *const *cells, uint16_t count);

/* ss_pgwire_text_columns: appends a row description of at most 16 columns of
 * type text.
 */
void ss_pgwire_text_columns (GByteArray *out, const char *const *names,
                             uint16_t count);

#endif
