#include "plugins/pqparams.h"

#include <glib.h>

/* What pgserver tells callers of the server in its start-up reply. */
#define SERVER_OPTIONS "-c standard_conforming_strings=on -c DateStyle=ISO,MDY"

void
ss_pqparams_fill (SsPqParams *params, const char *address, uint16_t port)
{
  static const char *const fixed[][2]
      = { { "dbname", "sapphirestair" },
          { "user", "sapphirestair" },
          { "sslmode", "disable" },
          { "gssencmode", "disable" },
          { "application_name", "sapphirestair" },
          { "client_encoding", "UTF8" },
          { "options", SERVER_OPTIONS } };
  uint32_t count = 2;

  G_STATIC_ASSERT (G_N_ELEMENTS (fixed) + 2 <= SS_PQPARAMS_MAX);
  g_snprintf (params->port, sizeof params->port, "%u", (unsigned) port);
  params->names[0] = "hostaddr";
  params->values[0] = address;
  params->names[1] = "port";
  params->values[1] = params->port;
  for (uint32_t i = 0; i < G_N_ELEMENTS (fixed); i++)
    {
      params->names[count] = fixed[i][0];
      params->values[count++] = fixed[i][1];
    }
  params->names[count] = NULL;
  params->values[count] = NULL;
}
