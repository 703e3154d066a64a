#include "core/rank.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

uint64_t
ss_rank_score (const char *vm, const char *subject)
{
  XXH64_hash_t seed = XXH3_64bits (subject, strlen (subject));

  return XXH3_64bits_withSeed (vm, strlen (vm), seed);
}

double
ss_rank_weighted (const char *vm, const char *subject, uint32_t weight)
{
  double uniform = ((double) ss_rank_score (vm, subject) + 0.5) / 0x1p64;

  return -(double) weight / log (uniform);
}
