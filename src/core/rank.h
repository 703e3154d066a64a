/* rank: rendezvous hashing, the one way in which roles are given out. */
#ifndef SS_RANK_H
#define SS_RANK_H

#include <stdint.h>

/* ss_rank_score: the weight of VM for SUBJECT; the highest one wins. */
uint64_t ss_rank_score (const char *vm, const char *subject);

#endif
