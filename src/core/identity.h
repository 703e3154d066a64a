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

/* ss_identity_resolve: whether the caller whose key has DIGEST ("": it
 * presented none) may use SERVICE now.  Sets *ORGANISATION to the name of its
 * organisation, or to "" where SERVICE needs none; the name is valid until the
 * configuration changes.
 */
bool ss_identity_resolve (const SsConfig *config, const SsService *service,
                          const char *digest, const char **organisation);

#endif
