#include "balance/trial_router.h"

#include <string.h>
#include <xxhash.h>

uint32_t
trial_router_choose (const pool_router_t *routers, size_t n,
                     const char *region, uint64_t request)
{
  uint32_t chosen = 0;
  uint64_t highest = 0;
  for (size_t i = 0; i < n; i++)
    {
      if (strcmp (routers[i].region.text, region) != 0)
        continue;
      const uint64_t pair[] = { request, routers[i].address };
      uint64_t score = XXH3_64bits (pair, sizeof pair);
      if (chosen != 0 && score <= highest)
        continue;
      chosen = routers[i].address;
      highest = score;
    }
  return chosen;
}
