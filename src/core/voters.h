/* voters: the servers that count for the majorities of a group.
 *
 * A voter is one server process.  The platform's object voters/GROUP holds the
 * set in force and, while it changes, the set before (docs/design/voters.md).
 * Voters that the platform does not list still count in the size of a set.
 */
#ifndef SS_VOTERS_H
#define SS_VOTERS_H

#include <jansson.h>

#include "core/config.h"

#define SS_VOTERS_PREFIX "voters/"

typedef struct
{
  char *name;
  char *ip;
  uint16_t port;
  int64_t born_ms; /* Unix time of its start; 0: unknown */
} SsVoter;

struct SsVoters
{
  char *group;
  int64_t version;     /* of the platform's object */
  uint64_t generation; /* rises with each change */
  GPtrArray *current;  /* of SsVoter */
  GPtrArray *former;   /* of SsVoter; counts beside current; empty: no change */
};

/* ss_voters_new: returns voters of GROUP; takes ownership of the sets.  FORMER
 * may be NULL: an empty set.
 */
SsVoters *ss_voters_new (const char *group, uint64_t generation,
                         GPtrArray *current, GPtrArray *former);
void ss_voters_free (gpointer voters);
/* ss_voters_parse: returns the voters of GROUP that JSON describes; NULL with
 * *ERROR, to be freed, if it is invalid.
 */
SsVoters *ss_voters_parse (const char *group, json_t *json, char **error);
/* ss_voters_text: returns VOTERS as the value of their object; free with
 * free ().
 */
char *ss_voters_text (const SsVoters *voters);

/* ss_voters_set_copy: returns a copy of SET. */
GPtrArray *ss_voters_set_copy (const GPtrArray *set);
/* ss_voters_set_of: returns SERVERS, a bit set of group->servers, as a set. */
GPtrArray *ss_voters_set_of (const SsGroup *group, uint32_t servers);
/* ss_voters_set_is_equal: whether A and B have the same voters, in any order.
 */
bool ss_voters_set_is_equal (const GPtrArray *a, const GPtrArray *b);

/* ss_voters_contain: whether TARGET is a voter of one of the sets of VOTERS. */
bool ss_voters_contain (const SsVoters *voters, const SsTarget *target);
/* ss_voter_is_target: whether TARGET is this process. */
bool ss_voter_is_target (const SsVoter *voter, const SsTarget *target);
/* ss_voter_has_ended: whether one of TARGETS, which may be NULL, shows that
 * this process has ended: another one was listed at its address or under its
 * name after VERSION, that of the object that names the voter.
 */
bool ss_voter_has_ended (const SsVoter *voter, int64_t version,
                         const GPtrArray *targets);

/* ss_group_count_voters: counts VOTERS in GROUP, whose known targets are
 * TARGETS.  NULL: every listed server is a voter.
 */
void ss_group_count_voters (SsGroup *group, const SsVoters *voters,
                            const GPtrArray *targets);
/* ss_group_is_majority: whether SERVERS, a bit set of group->servers, contains
 * a majority of each set of voters.
 */
bool ss_group_is_majority (const SsGroup *group, uint32_t servers);
/* ss_group_is_current_majority: whether SERVERS contains a majority of the
 * voters in force, without those before a change.
 */
bool ss_group_is_current_majority (const SsGroup *group, uint32_t servers);
/* ss_group_is_all: whether SERVERS contains all voters. */
bool ss_group_is_all (const SsGroup *group, uint32_t servers);
/* ss_group_is_blocking: whether SERVERS has a server in common with every
 * majority of each set of voters.
 */
bool ss_group_is_blocking (const SsGroup *group, uint32_t servers);
/* ss_group_has_former: whether SERVERS has a server in common with every
 * majority of the voters before a change; true without a change.
 */
bool ss_group_has_former (const SsGroup *group, uint32_t servers);

#endif
