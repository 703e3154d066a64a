#include "core/rank.h"

#include <string.h>
#include <xxhash.h>

uint64_t
ss_rank_score (const char *vm, const char *subject)
{
  XXH64_hash_t seed = XXH3_64bits (subject, strlen (subject));

  return XXH3_64bits_withSeed (vm, strlen (vm), seed);
}
