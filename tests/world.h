/* world: several decision cores, stand-in servers and a platform on one
 * injected clock, for the property tests.
 *
 * Everything random comes from the seed.  Messages between two vms are
 * delivered at most once and in order, or lost with their connection; control
 * messages may also be doubled and overtaken.
 */
#ifndef SS_TESTS_WORLD_H
#define SS_TESTS_WORLD_H

#include "core/node.h"
#include "standin/session.h"

#define WORLD_NODES 6
#define WORLD_SERVERS 3
#define WORLD_CALLERS 8
#define WORLD_DOMAINS 3

/* Mechanisms that a test breaks to show that the checks can fail. */
typedef enum
{
  WORLD_BREAK_NONE,
  WORLD_BREAK_HELD,    /* servers claim to hold what they don't */
  WORLD_BREAK_TERM,    /* a raised primary goes on as one */
  WORLD_BREAK_REQUEST, /* request ids are not unique */
  WORLD_BREAK_APPLIED, /* replicas claim to have applied what they hold */
  WORLD_BREAK_ANSWER,  /* answers of one connection reach another */
  WORLD_BREAK_COMMIT,  /* servers commit statement by statement */
  WORLD_BREAK_IDENTITY /* callers come under each other's names */
} WorldBreak;

typedef struct
{
  uint32_t seed;
  bool faults;
  int64_t busy_ms; /* how long callers work */
  WorldBreak broken;
} WorldParams;

typedef struct
{
  uint64_t statements;
  uint64_t acknowledged;
  uint64_t not_run;
  uint64_t may_have_run;
  uint64_t lost;
  uint64_t doubled;
  uint64_t stale;
  uint64_t crossed;
  uint64_t mixed;
  uint64_t ran_though_not_run;
  uint64_t reverted; /* configuration that went back */
  uint64_t late;     /* answers later than their deadline allows */
  bool recovered;    /* a write was accepted after the last fault */
  uint64_t promotions;
  uint64_t replica_reads;
  uint64_t actions_hash; /* of everything that the cores did */
  char first_violation[200];
} WorldReport;

/* world_run: runs one history. */
void world_run (const WorldParams *params, WorldReport *report);

/* world_violations: the sum of what must never happen. */
uint64_t world_violations (const WorldReport *report);

#endif
