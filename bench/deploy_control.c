#include <jansson.h>
#include <libpq-fe.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "bench/deploy.h"

int
ss_deploy_ctl (SsDeploy *deploy, uint32_t vm, const char *command,
               char **output)
{
  char *address = g_strdup_printf ("--admin=%s:%d", deploy->vms[vm].ip,
                                   SS_DEPLOY_ADMIN_PORT);
  char *token = g_strdup_printf ("--token-file=%s/token", deploy->directory);
  char *argv[] = { ss_deploy_program (deploy, "sapphirectl"),
                   address,
                   token,
                   (char *) "-c",
                   (char *) command,
                   NULL };
  int status = -1;

  if (!g_spawn_sync (NULL, argv, NULL, G_SPAWN_DEFAULT, NULL, NULL, output,
                     NULL, &status, NULL))
    status = -1;
  g_free (argv[0]);
  g_free (token);
  g_free (address);
  return WIFEXITED (status) ? WEXITSTATUS (status) : -1;
}

static PGconn *
connect_to (const char *ip, int port, const char *database, const char *user,
            const char *options)
{
  char *conninfo = g_strdup_printf (
      "hostaddr=%s port=%d dbname=%s user=%s sslmode=disable "
      "gssencmode=disable connect_timeout=2 %s",
      ip, port, database, user, options);
  PGconn *pq = PQconnectdb (conninfo);

  g_free (conninfo);
  return pq;
}

char *
ss_deploy_sql (SsDeploy *deploy, uint32_t vm, const char *options,
               const char *sql)
{
  PGconn *pq = connect_to (deploy->vms[vm].ip, SS_DEPLOY_CALLER_PORT,
                           deploy->service, "check", options);
  char *answer;
  PGresult *r;

  if (PQstatus (pq) != CONNECTION_OK)
    {
      PQfinish (pq);
      return g_strdup ("no connection");
    }
  r = PQexec (pq, sql);
  if (PQresultStatus (r) == PGRES_TUPLES_OK && PQntuples (r) > 0)
    answer = g_strdup (PQgetvalue (r, 0, 0));
  else if (PQresultStatus (r) == PGRES_COMMAND_OK
           || PQresultStatus (r) == PGRES_TUPLES_OK)
    answer = g_strdup (PQcmdStatus (r));
  else
    answer = g_strdup (PQresultErrorField (r, PG_DIAG_SQLSTATE));
  PQclear (r);
  PQfinish (pq);
  return answer ? answer : g_strdup ("no answer");
}

bool
ss_deploy_control_target (const SsDeployProcess *target, const char *name,
                          int64_t value)
{
  char *sql = g_strdup_printf (
      "SELECT sapphirestair_control('%s', %" G_GINT64_FORMAT ")", name, value);
  PGconn *pq = connect_to (target->ip, SS_DEPLOY_TARGET_PORT, "control",
                           "replication", "");
  PGresult *r = PQexec (pq, sql);
  bool ok = PQresultStatus (r) == PGRES_TUPLES_OK;

  PQclear (r);
  PQfinish (pq);
  g_free (sql);
  return ok;
}

int32_t
ss_deploy_primary (SsDeploy *deploy, uint64_t *term)
{
  int32_t best = -1;
  uint64_t best_term = 0;

  for (uint32_t i = 0; i < deploy->target_count; i++)
    {
      const SsDeployProcess *t = &deploy->targets[i];
      PGconn *pq;
      PGresult *r;
      uint64_t shown_term;

      if (!t->pid || t->frozen)
        continue;
      pq = connect_to (t->ip, SS_DEPLOY_TARGET_PORT, "check", "replication",
                       "");
      r = PQexec (pq, "SELECT * FROM sapphirestair_status()");
      if (PQresultStatus (r) == PGRES_TUPLES_OK
          && strcmp (PQgetvalue (r, 0, 0), "primary") == 0)
        {
          shown_term = g_ascii_strtoull (PQgetvalue (r, 0, 1), NULL, 10);
          if (shown_term > best_term)
            {
              best = (int32_t) i;
              best_term = shown_term;
            }
        }
      PQclear (r);
      PQfinish (pq);
    }
  if (term)
    *term = best_term;
  return best;
}

/* Posts JSON to PATH of ss-standin-network. */
static bool
post_network (SsDeploy *deploy, const char *path, const char *json)
{
  char *url = g_strdup_printf ("http://%s:%d%s", deploy->platform.ip,
                               SS_DEPLOY_PLATFORM_PORT + 1, path);
  bool ok = ss_deploy_http ("POST", url, json, NULL) == 200;

  g_free (url);
  return ok;
}

bool
ss_deploy_set_link_faults (SsDeploy *deploy, uint32_t vm, const char *json)
{
  json_t *body = json_loads (json, 0, NULL);
  char *text;
  bool ok;

  json_object_set_new (body, "ip", json_string (deploy->vms[vm].ip));
  text = json_dumps (body, JSON_COMPACT);
  ok = text && post_network (deploy, "/link", text);
  free (text);
  json_decref (body);
  return ok;
}

/* Returns a JSON object that cuts off the VMs inside DOMAIN, or those outside
 * of it; free with g_free.
 */
static char *
cut_json (const SsDeploy *deploy, const char *domain, bool inside)
{
  GString *json = g_string_new ("{\"cut_ips\":[");
  bool first = true;

  for (uint32_t i = 0; i < deploy->vm_count; i++)
    {
      if ((strcmp (deploy->vms[i].failure_domain, domain) == 0) != inside)
        continue;
      g_string_append_printf (json, "%s\"%s\"", first ? "" : ",",
                              deploy->vms[i].ip);
      first = false;
    }
  g_string_append (json, "]}");
  return g_string_free (json, FALSE);
}

bool
ss_deploy_partition_domain (SsDeploy *deploy, const char *domain,
                            SsPartition partition)
{
  bool partitioned = partition != SS_PARTITION_NONE;
  char *network = partitioned ? cut_json (deploy, domain, true)
                              : g_strdup ("{\"cut_ips\":[]}");
  char *platform = partition == SS_PARTITION_WITH_PLATFORM
                       ? cut_json (deploy, domain, false)
                       : g_strdup (network);
  bool ok = ss_deploy_control_platform (deploy, platform)
            && post_network (deploy, "/cut", network);

  for (uint32_t i = 0; ok && i < deploy->target_count; i++)
    if (strcmp (deploy->targets[i].failure_domain, domain) == 0)
      ok = ss_deploy_control_target (&deploy->targets[i], "cut", partitioned);
  g_free (platform);
  g_free (network);
  return ok;
}
