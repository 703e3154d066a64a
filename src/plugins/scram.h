/* scram: the server's side of SCRAM-SHA-256 (RFC 5802, RFC 7677), with
 * verifiers in PostgreSQL's format.
 *
 * Parses and formats messages; does no I/O.  Channel binding is not supported.
 * The user name in the client's message is ignored, as PostgreSQL's protocol
 * does: it comes with the start-up message.
 */
#ifndef SS_SCRAM_H
#define SS_SCRAM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define SS_SCRAM_MECHANISM "SCRAM-SHA-256"
#define SS_SCRAM_KEY_BYTES 32
#define SS_SCRAM_SALT_MAX_BYTES 64
#define SS_SCRAM_MESSAGE_MAX_BYTES 1024

typedef struct
{
  uint32_t iterations;
  uint8_t salt[SS_SCRAM_SALT_MAX_BYTES];
  uint32_t salt_bytes;
  uint8_t stored_key[SS_SCRAM_KEY_BYTES];
  uint8_t server_key[SS_SCRAM_KEY_BYTES];
} SsScramVerifier;

/* ss_scram_verifier_parse: reads "SCRAM-SHA-256$ITERATIONS:SALT$STORED:SERVER"
 * with salt and keys in Base64; returns false if TEXT is malformed.
 */
bool ss_scram_verifier_parse (SsScramVerifier *verifier, const char *text);
/* ss_scram_verifier_mock: sets VERIFIER to one that no password fits, which is
 * always the same for USER and SECRET: a caller can't tell an unknown user from
 * a wrong password.
 */
void ss_scram_verifier_mock (SsScramVerifier *verifier, const char *user,
                             const uint8_t secret[SS_SCRAM_KEY_BYTES]);

/* One exchange. */
typedef struct
{
  SsScramVerifier verifier;
  char *client_first_bare;
  char *server_first;
  char *nonce; /* the client's and the server's */
  char *gs2_header;
} SsScram;

/* ss_scram_init: the exchange must be finished by ss_scram_finish. */
void ss_scram_init (SsScram *scram, const SsScramVerifier *verifier);
void ss_scram_finish (SsScram *scram);
/* ss_scram_first: takes the client's first MESSAGE and returns the reply, to be
 * freed with g_free; NULL if it is malformed.  NONCE is the server's part:
 * printable characters without a comma.
 */
char *ss_scram_first (SsScram *scram, const char *message, const char *nonce);
/* ss_scram_final: takes the client's final MESSAGE.  Returns the reply, to be
 * freed with g_free, if it proves that the client knows the password; else
 * NULL.
 */
char *ss_scram_final (SsScram *scram, const char *message);

#endif
