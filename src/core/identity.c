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

#define DEFAULT_KEY "default"

char *
ss_identity_credential (const char *organisation, const char *key,
                        const char *verifier)
{
  return g_strdup_printf ("%s %s %s", organisation, key, verifier);
}

bool
ss_identity_needs_password (const SsConfig *config, const char *service)
{
  const SsService *s = ss_config_service (config, service);

  return config->has_organisation_objects && !(s && s->is_public);
}

const char *
ss_identity_verifier (const SsConfig *config, const char *user,
                      char **credential)
{
  char **parts = g_strsplit (user, ".", 2);
  const SsOrganisation *o
      = parts[0] ? ss_config_organisation (config, parts[0]) : NULL;
  const char *key = parts[0] && parts[1] ? parts[1] : DEFAULT_KEY;
  const char *verifier = NULL;

  *credential = NULL;
  if (o && o->verifiers)
    verifier = g_hash_table_lookup (o->verifiers, key);
  if (o && o->verifiers && !verifier)
    {
      key = DEFAULT_KEY;
      verifier = g_hash_table_lookup (o->verifiers, key);
    }
  if (verifier)
    *credential = ss_identity_credential (o->name, key, verifier);
  g_strfreev (parts);
  return verifier;
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
