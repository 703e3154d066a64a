#include "plugins/scram.h"

#include <string.h>

#define VERIFIER_PREFIX SS_SCRAM_MECHANISM "$"
/* Of verifiers that PostgreSQL makes, so that a mock looks like one. */
#define MOCK_ITERATIONS 4096
#define MOCK_SALT_BYTES 16
#define ITERATIONS_MAX 10000000

static void
hmac (const uint8_t key[SS_SCRAM_KEY_BYTES], const char *text,
      uint8_t out[SS_SCRAM_KEY_BYTES])
{
  GHmac *h = g_hmac_new (G_CHECKSUM_SHA256, key, SS_SCRAM_KEY_BYTES);
  gsize bytes = SS_SCRAM_KEY_BYTES;

  g_hmac_update (h, (const guchar *) text, -1);
  g_hmac_get_digest (h, out, &bytes);
  g_hmac_unref (h);
}

static void
hash (const uint8_t in[SS_SCRAM_KEY_BYTES], uint8_t out[SS_SCRAM_KEY_BYTES])
{
  GChecksum *c = g_checksum_new (G_CHECKSUM_SHA256);
  gsize bytes = SS_SCRAM_KEY_BYTES;

  g_checksum_update (c, in, SS_SCRAM_KEY_BYTES);
  g_checksum_get_digest (c, out, &bytes);
  g_checksum_free (c);
}

/* Compares in a time that does not depend on where A and B differ. */
static bool
keys_are_equal (const uint8_t a[SS_SCRAM_KEY_BYTES],
                const uint8_t b[SS_SCRAM_KEY_BYTES])
{
  uint8_t difference = 0;

  for (uint32_t i = 0; i < SS_SCRAM_KEY_BYTES; i++)
    difference |= a[i] ^ b[i];
  return difference == 0;
}

/* Decodes TEXT strictly: GLib's decoder skips what is no Base64.  Returns the
 * number of bytes, or 0 if TEXT is malformed or longer than MAX_BYTES.
 */
static uint32_t
decode (const char *text, uint8_t *out, uint32_t max_bytes)
{
  gsize bytes;
  guchar *data = g_base64_decode (text, &bytes);
  char *again = data ? g_base64_encode (data, bytes) : NULL;
  bool valid
      = again && strcmp (again, text) == 0 && bytes > 0 && bytes <= max_bytes;

  if (valid)
    memcpy (out, data, bytes);
  g_free (again);
  g_free (data);
  return valid ? (uint32_t) bytes : 0;
}

bool
ss_scram_verifier_parse (SsScramVerifier *verifier, const char *text)
{
  char **parts;
  guint64 iterations = 0;
  bool valid;

  memset (verifier, 0, sizeof *verifier);
  if (!g_str_has_prefix (text, VERIFIER_PREFIX))
    return false;
  /* Base64 has neither of the separators. */
  parts = g_strsplit_set (text + strlen (VERIFIER_PREFIX), ":$", -1);
  valid = g_strv_length (parts) == 4
          && g_ascii_string_to_unsigned (parts[0], 10, 1, ITERATIONS_MAX,
                                         &iterations, NULL);
  if (valid)
    {
      verifier->iterations = (uint32_t) iterations;
      verifier->salt_bytes
          = decode (parts[1], verifier->salt, SS_SCRAM_SALT_MAX_BYTES);
      valid = verifier->salt_bytes > 0
              && decode (parts[2], verifier->stored_key, SS_SCRAM_KEY_BYTES)
                     == SS_SCRAM_KEY_BYTES
              && decode (parts[3], verifier->server_key, SS_SCRAM_KEY_BYTES)
                     == SS_SCRAM_KEY_BYTES;
    }
  g_strfreev (parts);
  return valid;
}

void
ss_scram_verifier_mock (SsScramVerifier *verifier, const char *user,
                        const uint8_t secret[SS_SCRAM_KEY_BYTES])
{
  uint8_t digest[SS_SCRAM_KEY_BYTES];

  memset (verifier, 0, sizeof *verifier);
  hmac (secret, user, digest);
  verifier->iterations = MOCK_ITERATIONS;
  verifier->salt_bytes = MOCK_SALT_BYTES;
  memcpy (verifier->salt, digest, MOCK_SALT_BYTES);
  /* No key is known whose hash this is. */
  hmac (digest, user, verifier->stored_key);
  hmac (verifier->stored_key, user, verifier->server_key);
}

void
ss_scram_init (SsScram *scram, const SsScramVerifier *verifier)
{
  memset (scram, 0, sizeof *scram);
  scram->verifier = *verifier;
}

void
ss_scram_finish (SsScram *scram)
{
  g_free (scram->client_first_bare);
  g_free (scram->server_first);
  g_free (scram->nonce);
  g_free (scram->gs2_header);
  memset (scram, 0, sizeof *scram);
}

/* Whether ATTRIBUTE is NAME=VALUE; VALUE may be empty. */
static bool
is_attribute (const char *attribute, char name)
{
  return attribute && attribute[0] == name && attribute[1] == '=';
}

static bool
is_printable (const char *text)
{
  for (; *text; text++)
    if (*text < 0x21 || *text > 0x7e)
      return false;
  return true;
}

/* Splits the client's first message: GS2 header (flag, authorization identity),
 * user name, nonce, extensions.  A mandatory extension ("m=") takes the place
 * of the user name, so it is refused.
 */
static bool
read_first (SsScram *scram, char **parts)
{
  uint32_t count = g_strv_length (parts);

  if (count < 4 || (strcmp (parts[0], "n") != 0 && strcmp (parts[0], "y") != 0)
      || *parts[1] || !is_attribute (parts[2], 'n')
      || !is_attribute (parts[3], 'r') || !parts[3][2]
      || !is_printable (parts[3]))
    return false;
  scram->gs2_header = g_strdup_printf ("%s,,", parts[0]);
  scram->client_first_bare = g_strjoinv (",", parts + 2);
  return true;
}

char *
ss_scram_first (SsScram *scram, const char *message, const char *nonce)
{
  const SsScramVerifier *v = &scram->verifier;
  char **parts = g_strsplit (message, ",", -1);
  char *salt;

  if (scram->server_first || !read_first (scram, parts))
    {
      g_strfreev (parts);
      return NULL;
    }
  scram->nonce = g_strconcat (parts[3] + 2, nonce, NULL);
  g_strfreev (parts);
  salt = g_base64_encode (v->salt, v->salt_bytes);
  scram->server_first
      = g_strdup_printf ("r=%s,s=%s,i=%u", scram->nonce, salt, v->iterations);
  g_free (salt);
  return g_strdup (scram->server_first);
}

/* Whether the client's PROOF fits AUTH_MESSAGE: it is the client's key masked
 * by a signature with the stored key, which is the hash of the client's key.
 */
static bool
proof_fits (const SsScramVerifier *v, const char *auth_message,
            const char *proof)
{
  uint8_t key[SS_SCRAM_KEY_BYTES];
  uint8_t signature[SS_SCRAM_KEY_BYTES];
  uint8_t hashed[SS_SCRAM_KEY_BYTES];

  if (decode (proof, key, sizeof key) != sizeof key)
    return false;
  hmac (v->stored_key, auth_message, signature);
  for (uint32_t i = 0; i < sizeof key; i++)
    key[i] ^= signature[i];
  hash (key, hashed);
  return keys_are_equal (hashed, v->stored_key);
}

static bool
header_fits (const SsScram *scram, const char *binding)
{
  char *expected = g_base64_encode ((const guchar *) scram->gs2_header,
                                    strlen (scram->gs2_header));
  bool fits
      = is_attribute (binding, 'c') && strcmp (binding + 2, expected) == 0;

  g_free (expected);
  return fits;
}

static char *
server_signature (const SsScramVerifier *v, const char *auth_message)
{
  uint8_t signature[SS_SCRAM_KEY_BYTES];
  char *text;
  char *reply;

  hmac (v->server_key, auth_message, signature);
  text = g_base64_encode (signature, sizeof signature);
  reply = g_strconcat ("v=", text, NULL);
  g_free (text);
  return reply;
}

char *
ss_scram_final (SsScram *scram, const char *message)
{
  const char *proof = g_strrstr (message, ",p=");
  char *without_proof;
  char *auth_message;
  char *reply = NULL;
  char **parts;

  if (!scram->server_first || !proof)
    return NULL;
  without_proof = g_strndup (message, (gsize) (proof - message));
  auth_message = g_strjoin (",", scram->client_first_bare, scram->server_first,
                            without_proof, NULL);
  parts = g_strsplit (without_proof, ",", -1);
  if (g_strv_length (parts) >= 2 && header_fits (scram, parts[0])
      && is_attribute (parts[1], 'r')
      && strcmp (parts[1] + 2, scram->nonce) == 0
      && proof_fits (&scram->verifier, auth_message, proof + 3))
    reply = server_signature (&scram->verifier, auth_message);
  g_strfreev (parts);
  g_free (auth_message);
  g_free (without_proof);
  return reply;
}
