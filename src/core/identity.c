#include "core/identity.h"

#include <string.h>

void
ss_identity_digest (const char *key, char out[SS_KEY_DIGEST_BYTES])
{
  char *whole;

  out[0] = '\0';
  if (!key || !*key)
    return;
  whole = g_compute_checksum_for_string (G_CHECKSUM_SHA256, key, -1);
  g_strlcpy (out, whole, SS_KEY_DIGEST_BYTES);
  g_free (whole);
}

bool
ss_identity_resolve (const SsConfig *config, const SsService *service,
                     const char *digest, const char **organisation)
{
  const SsOrganisation *o;

  *organisation = "";
  if (!config->organisations || service->is_public)
    return true;
  o = ss_config_key (config, digest);
  if (!o)
    return false;
  *organisation = o->name;
  return true;
}
