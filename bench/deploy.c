#include "bench/deploy.h"

#include <curl/curl.h>
#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define READY_TIMEOUT_MS 15000
#define POLL_INTERVAL_US 10000
/* Last octets of the addresses.  VMs listen on 1 and up.  At its advertised
 * address, the network relay accepts the other VMs' connections to a VM.
 */
#define FIRST_TARGET_HOST 100
#define PLATFORM_HOST 200
#define FIRST_ADVERTISED_HOST 50

static int64_t
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

void
ss_deploy_init (SsDeploy *deploy, const char *programs)
{
  uint32_t pid = (uint32_t) getpid ();

  memset (deploy, 0, sizeof *deploy);
  deploy->programs = g_strdup (programs);
  deploy->previous = g_build_filename (programs, "previous", NULL);
  deploy->directory = g_dir_make_tmp ("sapphirestair-XXXXXX", NULL);
  g_snprintf (deploy->ip_prefix, sizeof deploy->ip_prefix, "127.%u.%u",
              20 + (pid >> 8) % 200, pid & 0xff);
  g_strlcpy (deploy->service, "claims", sizeof deploy->service);
  g_strlcpy (deploy->group, "claims-db", sizeof deploy->group);
  deploy->max_connections = 20;
  deploy->identity = "none";
  deploy->report_staleness_ms = 30000;
  curl_global_init (CURL_GLOBAL_DEFAULT);
}

static void
set_parent_death_signal (gpointer data)
{
  (void) data;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
}

static bool
spawn (SsDeploy *d, const char *name, char **argv, pid_t *pid)
{
  char *log = g_strdup_printf ("%s/%s.log", d->directory, name);
  char *out = g_strdup_printf ("%s/%s.out", d->directory, name);
  char *command
      = g_strdup_printf ("exec \"$0\" \"$@\" >>'%s' 2>>'%s'", out, log);
  GPtrArray *child_argv = g_ptr_array_new ();
  GPid child = 0;
  bool ok;

  g_ptr_array_add (child_argv, (gpointer) "/bin/sh");
  g_ptr_array_add (child_argv, (gpointer) "-c");
  g_ptr_array_add (child_argv, command);
  for (uint32_t i = 0; argv[i]; i++)
    g_ptr_array_add (child_argv, argv[i]);
  g_ptr_array_add (child_argv, NULL);
  ok = g_spawn_async (NULL, (char **) child_argv->pdata, NULL,
                      G_SPAWN_DO_NOT_REAP_CHILD, set_parent_death_signal, NULL,
                      &child, NULL);
  *pid = child;
  g_ptr_array_free (child_argv, TRUE);
  g_free (command);
  g_free (out);
  g_free (log);
  return ok;
}

static void
kill_process (SsDeployProcess *p)
{
  if (!p->pid)
    return;
  kill (p->pid, SIGKILL);
  waitpid (p->pid, NULL, 0);
  p->pid = 0;
}

void
ss_deploy_signal (SsDeployProcess *process, int number)
{
  if (!process->pid)
    return;
  kill (process->pid, number);
  if (number != SIGKILL)
    return;
  waitpid (process->pid, NULL, 0);
  process->pid = 0;
}

bool
ss_deploy_wait_exit (SsDeployProcess *process, int64_t timeout_ms, int *code)
{
  int64_t deadline_ms = now_ms () + timeout_ms;
  int status;

  while (now_ms () < deadline_ms)
    {
      if (waitpid (process->pid, &status, WNOHANG) == process->pid)
        {
          process->pid = 0;
          *code = WIFEXITED (status) ? WEXITSTATUS (status) : -1;
          return true;
        }
      g_usleep (POLL_INTERVAL_US);
    }
  return false;
}

void
ss_deploy_finish (SsDeploy *deploy, bool keep)
{
  SsDeployProcess load = { .pid = deploy->load };

  kill_process (&load);
  for (uint32_t i = 0; i < deploy->vm_count; i++)
    kill_process (&deploy->vms[i]);
  for (uint32_t i = 0; i < deploy->target_count; i++)
    kill_process (&deploy->targets[i]);
  kill_process (&deploy->network);
  kill_process (&deploy->platform);
  if (!keep)
    {
      char *argv[] = { (char *) "rm", (char *) "-rf", deploy->directory, NULL };

      g_spawn_sync (NULL, argv, NULL, G_SPAWN_SEARCH_PATH, NULL, NULL, NULL,
                    NULL, NULL, NULL);
    }
  g_free (deploy->directory);
  g_free (deploy->programs);
  g_free (deploy->previous);
  g_free (deploy->load_output);
}

static size_t
append_text (char *data, size_t size, size_t count, void *user)
{
  g_string_append_len (user, data, (gssize) (size * count));
  return size * count;
}

long
ss_deploy_http (const char *method, const char *url, const char *body,
                char **answer)
{
  CURL *easy = curl_easy_init ();
  GString *text = g_string_new (NULL);
  long status = 0;

  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, method);
  if (body)
    curl_easy_setopt (easy, CURLOPT_POSTFIELDS, body);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, 3000L);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append_text);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, text);
  if (curl_easy_perform (easy) == CURLE_OK)
    curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_cleanup (easy);
  if (answer)
    *answer = g_string_free (text, FALSE);
  else
    g_string_free (text, TRUE);
  return status;
}

static char *
platform_url (SsDeploy *d, const char *path)
{
  return g_strdup_printf ("http://%s:%d/%s", d->platform.ip,
                          SS_DEPLOY_PLATFORM_PORT, path);
}

bool
ss_deploy_control_platform (SsDeploy *deploy, const char *json)
{
  char *url = platform_url (deploy, "control");
  long status = ss_deploy_http ("POST", url, json, NULL);

  g_free (url);
  return status == 200;
}

bool
ss_deploy_put_object (SsDeploy *deploy, const char *key, const char *json)
{
  char *path = g_strdup_printf ("v1/objects/%s", key);
  char *url = platform_url (deploy, path);
  long status = ss_deploy_http ("PUT", url, json, NULL);

  g_free (url);
  g_free (path);
  return status == 200;
}

static void
advertised_ip (const SsDeploy *d, uint32_t vm, char *out, size_t bytes)
{
  g_snprintf (out, bytes, "%s.%u", d->ip_prefix, FIRST_ADVERTISED_HOST + vm);
}

bool
ss_deploy_publish_vms (SsDeploy *deploy, int32_t leaving)
{
  GString *json = g_string_new ("{\"vms\":[");
  bool ok;

  for (uint32_t i = 0; i < deploy->vm_count; i++)
    {
      char ip[16];

      advertised_ip (deploy, i, ip, sizeof ip);
      g_string_append_printf (
          json,
          "%s{\"name\":\"%s\",\"failure_domain\":\"%s\",\"ip\":\"%s\","
          "\"peer_port\":%d,\"state\":\"%s\"}",
          i ? "," : "", deploy->vms[i].name, deploy->vms[i].failure_domain, ip,
          SS_DEPLOY_PEER_PORT, (int32_t) i == leaving ? "leaving" : "live");
    }
  g_string_append (json, "]}");
  ok = ss_deploy_control_platform (deploy, json->str);
  g_string_free (json, TRUE);
  return ok;
}

static bool
put_configuration (SsDeploy *d)
{
  char *key;
  char *json;
  bool ok = true;

  for (uint32_t i = 0; i < d->target_count && ok; i++)
    {
      key = g_strdup_printf ("target/%s", d->targets[i].name);
      json = g_strdup_printf (
          "{\"group\":\"%s\",\"ip\":\"%s\",\"port\":%d,"
          "\"failure_domain\":\"%s\",\"max_connections\":%u}",
          d->group, d->targets[i].ip, SS_DEPLOY_TARGET_PORT,
          d->targets[i].failure_domain, d->max_connections);
      ok = ss_deploy_put_object (d, key, json);
      g_free (key);
      g_free (json);
    }
  key = g_strdup_printf ("group/%s", d->group);
  json
      = g_strdup_printf ("{\"term\":1,\"primary\":\"%s\"}", d->targets[0].name);
  ok = ok && ss_deploy_put_object (d, key, json);
  g_free (key);
  g_free (json);
  key = g_strdup_printf ("service/%s", d->service);
  json = g_strdup_printf ("{\"group\":\"%s\",\"kinds\":{\"report\":"
                          "{\"staleness_ms\":%u}},\"identity\":\"%s\"}",
                          d->group, d->report_staleness_ms, d->identity);
  ok = ok && ss_deploy_put_object (d, key, json);
  g_free (key);
  g_free (json);
  return ok;
}

static bool
wait_http (const char *url, long expected_status, int64_t timeout_ms)
{
  int64_t deadline_ms = now_ms () + timeout_ms;

  while (now_ms () < deadline_ms)
    {
      if (ss_deploy_http ("GET", url, NULL, NULL) == expected_status)
        return true;
      g_usleep (POLL_INTERVAL_US);
    }
  return false;
}

char *
ss_deploy_program (const SsDeploy *d, const char *name)
{
  return g_build_filename (d->programs, name, NULL);
}

bool
ss_deploy_start_platform (SsDeploy *d)
{
  char *port = g_strdup_printf ("%d", SS_DEPLOY_PLATFORM_PORT);
  char *argv[] = { ss_deploy_program (d, "ss-standin-platform"), d->platform.ip,
                   port, NULL };
  char *url = platform_url (d, "v1/vms");
  bool ok = spawn (d, "platform", argv, &d->platform.pid)
            && wait_http (url, 200, READY_TIMEOUT_MS);

  g_free (argv[0]);
  g_free (port);
  g_free (url);
  return ok;
}

bool
ss_deploy_start_target (SsDeploy *deploy, uint32_t target)
{
  SsDeployProcess *t = &deploy->targets[target];
  char *port = g_strdup_printf ("%d", SS_DEPLOY_TARGET_PORT);
  char *data = g_strdup_printf ("%s/%s.data", deploy->directory, t->name);
  char *argv[] = { ss_deploy_program (deploy, "ss-standin-target"),
                   t->name,
                   t->ip,
                   port,
                   data,
                   NULL };
  bool ok = spawn (deploy, t->name, argv, &t->pid);

  g_free (argv[0]);
  g_free (data);
  g_free (port);
  return ok;
}

static bool
write_settings (SsDeploy *d, uint32_t vm, char **path)
{
  const SsDeployProcess *v = &d->vms[vm];
  char advertised[16];
  char *text;
  bool ok;

  advertised_ip (d, vm, advertised, sizeof advertised);
  text = g_strdup_printf (
      "[vm]\nname = \"%s\"\nfailure_domain = \"%s\"\nip = \"%s\"\n"
      "advertised_ip = \"%s\"\ncaller_port = %d\npeer_port = %d\n"
      "admin_port = %d\n\n"
      "[platform]\nip = \"%s\"\nport = %d\n\n"
      "[admin]\ntoken_file = \"%s/token\"\n\n"
      "[peers]\nseeds = \"%s.%d:%d %s.%d:%d\"\n",
      v->name, v->failure_domain, v->ip, advertised, SS_DEPLOY_CALLER_PORT,
      SS_DEPLOY_PEER_PORT, SS_DEPLOY_ADMIN_PORT, d->platform.ip,
      SS_DEPLOY_PLATFORM_PORT, d->directory, d->ip_prefix,
      FIRST_ADVERTISED_HOST, SS_DEPLOY_PEER_PORT, d->ip_prefix,
      FIRST_ADVERTISED_HOST + 1, SS_DEPLOY_PEER_PORT);
  *path = g_strdup_printf ("%s/%s.toml", d->directory, v->name);
  ok = g_file_set_contents (*path, text, -1, NULL);
  g_free (text);
  return ok;
}

bool
ss_deploy_start_vm (SsDeploy *deploy, uint32_t vm)
{
  SsDeployProcess *v = &deploy->vms[vm];
  char *path = NULL;
  bool ok = write_settings (deploy, vm, &path);
  char *argv[] = { g_build_filename (v->is_previous ? deploy->previous
                                                    : deploy->programs,
                                     "sapphirestaird", NULL),
                   (char *) "--config", path, NULL };

  ok = ok && spawn (deploy, v->name, argv, &v->pid);
  g_free (argv[0]);
  g_free (path);
  return ok;
}

/* Starts the relay that connects the VMs, so that partitions can be simulated.
 * The relay identifies the VMs by their addresses.
 */
static bool
start_network (SsDeploy *d)
{
  GPtrArray *argv = g_ptr_array_new_with_free_func (g_free);
  bool ok;

  g_ptr_array_add (argv, ss_deploy_program (d, "ss-standin-network"));
  g_ptr_array_add (argv,
                   g_strdup_printf ("%s.%d", d->ip_prefix, PLATFORM_HOST));
  g_ptr_array_add (argv, g_strdup_printf ("%d", SS_DEPLOY_PLATFORM_PORT + 1));
  for (uint32_t i = 0; i < d->vm_count; i++)
    {
      char ip[16];

      advertised_ip (d, i, ip, sizeof ip);
      g_ptr_array_add (argv,
                       g_strdup_printf ("%s:%d=%s:%d", ip, SS_DEPLOY_PEER_PORT,
                                        d->vms[i].ip, SS_DEPLOY_PEER_PORT));
    }
  g_ptr_array_add (argv, NULL);
  ok = spawn (d, "link", (char **) argv->pdata, &d->network.pid);
  g_ptr_array_free (argv, TRUE);
  return ok;
}

bool
ss_deploy_wait_ready (SsDeploy *deploy, uint32_t vm, int64_t timeout_ms)
{
  char *url = g_strdup_printf ("http://%s:%d/v1/health", deploy->vms[vm].ip,
                               SS_DEPLOY_ADMIN_PORT);
  bool ok = wait_http (url, 200, timeout_ms);

  g_free (url);
  return ok;
}

static bool
wait_primary (SsDeploy *d, int64_t timeout_ms)
{
  int64_t deadline_ms = now_ms () + timeout_ms;

  while (now_ms () < deadline_ms)
    {
      char *answer = ss_deploy_sql (d, 0, "", "SELECT count(*) FROM filings");
      bool ok = strcmp (answer, "0") == 0;

      g_free (answer);
      if (ok)
        return true;
      g_usleep (POLL_INTERVAL_US);
    }
  return false;
}

static bool
write_token (SsDeploy *d)
{
  char *path = g_build_filename (d->directory, "token", NULL);
  bool ok = g_file_set_contents (path, "loopback-only\n", -1, NULL);

  g_free (path);
  return ok;
}

static void
init_processes (SsDeploy *d, const char *domains, uint32_t vms_per_domain,
                uint32_t servers)
{
  char **names = g_strsplit (domains, ",", SS_DEPLOY_DOMAINS_MAX);

  for (uint32_t i = 0; names[i]; i++)
    g_strlcpy (d->domains[d->domain_count++], names[i], sizeof d->domains[0]);
  g_strfreev (names);
  d->vm_count = MIN (d->domain_count * vms_per_domain, SS_DEPLOY_MAX);
  d->target_count = MIN (servers, SS_DEPLOY_MAX);
  for (uint32_t i = 0; i < d->vm_count; i++)
    {
      SsDeployProcess *v = &d->vms[i];
      const char *domain = d->domains[i / vms_per_domain];

      g_snprintf (v->name, sizeof v->name, "%s-%u", domain,
                  i % vms_per_domain + 1);
      g_strlcpy (v->failure_domain, domain, sizeof v->failure_domain);
      g_snprintf (v->ip, sizeof v->ip, "%s.%u", d->ip_prefix, 1 + i);
    }
  for (uint32_t i = 0; i < d->target_count; i++)
    {
      SsDeployProcess *t = &d->targets[i];

      g_snprintf (t->name, sizeof t->name, "%s-%u", d->group, i + 1);
      g_strlcpy (t->failure_domain, d->domains[i % d->domain_count],
                 sizeof t->failure_domain);
      g_snprintf (t->ip, sizeof t->ip, "%s.%u", d->ip_prefix,
                  FIRST_TARGET_HOST + i);
    }
  g_snprintf (d->platform.ip, sizeof d->platform.ip, "%s.%d", d->ip_prefix,
              PLATFORM_HOST);
}

bool
ss_deploy_start (SsDeploy *deploy, const char *domains, uint32_t vms_per_domain,
                 uint32_t servers)
{
  bool ok;

  init_processes (deploy, domains, vms_per_domain, servers);
  ok = write_token (deploy) && ss_deploy_start_platform (deploy)
       && start_network (deploy) && ss_deploy_publish_vms (deploy, -1)
       && put_configuration (deploy);
  for (uint32_t i = 0; ok && i < deploy->target_count; i++)
    ok = ss_deploy_start_target (deploy, i);
  for (uint32_t i = 0; ok && i < deploy->vm_count; i++)
    ok = ss_deploy_start_vm (deploy, i);
  for (uint32_t i = 0; ok && i < deploy->vm_count; i++)
    ok = ss_deploy_wait_ready (deploy, i, READY_TIMEOUT_MS);
  return ok && wait_primary (deploy, READY_TIMEOUT_MS);
}

static void
add_addresses (GPtrArray *argv, const char *option, const SsDeployProcess *list,
               uint32_t count, int port)
{
  for (uint32_t i = 0; i < count; i++)
    g_ptr_array_add (argv,
                     g_strdup_printf ("%s=%s:%d", option, list[i].ip, port));
}

bool
ss_deploy_load (SsDeploy *deploy, char *const *arguments)
{
  GPtrArray *argv = g_ptr_array_new_with_free_func (g_free);
  static uint32_t runs;
  char *name = g_strdup_printf ("load-%u", ++runs);
  bool ok;

  g_ptr_array_add (argv, ss_deploy_program (deploy, "ss-load"));
  add_addresses (argv, "--entry", deploy->vms, deploy->vm_count,
                 SS_DEPLOY_CALLER_PORT);
  add_addresses (argv, "--admin", deploy->vms, deploy->vm_count,
                 SS_DEPLOY_ADMIN_PORT);
  add_addresses (argv, "--target", deploy->targets, deploy->target_count,
                 SS_DEPLOY_TARGET_PORT);
  g_ptr_array_add (argv, g_strdup_printf ("--service=%s", deploy->service));
  for (uint32_t i = 0; arguments[i]; i++)
    g_ptr_array_add (argv, g_strdup (arguments[i]));
  g_ptr_array_add (argv, NULL);
  ok = spawn (deploy, name, (char **) argv->pdata, &deploy->load);
  g_free (deploy->load_output);
  deploy->load_output = g_strdup_printf ("%s/%s.out", deploy->directory, name);
  g_free (name);
  g_ptr_array_free (argv, TRUE);
  return ok;
}

char *
ss_deploy_load_result (SsDeploy *deploy)
{
  char *text = NULL;
  char *line;

  while (deploy->load && waitpid (deploy->load, NULL, 0) < 0 && errno == EINTR)
    continue;
  deploy->load = 0;
  if (!deploy->load_output
      || !g_file_get_contents (deploy->load_output, &text, NULL, NULL))
    return g_strdup ("");
  g_strchomp (text);
  line = strrchr (text, '\n');
  line = g_strdup (line ? line + 1 : text);
  g_free (text);
  return line;
}
