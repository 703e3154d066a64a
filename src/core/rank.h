/* rank: rendezvous hashing, which assigns all roles to VMs. */
#ifndef SS_RANK_H
#define SS_RANK_H

#include <stdint.h>

/* ss_rank_score: returns the score of VM for SUBJECT.  The VM with the highest
 * score gets the role.
 */
uint64_t ss_rank_score (const char *vm, const char *subject);

#endif
