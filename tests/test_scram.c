/* SCRAM-SHA-256 with the example of RFC 7677: user "user", password "pencil".
 */
#include <string.h>

#include "plugins/scram.h"
#include "tests/unit.h"

#define CLIENT_NONCE "rOprNGfwEbeRWgbNEkqO"
#define SERVER_NONCE "%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0"
#define SALT "W22ZaJ0SNY7soEsUEjb6gQ=="
#define CLIENT_FIRST "n,,n=user,r=" CLIENT_NONCE
#define CLIENT_FINAL "c=biws,r=" CLIENT_NONCE SERVER_NONCE
#define PROOF "dHzbZapWIk4jUhN+Ute9ytag9zjfMHgsqmmiz7AndVQ="
#define SIGNATURE "6rriTRBi23WpRR/wtup+mMhUZUn/dB5nLTJRsjl95G4="

static void
hmac (const uint8_t *key, gsize key_bytes, const void *data, gsize data_bytes,
      uint8_t *out)
{
  GHmac *h = g_hmac_new (G_CHECKSUM_SHA256, key, key_bytes);
  gsize bytes = SS_SCRAM_KEY_BYTES;

  g_hmac_update (h, data, (gssize) data_bytes);
  g_hmac_get_digest (h, out, &bytes);
  g_hmac_unref (h);
}

/* Returns the verifier of the password "pencil", computed as RFC 5802 says. */
static char *
verifier_text (void)
{
  static const char password[] = "pencil";
  gsize salt_bytes;
  guchar *salt = g_base64_decode (SALT, &salt_bytes);
  GByteArray *first = g_byte_array_new ();
  uint8_t block[SS_SCRAM_KEY_BYTES];
  uint8_t salted[SS_SCRAM_KEY_BYTES];
  uint8_t client_key[SS_SCRAM_KEY_BYTES];
  uint8_t server_key[SS_SCRAM_KEY_BYTES];
  uint8_t stored_key[SS_SCRAM_KEY_BYTES];
  GChecksum *c = g_checksum_new (G_CHECKSUM_SHA256);
  gsize bytes = SS_SCRAM_KEY_BYTES;
  char *stored;
  char *server;
  char *text;

  g_byte_array_append (first, salt, (guint) salt_bytes);
  g_byte_array_append (first, (const uint8_t *) "\0\0\0\1", 4);
  hmac ((const uint8_t *) password, strlen (password), first->data, first->len,
        block);
  memcpy (salted, block, sizeof salted);
  for (uint32_t i = 1; i < 4096; i++)
    {
      hmac ((const uint8_t *) password, strlen (password), block, sizeof block,
            block);
      for (uint32_t j = 0; j < sizeof block; j++)
        salted[j] ^= block[j];
    }
  hmac (salted, sizeof salted, "Client Key", 10, client_key);
  hmac (salted, sizeof salted, "Server Key", 10, server_key);
  g_checksum_update (c, client_key, sizeof client_key);
  g_checksum_get_digest (c, stored_key, &bytes);
  stored = g_base64_encode (stored_key, sizeof stored_key);
  server = g_base64_encode (server_key, sizeof server_key);
  text = g_strdup_printf ("SCRAM-SHA-256$4096:%s$%s:%s", SALT, stored, server);
  g_checksum_free (c);
  g_byte_array_free (first, TRUE);
  g_free (stored);
  g_free (server);
  g_free (salt);
  return text;
}

static void
init_exchange (SsScram *s)
{
  char *text = verifier_text ();
  SsScramVerifier v;

  CU_ASSERT (ss_scram_verifier_parse (&v, text));
  ss_scram_init (s, &v);
  g_free (text);
}

static void
example_of_the_standard_is_accepted (void)
{
  SsScram s;
  char *first;
  char *final;

  init_exchange (&s);
  first = ss_scram_first (&s, CLIENT_FIRST, SERVER_NONCE);
  CU_ASSERT_STRING_EQUAL (first,
                          "r=" CLIENT_NONCE SERVER_NONCE ",s=" SALT ",i=4096");
  final = ss_scram_final (&s, CLIENT_FINAL ",p=" PROOF);
  CU_ASSERT (g_strcmp0 (final, "v=" SIGNATURE) == 0);
  g_free (first);
  g_free (final);
  ss_scram_finish (&s);
}

/* Guards against callers that get in without the password. */
static void
wrong_final_messages_are_refused (void)
{
  static const char *const bad[] = {
    "",
    CLIENT_FINAL,
    CLIENT_FINAL ",p=",
    CLIENT_FINAL ",p=AAAA",
    CLIENT_FINAL ",p=eHzbZapWIk4jUhN+Ute9ytag9zjfMHgsqmmiz7AndVQ=",
    CLIENT_FINAL ",p=" PROOF "=",
    "c=biws,r=" CLIENT_NONCE ",p=" PROOF,
    "c=eSws,r=" CLIENT_NONCE SERVER_NONCE ",p=" PROOF,
    "r=" CLIENT_NONCE SERVER_NONCE ",p=" PROOF,
    CLIENT_FINAL ",x=1,p=" PROOF,
  };

  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      SsScram s;

      init_exchange (&s);
      g_free (ss_scram_first (&s, CLIENT_FIRST, SERVER_NONCE));
      CU_ASSERT_PTR_NULL (ss_scram_final (&s, bad[i]));
      ss_scram_finish (&s);
    }
}

static void
malformed_first_messages_are_refused (void)
{
  static const char *const bad[] = {
    "",
    ",",
    "n,,",
    "n,,n=user",
    "n,,n=user,r=",
    "n,,r=abc,n=user",
    "p=tls-unique,,n=user,r=abc",
    "n,a=other,n=user,r=abc",
    "n,,m=ext,n=user,r=abc",
    "n,,n=user,r=a b",
    "n,,n=user,r=\x01",
    "x,,n=user,r=abc",
  };

  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      SsScram s;

      init_exchange (&s);
      CU_ASSERT_PTR_NULL (ss_scram_first (&s, bad[i], SERVER_NONCE));
      CU_ASSERT_PTR_NULL (ss_scram_final (&s, CLIENT_FINAL ",p=" PROOF));
      ss_scram_finish (&s);
    }
}

static void
malformed_verifiers_are_refused (void)
{
  static const char key[] = "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=";
  static const char *const bad[] = {
    "",
    "pencil",
    "md5aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
    "SCRAM-SHA-256$",
    "SCRAM-SHA-256$0:" SALT "$%s:%s",
    "SCRAM-SHA-256$-1:" SALT "$%s:%s",
    "SCRAM-SHA-256$x:" SALT "$%s:%s",
    "SCRAM-SHA-256$4096:$%s:%s",
    "SCRAM-SHA-256$4096:!!$%s:%s",
    "SCRAM-SHA-256$4096:" SALT "$%s:",
    "SCRAM-SHA-256$4096:" SALT "$%s:%sAAAA",
    "SCRAM-SHA-256$4096:" SALT "$AAAA:%s",
    "SCRAM-SHA-256$4096:" SALT "$%s:%s:x",
  };
  SsScramVerifier v;

  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      char **parts = g_strsplit (bad[i], "%s", -1);
      char *text = g_strjoinv (key, parts);

      CU_ASSERT (!ss_scram_verifier_parse (&v, text));
      g_free (text);
      g_strfreev (parts);
    }
}

/* Guards against callers that learn which users exist, and against a mock that
 * some proof fits.
 */
static void
unknown_user_looks_like_a_known_one (void)
{
  uint8_t secret[SS_SCRAM_KEY_BYTES] = { 7 };
  SsScramVerifier a;
  SsScramVerifier again;
  SsScramVerifier other;
  SsScram s;

  ss_scram_verifier_mock (&a, "a", secret);
  ss_scram_verifier_mock (&again, "a", secret);
  ss_scram_verifier_mock (&other, "b", secret);
  CU_ASSERT (memcmp (&a, &again, sizeof a) == 0);
  CU_ASSERT (memcmp (a.salt, other.salt, sizeof a.salt) != 0);
  ss_scram_init (&s, &a);
  g_free (ss_scram_first (&s, CLIENT_FIRST, SERVER_NONCE));
  CU_ASSERT_PTR_NULL (ss_scram_final (&s, CLIENT_FINAL ",p=" PROOF));
  ss_scram_finish (&s);
}

CU_TestInfo test_scram[] = {
  { "example of the standard is accepted",
    example_of_the_standard_is_accepted },
  { "wrong final messages are refused", wrong_final_messages_are_refused },
  { "malformed first messages are refused",
    malformed_first_messages_are_refused },
  { "malformed verifiers are refused", malformed_verifiers_are_refused },
  { "unknown user looks like a known one",
    unknown_user_looks_like_a_known_one },
  CU_TEST_INFO_NULL,
};
