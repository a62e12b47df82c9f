/* bench-lookup-table: look-ups a second on one core, the time to build a
   table and its size, at the size to design for.  */

#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"
#include "placement/lookup_table.h"

enum
{
  N_BLOCKS = 110000,
  N_SITES = 400,
  N_REGIONS = 18,
  N_DOMAINS = 64,
  N_LOOKUPS = 50000000,
  BLOCK_STEP = 7919, /* a prime: neighbours in time are not in memory */
  KIB = 1024,
};

static lookup_table_t *
build (region_id_t *blocks)
{
  static lookup_site_t sites[N_SITES];
  uint32_t shares[N_REGIONS];
  for (size_t i = 0; i < N_BLOCKS; i++)
    blocks[i] = (region_id_t)(i * 31 % N_REGIONS);
  for (size_t i = 0; i < N_SITES; i++)
    {
      domain_id_t domain = (domain_id_t)(i % N_DOMAINS);
      sites[i] = (lookup_site_t){ .vm = (vm_id_t)i,
                                  .region = domain % N_REGIONS,
                                  .domain = domain,
                                  .weight = 1 };
    }
  for (uint32_t r = 0; r < N_REGIONS; r++)
    shares[r] = 90 + r;
  lookup_table_options_t options = { .sites = sites,
                                     .n_sites = N_SITES,
                                     .n_regions = N_REGIONS,
                                     .region_share = shares,
                                     .block_region = blocks,
                                     .n_blocks = N_BLOCKS };
  return lookup_table_new (&options, NULL);
}

int
main (void)
{
  region_id_t *blocks = calloc (N_BLOCKS, sizeof *blocks);
  usec_t start = clock_monotonic ();
  lookup_table_t *table = build (blocks);
  usec_t built = clock_monotonic ();
  uint64_t sum = 0;
  uint32_t block = 0;
  for (uint32_t i = 0; i < N_LOOKUPS; i++)
    {
      block = (block + BLOCK_STEP) % N_BLOCKS;
      sum += lookup_table_find (table, block).vms[0];
    }
  double seconds = (double)(clock_monotonic () - built) / USEC_PER_SEC;
  printf ("look-ups a second on one core: %.0f (checksum %llu)\n"
          "build: %.1f ms\nsize: %zu KiB\n",
          N_LOOKUPS / seconds, (unsigned long long)sum,
          (double)(built - start) / USEC_PER_MSEC,
          lookup_table_bytes (table) / KIB);
  lookup_table_free (table);
  free (blocks);
  return 0;
}
