/* deploy: runs a deployment of real processes on loopback addresses.
 *
 * A deployment has VMs (sapphirestaird), stand-in targets, a stand-in platform
 * and a relay that simulates the network between the VMs.  Used by the demo,
 * the scenarios and the benchmarks.  Each process gets SIGKILL when its parent
 * dies.
 */
#ifndef SS_DEPLOY_H
#define SS_DEPLOY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define SS_DEPLOY_MAX 16 /* most VMs; also most targets */
#define SS_DEPLOY_DOMAINS_MAX 4
#define SS_DEPLOY_CALLER_PORT 5432
#define SS_DEPLOY_PEER_PORT 7100
#define SS_DEPLOY_ADMIN_PORT 7200
#define SS_DEPLOY_TARGET_PORT 5433
#define SS_DEPLOY_PLATFORM_PORT 8080

typedef struct
{
  char name[64];
  char ip[16];
  char failure_domain[32];
  pid_t pid; /* 0: not running */
  bool frozen;
  bool is_previous; /* a VM that is started with the version in production */
} SsDeployProcess;

typedef struct
{
  char *directory;    /* temporary; settings, data and logs */
  char *programs;     /* directory of the binaries */
  char *previous;     /* directory of the daemon of the version in production */
  char ip_prefix[12]; /* "127.x.y" */
  char domains[SS_DEPLOY_DOMAINS_MAX][32];
  uint32_t domain_count;
  char service[32];
  char group[32];
  uint32_t max_connections;     /* of each target */
  uint32_t report_staleness_ms; /* of the kind "report" */
  const char *identity;         /* of the service: "none" or "user" */
  SsDeployProcess platform;
  SsDeployProcess network;
  SsDeployProcess vms[SS_DEPLOY_MAX];
  uint32_t vm_count;
  SsDeployProcess targets[SS_DEPLOY_MAX];
  uint32_t target_count;
  pid_t load;        /* ss-load; 0: not running */
  char *load_output; /* path of the file with its standard output */
} SsDeploy;

/* ss_deploy_init: creates a temporary directory and sets the defaults.
 * PROGRAMS is the directory of the binaries.
 */
void ss_deploy_init (SsDeploy *deploy, const char *programs);
/* ss_deploy_finish: kills all processes.  Removes the directory unless KEEP. */
void ss_deploy_finish (SsDeploy *deploy, bool keep);

/* ss_deploy_start: starts all processes and waits until the VMs are ready and
 * a primary serves.  DOMAINS is a comma-separated list of failure domains.
 * Returns false on error, or if one of these waits exceeds 15 s.
 */
bool ss_deploy_start (SsDeploy *deploy, const char *domains,
                      uint32_t vms_per_domain, uint32_t servers);

bool ss_deploy_start_vm (SsDeploy *deploy, uint32_t vm);
/* ss_deploy_start_platform: starts the stand-in platform without objects and
 * waits until it answers.
 */
bool ss_deploy_start_platform (SsDeploy *deploy);
bool ss_deploy_start_target (SsDeploy *deploy, uint32_t target);
/* ss_deploy_wait_ready: returns false if VM does not answer its health check
 * with 200 within TIMEOUT_MS.
 */
bool ss_deploy_wait_ready (SsDeploy *deploy, uint32_t vm, int64_t timeout_ms);

/* ss_deploy_load: starts ss-load in the background with the addresses of the
 * deployment, followed by ARGUMENTS (NULL-terminated).
 */
bool ss_deploy_load (SsDeploy *deploy, char *const *arguments);
/* ss_deploy_load_result: waits until ss-load exits.  Returns the last line of
 * its output, or "" if there is none.  Freed by the caller.
 */
char *ss_deploy_load_result (SsDeploy *deploy);

/* ss_deploy_signal: sends signal NUMBER; after SIGKILL, reaps the process. */
void ss_deploy_signal (SsDeployProcess *process, int number);
/* ss_deploy_program: returns the path of the binary NAME.  Freed by the
 * caller.
 */
char *ss_deploy_program (const SsDeploy *deploy, const char *name);
/* ss_deploy_wait_exit: returns whether the process ended within TIMEOUT_MS.
 * Sets *CODE to its exit status, or to -1 if a signal ended it.
 */
bool ss_deploy_wait_exit (SsDeployProcess *process, int64_t timeout_ms,
                          int *code);

/* ss_deploy_control_target: sets fault NAME of TARGET to VALUE by SELECT
 * sapphirestair_control.  Returns false if the target refuses or does not
 * answer.
 */
bool ss_deploy_control_target (const SsDeployProcess *target, const char *name,
                               int64_t value);
/* ss_deploy_primary: returns the index of the primary with the highest term,
 * or -1 if no target is primary.  Stores that term in *TERM unless TERM is
 * NULL.
 */
int32_t ss_deploy_primary (SsDeploy *deploy, uint64_t *term);
/* ss_deploy_sql: runs SQL on a new connection to VM.  OPTIONS is appended to
 * the connection string.  Returns the first value, the command tag if there are
 * no rows, or the SQLSTATE on error.  Returns "no connection" if the connection
 * fails and "no answer" if it is lost afterwards.  Freed by the caller.
 */
char *ss_deploy_sql (SsDeploy *deploy, uint32_t vm, const char *options,
                     const char *sql);

/* ss_deploy_ctl: runs COMMAND by sapphirectl at VM.  Returns its exit code, or
 * -1 if it could not be run.  Stores its standard output in *OUTPUT, freed by
 * the caller.
 */
int ss_deploy_ctl (SsDeploy *deploy, uint32_t vm, const char *command,
                   char **output);

/* ss_deploy_control_platform: posts JSON to the /control endpoint of the
 * stand-in platform, which sets its faults and its list of VMs.
 */
bool ss_deploy_control_platform (SsDeploy *deploy, const char *json);
/* ss_deploy_http: returns the HTTP status, or 0 if there is no response within
 * 3 s.  Stores the response body in *ANSWER unless ANSWER is NULL; freed by the
 * caller.  BODY may be NULL.
 */
long ss_deploy_http (const char *method, const char *url, const char *body,
                     char **answer);
/* ss_deploy_put_object: stores a configuration object in the platform,
 * whatever its version.
 */
bool ss_deploy_put_object (SsDeploy *deploy, const char *key, const char *json);
/* ss_deploy_publish_vms: sets the platform's list of VMs.  LEAVING is the index
 * of a VM listed with state "leaving" (it shuts down gracefully), or -1.
 */
bool ss_deploy_publish_vms (SsDeploy *deploy, int32_t leaving);
/* ss_deploy_set_link_faults: sets the network faults of VM.  JSON has the
 * members that /link of ss-standin-network takes, without "ip".
 */
bool ss_deploy_set_link_faults (SsDeploy *deploy, uint32_t vm,
                                const char *json);
typedef enum
{
  SS_PARTITION_NONE,
  SS_PARTITION_ALONE,        /* the platform is on the other side */
  SS_PARTITION_WITH_PLATFORM /* the platform is on the domain's side */
} SsPartition;

/* ss_deploy_partition_domain: partitions DOMAIN from the other failure domains,
 * or heals the partition.  It separates VMs, also from the platform, and stops
 * the replication of the domain's targets; connections between VMs and targets
 * are not affected.  Only one failure domain can be partitioned at a time.
 */
bool ss_deploy_partition_domain (SsDeploy *deploy, const char *domain,
                                 SsPartition partition);

#endif
