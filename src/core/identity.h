/* identity: which organisation a caller belongs to, from the key that it
 * presents.
 *
 * The core knows keys by their digests only, so that none is written to a log,
 * a metric or a message.
 */
#ifndef SS_IDENTITY_H
#define SS_IDENTITY_H

#include "core/config.h"

/* ss_identity_digest: sets OUT to the digest of KEY: the first 128 bits of its
 * SHA-256, in hexadecimal.  The digest of an empty KEY, or of NULL, is "".
 */
void ss_identity_digest (const char *key, char out[SS_KEY_DIGEST_BYTES]);

/* ss_identity_credential: returns what a caller presents as its key once it has
 * proved that it knows the password of VERIFIER, the key KEY of ORGANISATION;
 * to be freed with g_free.
 */
char *ss_identity_credential (const char *organisation, const char *key,
                              const char *verifier);

/* ss_identity_needs_password: whether callers of SERVICE, the name of one,
 * prove who they are by a password.
 */
bool ss_identity_needs_password (const SsConfig *config, const char *service);

/* ss_identity_verifier: returns the verifier of USER's password, which is valid
 * until the configuration changes, or NULL if there is none.  USER is
 * ORGANISATION or ORGANISATION.SUFFIX.  The verifier is that of the key with
 * the name SUFFIX, else that of the key "default".  Sets *CREDENTIAL to the
 * credential, to be freed with g_free, or to NULL.
 */
const char *ss_identity_verifier (const SsConfig *config, const char *user,
                                  char **credential);

/* ss_identity_resolve: whether the caller whose key has DIGEST ("": it
 * presented none) may use SERVICE now.  Sets *ORGANISATION to the name of its
 * organisation, or to "" where SERVICE needs none; the name is valid until the
 * configuration changes.
 */
bool ss_identity_resolve (const SsConfig *config, const SsService *service,
                          const char *digest, const char **organisation);

#endif
