/* ss-scenario: runs scenario files against real processes on loopback.
 *
 * A scenario has one command per line.  tests/scenario/README.md describes the
 * language.
 */
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "bench/deploy.h"

#define AWAIT_TIMEOUT_MS 30000
#define POLL_INTERVAL_US 20000

typedef struct
{
  SsDeploy deploy;
  json_t *result; /* report of the last load */
  char *result_text;
  int32_t primary; /* target at the last "note primary"; -1: none */
  int32_t owner;   /* VM that owned it when first looked up; -1: unknown */
  const char *path;
  uint32_t line;
} Run;

static volatile sig_atomic_t interrupted;

static int64_t
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

static bool
fail (const Run *run, const char *format, ...)
{
  va_list args;

  fprintf (stderr, "%s:%u: ", run->path, run->line);
  va_start (args, format);
  vfprintf (stderr, format, args);
  va_end (args);
  fputc ('\n', stderr);
  return false;
}

/* Returns the value of "NAME=value" among ARGV, or FALLBACK. */
static const char *
option (char **argv, const char *name, const char *fallback)
{
  size_t bytes = strlen (name);

  for (uint32_t i = 1; argv[i]; i++)
    if (strncmp (argv[i], name, bytes) == 0 && argv[i][bytes] == '=')
      return argv[i] + bytes + 1;
  return fallback;
}

/* Returns the VM that owned the noted primary when first looked up, or NULL. */
static SsDeployProcess *
find_owner (Run *run, uint32_t *index)
{
  SsDeploy *d = &run->deploy;
  char *url;
  char *command;
  char *answer = NULL;
  SsDeployProcess *found = NULL;
  json_t *json;
  const char *name;

  if (run->owner >= 0)
    {
      *index = (uint32_t) run->owner;
      return &d->vms[run->owner];
    }
  if (run->primary < 0)
    return NULL;
  command = g_strdup_printf ("show targets where name = '%s'",
                             d->targets[run->primary].name);
  url = g_strdup_printf ("http://%s:%d/v1/command", d->vms[0].ip,
                         SS_DEPLOY_ADMIN_PORT);
  ss_deploy_http ("POST", url, command, &answer);
  json = json_loads (answer, 0, NULL);
  name = json_string_value (json_object_get (
      json_array_get (json_object_get (json, "rows"), 0), "owner_vm"));
  for (uint32_t i = 0; name && i < d->vm_count; i++)
    if (strcmp (d->vms[i].name, name) == 0)
      {
        found = &d->vms[i];
        run->owner = (int32_t) i;
        *index = i;
      }
  json_decref (json);
  g_free (answer);
  g_free (url);
  g_free (command);
  return found;
}

/* Returns the process that ARGV[1] and ARGV[2] name, or NULL.  Sets *INDEX to
 * its index among the VMs or targets.
 */
static SsDeployProcess *
find_process (Run *run, char **argv, uint32_t *index)
{
  SsDeploy *d = &run->deploy;

  *index = 0;
  if (!argv[1])
    return NULL;
  if (strcmp (argv[1], "platform") == 0)
    return &d->platform;
  if (strcmp (argv[1], "owner") == 0)
    return find_owner (run, index);
  if (strcmp (argv[1], "primary") == 0)
    {
      if (run->primary < 0)
        return NULL;
      *index = (uint32_t) run->primary;
      return &d->targets[run->primary];
    }
  if (!argv[2])
    return NULL;
  *index = (uint32_t) atoi (argv[2]);
  if (strcmp (argv[1], "vm") == 0 && *index < d->vm_count)
    return &d->vms[*index];
  if (strcmp (argv[1], "target") == 0 && *index < d->target_count)
    return &d->targets[*index];
  return NULL;
}

static bool
do_deployment (Run *run, char **argv)
{
  run->deploy.max_connections
      = (uint32_t) atoi (option (argv, "connections", "20"));
  run->deploy.report_staleness_ms
      = (uint32_t) atoi (option (argv, "staleness_ms", "30000"));
  run->deploy.identity = option (argv, "identity", "none");
  for (uint32_t i = 0; i < SS_DEPLOY_MAX; i++)
    run->deploy.vms[i].is_previous
        = strcmp (option (argv, "version", "current"), "previous") == 0;
  if (ss_deploy_start (
          &run->deploy,
          option (argv, "domains", "aarhus-hal,koege-hal,odense-hal"),
          (uint32_t) atoi (option (argv, "vms", "2")),
          (uint32_t) atoi (option (argv, "servers", "3"))))
    return true;
  return fail (run, "the deployment could not be started");
}

static bool
do_load (Run *run, char **argv)
{
  GPtrArray *arguments = g_ptr_array_new_with_free_func (g_free);
  bool ok;

  for (uint32_t i = 1; argv[i]; i++)
    g_ptr_array_add (arguments, g_strdup_printf ("--%s", argv[i]));
  g_ptr_array_add (arguments, NULL);
  ok = ss_deploy_load (&run->deploy, (char **) arguments->pdata);
  g_ptr_array_free (arguments, TRUE);
  return ok || fail (run, "ss-load could not be started");
}

static bool
do_wait (Run *run, char **argv)
{
  int64_t deadline_ms = now_ms () + atoi (argv[1] ? argv[1] : "0");

  (void) run;
  while (now_ms () < deadline_ms && !interrupted)
    g_usleep (POLL_INTERVAL_US);
  return true;
}

static bool
do_signal (Run *run, char **argv)
{
  uint32_t index;
  SsDeployProcess *p = find_process (run, argv, &index);

  if (!p || !p->pid)
    return fail (run, "no such process, or it is not running");
  if (strcmp (argv[0], "kill") == 0)
    ss_deploy_signal (p, SIGKILL);
  else if (strcmp (argv[0], "freeze") == 0)
    ss_deploy_signal (p, SIGSTOP);
  else if (strcmp (argv[0], "thaw") == 0)
    ss_deploy_signal (p, SIGCONT);
  else
    ss_deploy_signal (p, SIGTERM);
  p->frozen = strcmp (argv[0], "freeze") == 0;
  return true;
}

static bool
do_start (Run *run, char **argv)
{
  uint32_t index;
  SsDeployProcess *p = find_process (run, argv, &index);

  if (!p || p->pid)
    return fail (run, "no such process, or it is already running");
  if (p >= run->deploy.vms && p < run->deploy.vms + SS_DEPLOY_MAX)
    return ss_deploy_start_vm (&run->deploy, index);
  if (p == &run->deploy.platform)
    return ss_deploy_start_platform (&run->deploy);
  return ss_deploy_start_target (&run->deploy, index);
}

/* "version previous vm N", "version current vm N": sets the version that VM N
 * runs from its next start on.
 */
static bool
do_version (Run *run, char **argv)
{
  bool is_previous = g_strcmp0 (argv[1], "previous") == 0;
  uint32_t index;
  SsDeployProcess *p;

  if (!is_previous && g_strcmp0 (argv[1], "current") != 0)
    return fail (run, "the version is \"previous\" or \"current\"");
  p = find_process (run, argv + 1, &index);
  if (!p || p != &run->deploy.vms[index])
    return fail (run, "no such vm");
  p->is_previous = is_previous;
  return true;
}

/* "cut DOMAIN [with-platform]", "heal DOMAIN" */
static bool
do_partition (Run *run, char **argv)
{
  SsPartition partition = SS_PARTITION_NONE;

  if (strcmp (argv[0], "cut") == 0)
    partition = argv[1] && g_strcmp0 (argv[2], "with-platform") == 0
                    ? SS_PARTITION_WITH_PLATFORM
                    : SS_PARTITION_ALONE;
  if (!argv[1]
      || !ss_deploy_partition_domain (&run->deploy, argv[1], partition))
    return fail (run, "can't %s the failure domain", argv[0]);
  return true;
}

/* "link N JSON": sets the network faults of VM N. */
static bool
do_link (Run *run, char **argv)
{
  uint32_t vm = argv[1] ? (uint32_t) atoi (argv[1]) : 0;

  if (!argv[1] || !argv[2] || vm >= run->deploy.vm_count
      || !ss_deploy_set_link_faults (&run->deploy, vm, argv[2]))
    return fail (run, "no such vm, or ss-standin-network rejected the fault");
  return true;
}

static bool
do_platform (Run *run, char **argv)
{
  if (!argv[1] || !ss_deploy_control_platform (&run->deploy, argv[1]))
    return fail (run, "the stand-in platform rejected the control request");
  return true;
}

/* "control primary NAME VALUE", "control target N NAME VALUE" */
static bool
do_control (Run *run, char **argv)
{
  uint32_t index = 0;
  SsDeployProcess *p = find_process (run, argv, &index);
  uint32_t name_index = argv[1] && strcmp (argv[1], "primary") == 0 ? 2 : 3;

  if (!p || !argv[name_index] || !argv[name_index + 1]
      || !ss_deploy_control_target (p, argv[name_index],
                                    atoi (argv[name_index + 1])))
    return fail (run, "no such target, or it rejected the control request");
  return true;
}

static bool
do_put (Run *run, char **argv)
{
  if (!argv[1] || !argv[2]
      || !ss_deploy_put_object (&run->deploy, argv[1], argv[2]))
    return fail (run, "the stand-in platform rejected the object");
  return true;
}

static bool
do_note (Run *run, char **argv)
{
  (void) argv;
  run->primary = ss_deploy_primary (&run->deploy, NULL);
  return run->primary >= 0 || fail (run, "no target is primary");
}

static bool
primary_changed (Run *run)
{
  int32_t primary = ss_deploy_primary (&run->deploy, NULL);

  return primary >= 0 && primary != run->primary;
}

/* "await new-primary", "await ready vm N", "await exit vm N" */
static bool
do_await (Run *run, char **argv)
{
  int64_t deadline_ms = now_ms () + AWAIT_TIMEOUT_MS;
  uint32_t index = 0;
  SsDeployProcess *p
      = argv[1] && argv[2] ? find_process (run, argv + 1, &index) : NULL;
  int code = 0;

  if (argv[1] && strcmp (argv[1], "ready") == 0)
    return (p && ss_deploy_wait_ready (&run->deploy, index, AWAIT_TIMEOUT_MS))
           || fail (run, "no such vm, or it did not become ready in time");
  if (argv[1] && strcmp (argv[1], "exit") == 0)
    {
      if (!p || !ss_deploy_wait_exit (p, AWAIT_TIMEOUT_MS, &code))
        return fail (run, "no such process, or it did not exit in time");
      return code == 0 || fail (run, "the process exited with status %d", code);
    }
  while (now_ms () < deadline_ms && !interrupted)
    {
      if (primary_changed (run))
        return true;
      g_usleep (POLL_INTERVAL_US);
    }
  return fail (run, "no other target became primary in time");
}

/* "sql N SQL EXPECTED [conninfo=...]": runs SQL at VM N.  "await-sql" retries
 * until the answer matches.
 */
static bool
do_sql (Run *run, char **argv)
{
  int64_t deadline_ms = now_ms () + AWAIT_TIMEOUT_MS;
  bool retry = argv[0][0] == 'a';
  char *answer;
  bool ok;

  if (!argv[1] || !argv[2] || !argv[3])
    return fail (run, "sql needs a vm, a statement and the expected answer");
  do
    {
      answer = ss_deploy_sql (&run->deploy, (uint32_t) atoi (argv[1]),
                              option (argv, "conninfo", ""), argv[2]);
      ok = strcmp (answer, argv[3]) == 0;
      if (!ok && !retry)
        fail (run, "expected %s, got %s", argv[3], answer);
      g_free (answer);
      if (!ok && retry)
        g_usleep (POLL_INTERVAL_US);
    }
  while (!ok && retry && now_ms () < deadline_ms && !interrupted);
  return ok || fail (run, "unexpected answer to: %s", argv[2]);
}

/* "ctl N COMMAND [EXIT-CODE|any]": runs sapphirectl at VM N. */
static bool
do_ctl (Run *run, char **argv)
{
  char *output = NULL;
  int expected_code = argv[1] && argv[2] && argv[3] ? atoi (argv[3]) : 0;
  int code;

  if (!argv[1] || !argv[2])
    return fail (run, "ctl needs a vm and a command");
  code = ss_deploy_ctl (&run->deploy, (uint32_t) atoi (argv[1]), argv[2],
                        &output);
  if (argv[3] && strcmp (argv[3], "any") == 0)
    expected_code = code;
  if (code != expected_code)
    fail (run, "sapphirectl exited with status %d, expected %d: %s", code,
          expected_code, output);
  g_free (output);
  return code == expected_code;
}

/* "race N COMMAND M COMMAND": runs both concurrently, at VMs N and M, and
 * expects that exactly one is accepted.
 */
static bool
do_race (Run *run, char **argv)
{
  pid_t children[2];
  int accepted = 0;

  if (g_strv_length (argv) < 5)
    return fail (run, "race needs two vms with a command each");
  for (uint32_t i = 0; i < 2; i++)
    {
      children[i] = fork ();
      if (children[i] == 0)
        {
          char *output = NULL;

          _exit (ss_deploy_ctl (&run->deploy, (uint32_t) atoi (argv[1 + 2 * i]),
                                argv[2 + 2 * i], &output));
        }
    }
  for (uint32_t i = 0; i < 2; i++)
    {
      int status = 0;

      waitpid (children[i], &status, 0);
      accepted += WIFEXITED (status) && WEXITSTATUS (status) == 0 ? 1 : 0;
    }
  return accepted == 1
         || fail (run, "%d of the two commands were accepted, expected 1",
                  accepted);
}

/* "run COMMAND": runs a shell command.  Its environment has the deployment's
 * addresses: SS_VM_n, SS_VM_PID_n, SS_TARGET_n, SS_PLATFORM, SS_DIRECTORY,
 * SS_OWNER (the owner of the noted primary) and SS_OTHER (a different VM).
 */
static bool
do_run (Run *run, char **argv)
{
  SsDeploy *d = &run->deploy;
  uint32_t owner = 0;
  char name[32];
  char value[64];

  for (uint32_t i = 0; i < d->vm_count; i++)
    {
      g_snprintf (name, sizeof name, "SS_VM_%u", i);
      g_setenv (name, d->vms[i].ip, TRUE);
      g_snprintf (name, sizeof name, "SS_VM_PID_%u", i);
      g_snprintf (value, sizeof value, "%d", d->vms[i].pid);
      g_setenv (name, value, TRUE);
    }
  for (uint32_t i = 0; i < d->target_count; i++)
    {
      g_snprintf (name, sizeof name, "SS_TARGET_%u", i);
      g_setenv (name, d->targets[i].ip, TRUE);
    }
  g_setenv ("SS_PLATFORM", d->platform.ip, TRUE);
  g_setenv ("SS_DIRECTORY", d->directory, TRUE);
  if (run->primary >= 0 && find_owner (run, &owner))
    {
      g_setenv ("SS_OWNER", d->vms[owner].ip, TRUE);
      g_setenv ("SS_OTHER", d->vms[owner ^ 1].ip, TRUE);
    }
  return (argv[1] && system (argv[1]) == 0)
         || fail (run, "the shell command failed");
}

static bool
do_result (Run *run, char **argv)
{
  (void) argv;
  json_decref (run->result);
  g_free (run->result_text);
  run->result_text = ss_deploy_load_result (&run->deploy);
  run->result = json_loads (run->result_text, 0, NULL);
  return run->result != NULL || fail (run, "ss-load printed no result");
}

static bool
compare (double value, const char *op, double bound)
{
  if (strcmp (op, "=") == 0)
    return value == bound;
  if (strcmp (op, "<") == 0)
    return value < bound;
  if (strcmp (op, ">") == 0)
    return value > bound;
  if (strcmp (op, "<=") == 0)
    return value <= bound;
  return strcmp (op, ">=") == 0 && value >= bound;
}

static bool
do_expect (Run *run, char **argv)
{
  json_t *field;
  double value;

  if (!argv[1] || !argv[2] || !argv[3])
    return fail (run, "expect needs a field, an operator and a value");
  field = json_object_get (run->result, argv[1]);
  if (!field)
    return fail (run, "the load's result has no field %s", argv[1]);
  value = json_is_boolean (field) ? json_is_true (field)
                                  : json_number_value (field);
  if (compare (value, argv[2], g_ascii_strtod (argv[3], NULL)))
    return true;
  return fail (run, "%s is %g, expected %s %s", argv[1], value, argv[2],
               argv[3]);
}

static bool
do_print (Run *run, char **argv)
{
  (void) argv;
  puts (run->result_text ? run->result_text : "");
  fflush (stdout);
  return true;
}

typedef struct
{
  const char *name;
  bool (*run) (Run *run, char **argv);
} Command;

static const Command commands[] = {
  { "deployment", do_deployment },
  { "load", do_load },
  { "wait", do_wait },
  { "kill", do_signal },
  { "freeze", do_signal },
  { "thaw", do_signal },
  { "stop", do_signal },
  { "start", do_start },
  { "version", do_version },
  { "cut", do_partition },
  { "heal", do_partition },
  { "link", do_link },
  { "platform", do_platform },
  { "control", do_control },
  { "put", do_put },
  { "note", do_note },
  { "await", do_await },
  { "run", do_run },
  { "ctl", do_ctl },
  { "race", do_race },
  { "sql", do_sql },
  { "await-sql", do_sql },
  { "result", do_result },
  { "expect", do_expect },
  { "print", do_print },
};

static bool
run_line (Run *run, const char *text)
{
  GError *error = NULL;
  char **argv = NULL;
  bool ok = false;

  if (!*text || *text == '#')
    return true;
  if (!g_shell_parse_argv (text, NULL, &argv, &error))
    {
      fail (run, "%s", error->message);
      g_error_free (error);
      return false;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    if (strcmp (argv[0], commands[i].name) == 0)
      {
        ok = commands[i].run (run, argv);
        goto done;
      }
  fail (run, "unknown command: %s", argv[0]);
done:
  g_strfreev (argv);
  return ok;
}

static void
on_signal (int number)
{
  interrupted = number;
}

static bool
run_file (Run *run)
{
  char *text = NULL;
  char **lines;
  bool ok = true;

  if (!g_file_get_contents (run->path, &text, NULL, NULL))
    return fail (run, "the file can't be read");
  lines = g_strsplit (text, "\n", -1);
  for (uint32_t i = 0; lines[i] && ok && !interrupted; i++)
    {
      run->line = i + 1;
      ok = run_line (run, g_strstrip (lines[i]));
    }
  g_strfreev (lines);
  g_free (text);
  return ok && !interrupted;
}

int
main (int argc, char **argv)
{
  struct sigaction action = { .sa_handler = on_signal };
  char *programs;
  bool keep = argc > 1 && strcmp (argv[1], "--keep") == 0;
  int failed = 0;

  if (argc < (keep ? 3 : 2))
    {
      fprintf (stderr, "usage: ss-scenario [--keep] FILE...\n");
      return 2;
    }
  prctl (PR_SET_PDEATHSIG, SIGTERM);
  sigaction (SIGINT, &action, NULL);
  sigaction (SIGTERM, &action, NULL);
  programs = g_path_get_dirname (argv[0]);
  for (int i = keep ? 2 : 1; i < argc && !interrupted; i++)
    {
      Run run = { .path = argv[i], .primary = -1, .owner = -1 };
      bool ok;

      ss_deploy_init (&run.deploy, programs);
      ok = run_file (&run);
      if (interrupted)
        fprintf (stderr, "%s: interrupted\n", argv[i]);
      else if (!ok)
        fprintf (stderr, "%s: FAILED; logs are in %s\n", argv[i],
                 run.deploy.directory);
      failed += ok ? 0 : 1;
      if (keep)
        fprintf (stderr, "logs are in %s\n", run.deploy.directory);
      ss_deploy_finish (&run.deploy, keep || (!ok && !interrupted));
      json_decref (run.result);
      g_free (run.result_text);
    }
  g_free (programs);
  return failed ? 1 : 0;
}
