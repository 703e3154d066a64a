/* deploy: a small deployment of real processes on loopback.
 *
 * Shared by the demo, the scenarios and the benchmarks.  Every process ends
 * with the one that started it.
 */
#ifndef SS_DEPLOY_H
#define SS_DEPLOY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define SS_DEPLOY_MAX 16
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
} SsDeployProcess;

typedef struct
{
  char *directory;  /* of settings, data and logs */
  char *programs;   /* where the binaries are */
  char ip_prefix[12]; /* "127.x.y" */
  char domains[SS_DEPLOY_DOMAINS_MAX][32];
  uint32_t domain_count;
  char service[32];
  char group[32];
  uint32_t max_connections;
  uint32_t report_staleness_ms;
  const char *identity; /* of the service: none or user */
  SsDeployProcess platform;
  SsDeployProcess network;
  SsDeployProcess vms[SS_DEPLOY_MAX];
  uint32_t vm_count;
  SsDeployProcess targets[SS_DEPLOY_MAX];
  uint32_t target_count;
  pid_t load;
  char *load_output;
} SsDeploy;

/* ss_deploy_init: PROGRAMS is the directory of the binaries. */
void ss_deploy_init (SsDeploy *deploy, const char *programs);
/* ss_deploy_finish: ends every process; KEEP leaves the directory. */
void ss_deploy_finish (SsDeploy *deploy, bool keep);

/* ss_deploy_start: starts all and waits until the vms are ready; returns
 * false where they are not in time.
 */
bool ss_deploy_start (SsDeploy *deploy, const char *domains,
                      uint32_t vms_per_domain, uint32_t servers);

bool ss_deploy_start_vm (SsDeploy *deploy, uint32_t vm);
bool ss_deploy_start_target (SsDeploy *deploy, uint32_t target);
bool ss_deploy_wait_ready (SsDeploy *deploy, uint32_t vm, int64_t timeout_ms);

/* ss_deploy_load: starts ss-load with ARGUMENTS besides the addresses. */
bool ss_deploy_load (SsDeploy *deploy, char *const *arguments);
/* ss_deploy_load_result: waits for it; the last line, freed by the caller. */
char *ss_deploy_load_result (SsDeploy *deploy);

void ss_deploy_signal (SsDeployProcess *process, int number);
/* ss_deploy_program: path of the binary NAME; freed by the caller. */
char *ss_deploy_program (const SsDeploy *deploy, const char *name);
/* ss_deploy_wait_exit: whether the process ended in time, and its code. */
bool ss_deploy_wait_exit (SsDeployProcess *process, int64_t timeout_ms, int *code);

/* ss_deploy_control_target: SELECT sapphirestair_control on a target. */
bool ss_deploy_control_target (const SsDeployProcess *target, const char *name,
                        int64_t value);
/* ss_deploy_primary: index of the target that serves with the highest term;
 * -1 where none does.  *TERM may be NULL.
 */
int32_t ss_deploy_primary (SsDeploy *deploy, uint64_t *term);
/* ss_deploy_sql: runs SQL at a vm; the first value or the SQLSTATE, freed by
 * the caller.
 */
char *ss_deploy_sql (SsDeploy *deploy, uint32_t vm, const char *options,
                     const char *sql);

/* ss_deploy_ctl: runs sapphirectl at one vm; its exit code, or -1. */
int ss_deploy_ctl (SsDeploy *deploy, uint32_t vm, const char *command,
                   char **output);

/* ss_deploy_control_platform: posts JSON to the platform's /control. */
bool ss_deploy_control_platform (SsDeploy *deploy, const char *json);
/* ss_deploy_http: the answer's status, or 0; *ANSWER may be NULL. */
long ss_deploy_http (const char *method, const char *url, const char *body,
                     char **answer);
/* ss_deploy_put_object: puts an object unconditionally. */
bool ss_deploy_put_object (SsDeploy *deploy, const char *key, const char *json);
/* ss_deploy_publish_vms: has the platform list the vms; LEAVING is an index or
 * -1.
 */
bool ss_deploy_publish_vms (SsDeploy *deploy, int32_t leaving);
/* ss_deploy_set_link_faults: sets the faults of the network at VM: JSON members as
 * ss-standin-network takes them, without the address.
 */
bool ss_deploy_set_link_faults (SsDeploy *deploy, uint32_t vm, const char *json);
/* ss_deploy_partition_domain: cuts or heals all between DOMAIN and the rest. */
bool ss_deploy_partition_domain (SsDeploy *deploy, const char *domain, bool partitioned);

#endif
