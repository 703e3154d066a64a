/* rank: rendezvous hashing, which assigns all roles to VMs. */
#ifndef SS_RANK_H
#define SS_RANK_H

#include <stdint.h>

/* ss_rank_score: returns the score of VM for SUBJECT.  The VM with the highest
 * score gets the role.
 */
uint64_t ss_rank_score (const char *vm, const char *subject);
/* ss_rank_weighted: like ss_rank_score, but a VM gets a share of all roles that
 * is proportional to its WEIGHT, which is above 0.  VMs of equal weight rank as
 * by ss_rank_score.
 */
double ss_rank_weighted (const char *vm, const char *subject, uint32_t weight);

#endif
