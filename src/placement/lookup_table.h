/* lookup_table: which entry VMs a block of clients is told, in order.

   Built when a version arrives and then read only: an answer is two array
   indexes.  A block stays with its own region as far as the regions' shares
   allow; the rest goes to regions with room.  Inside a region VMs are taken
   in proportion to their weights by rendezvous hashing, so a block keeps
   its VM when others come and go, and a moved share moves no more blocks
   than it must.  Blocks are mapped to LOOKUP_BUCKETS buckets a region by
   hash, so memory does not grow with the number of VMs times blocks.
   Pure; any number of threads may read.  */

#ifndef PLACEMENT_LOOKUP_TABLE_H
#define PLACEMENT_LOOKUP_TABLE_H

#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "placement/topology_defs.h"

enum
{
  LOOKUP_ANSWER_VMS = 3, /* VMs in one answer: the first and two others */
};

/* One entry VM that takes callers.  */
typedef struct lookup_site
{
  vm_id_t vm;
  region_id_t region;
  domain_id_t domain;
  uint32_t weight; /* share inside its region; 0: told to nobody */
} lookup_site_t;

typedef struct lookup_table_options
{
  const lookup_site_t *sites;
  size_t n_sites;
  size_t n_regions;
  const uint32_t *region_share;    /* planned, by region, any unit */
  const region_id_t *block_region; /* nearest region of each block */
  size_t n_blocks;
} lookup_table_options_t;

typedef struct lookup_answer
{
  vm_id_t vms[LOOKUP_ANSWER_VMS]; /* TOPOLOGY_NONE after the last */
} lookup_answer_t;

typedef struct lookup_table lookup_table_t;

/* NULL with ERR_UNAVAILABLE where no site has weight, ERR_USAGE for a bad
   region.  The options' arrays are not kept.  */
lookup_table_t *lookup_table_new (const lookup_table_options_t *options,
                                  err_t *err);

void lookup_table_free (lookup_table_t *table);

/* The entry VMs for BLOCK (taken modulo the number of blocks).  */
lookup_answer_t lookup_table_find (const lookup_table_t *table,
                                   uint32_t block);

/* While a share moves: blocks go over from PREVIOUS (may be NULL) to TABLE
   in a fixed order as FRACTION grows from 0 to 1.  */
lookup_answer_t lookup_table_find_moving (const lookup_table_t *previous,
                                          const lookup_table_t *table,
                                          double fraction, uint32_t block);

/* Bytes that the table takes.  */
size_t lookup_table_bytes (const lookup_table_t *table);

#endif
