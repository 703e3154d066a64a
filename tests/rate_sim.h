/* rate_sim: a deterministic simulation of the rate limiters of many VMs.
 *
 * Each VM has a clock that drifts.  Links lose and delay messages; VMs are cut
 * off from each other, pause, lose power, start and stop.  Operations arrive at
 * the VMs, and every one that runs is recorded, so that the number in each
 * window can be checked.
 */
#ifndef SS_TESTS_RATE_SIM_H
#define SS_TESTS_RATE_SIM_H

#include "core/rate_limiter.h"

#define RATE_SIM_VMS_MAX 300
#define RATE_SIM_ORGANISATIONS_MAX 86
#define RATE_SIM_WINDOW_MS 5000
#define RATE_SIM_OVERAGE 0.1
#define RATE_SIM_SLACK 20

typedef struct RateSim RateSim;

typedef struct
{
  char name[16];
  RateSim *sim;
  SsRateLimiter limiter;
  bool up;
  bool leaving;
  uint32_t incarnation;
  int64_t started_ms;
  double drift; /* of its clock: 0.01 is 1 % fast */
  int64_t clock_offset_ms;
  uint32_t partition; /* reaches VMs of the same partition only */
  int64_t paused_until_ms;
  int64_t heard_ms[RATE_SIM_VMS_MAX]; /* last heartbeats; 0: unknown VM */
  GQueue inbox;                       /* of messages that arrived in a pause */
  GQueue waiting;                     /* of RateSimOperation */
  uint64_t sent;                      /* messages */
  uint64_t renewals;                  /* of them, asks for no tokens */
  uint64_t received;
  uint64_t bytes; /* of both */
} RateSimVm;

typedef struct
{
  uint32_t vm;
  uint32_t organisation;
  int64_t sent_ms;
} RateSimOperation;

typedef struct
{
  char name[16];
  uint32_t rate_per_s; /* limit */
  uint32_t burst;
  double demand_per_s; /* random arrivals at random VMs */
  uint32_t sent;
  uint32_t served;
  uint32_t refused;
  uint32_t waited;
  uint32_t beyond; /* refused by one bucket for all VMs */
  double tokens;   /* of that bucket */
  GArray *runs;    /* int64_t: when the operations that ran were sent */
} RateSimOrganisation;

struct RateSim
{
  GRand *rand;
  int64_t now_ms;
  RateSimVm vms[RATE_SIM_VMS_MAX];
  uint32_t vm_count; /* that exist or existed */
  RateSimOrganisation organisations[RATE_SIM_ORGANISATIONS_MAX];
  uint32_t organisation_count;
  GQueue *schedule; /* by the millisecond that messages arrive in */
  double loss;      /* probability that a message is lost */
  double not_run;   /* probability that an operation is refused later */
  double
      repeated; /* probability that an attempt may have run and is repeated */
  int64_t delay_max_ms;
  int64_t patience_ms; /* an operation that waits longer is refused */
};

/* rate_sim_init: starts VMS VMs.  The caller owns the memory, which is large.
 */
void rate_sim_init (RateSim *sim, uint32_t seed, uint32_t vms);
void rate_sim_finish (RateSim *sim);
/* rate_sim_add: adds an organisation with a limit; returns its index. */
uint32_t rate_sim_add (RateSim *sim, uint32_t rate_per_s, uint32_t burst,
                       double demand_per_s);
/* rate_sim_set_limit: changes a limit at VM. */
void rate_sim_set_limit (RateSim *sim, uint32_t vm, uint32_t organisation,
                         uint32_t rate_per_s, uint32_t burst);
void rate_sim_start (RateSim *sim, uint32_t vm);
/* rate_sim_kill: VM loses power.  rate_sim_leave: it stops as planned. */
void rate_sim_kill (RateSim *sim, uint32_t vm);
void rate_sim_leave (RateSim *sim, uint32_t vm);
void rate_sim_advance (RateSim *sim, int64_t ms);
/* rate_sim_send: sends one operation to VM. */
void rate_sim_send (RateSim *sim, uint32_t vm, uint32_t organisation);
/* rate_sim_doubled: returns how many shares are used by more than one VM now.
 */
uint32_t rate_sim_doubled (RateSim *sim);
/* rate_sim_worst: returns the highest number of operations of an organisation
 * that were sent in one window and ran.
 */
uint32_t rate_sim_worst (const RateSim *sim, uint32_t organisation);
/* rate_sim_bound: returns the bound for that number. */
double rate_sim_bound (uint32_t rate_per_s, uint32_t burst);
/* rate_sim_clear: forgets all operations so far. */
void rate_sim_clear (RateSim *sim);

#endif
