/* lookup_table: the entry VMs, in order of preference, for each block of
   callers.

   The table is built when a new version of its input arrives and is read-only
   afterwards; a look-up is two array accesses.  A block is assigned to its
   nearest region as far as the regions' shares allow; the rest is assigned to
   regions with a spare share.  Within a region the VMs are chosen in
   proportion to their weights by weighted rendezvous hashing, so a block keeps
   its VM when other VMs come and go, and a changed share moves as few blocks
   as possible.  Blocks are hashed to a fixed number of buckets per region, so
   memory does not grow with the product of VMs and blocks.  Pure; any number
   of threads may read.  */

#ifndef PLACEMENT_LOOKUP_TABLE_H
#define PLACEMENT_LOOKUP_TABLE_H

#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "placement/topology_defs.h"

enum
{
  LOOKUP_ANSWER_VMS = 3, /* VMs in one answer: the preferred and two others */
};

/* One entry VM that accepts callers.  */
typedef struct lookup_site
{
  vm_id_t vm;
  region_id_t region;
  domain_id_t domain;
  uint32_t weight; /* share within its region; 0: in no answer */
} lookup_site_t;

typedef struct lookup_table_options
{
  const lookup_site_t *sites;
  size_t n_sites;
  size_t n_regions;
  const uint32_t *region_share;    /* planned, by region, in any unit */
  const region_id_t *block_region; /* nearest region of each block */
  size_t n_blocks;
} lookup_table_options_t;

typedef struct lookup_answer
{
  vm_id_t vms[LOOKUP_ANSWER_VMS]; /* TOPOLOGY_NONE after the last */
} lookup_answer_t;

typedef struct lookup_table lookup_table_t;

/* Build a table.  Returns NULL with ERR_UNAVAILABLE where no site has a weight
   above 0 or there are no blocks, and with ERR_USAGE where a region is out of
   range.  The arrays of OPTIONS are not kept.  The caller frees the result
   with lookup_table_free.  */
lookup_table_t *lookup_table_new (const lookup_table_options_t *options,
                                  err_t *err);

void lookup_table_free (lookup_table_t *table);

/* The entry VMs for BLOCK (taken modulo the number of blocks).  */
lookup_answer_t lookup_table_find (const lookup_table_t *table,
                                   uint32_t block);

/* As lookup_table_find, while shares change gradually: blocks move from
   PREVIOUS (may be NULL) to TABLE in a fixed order as FRACTION grows from 0
   to 1.  */
lookup_answer_t lookup_table_find_moving (const lookup_table_t *previous,
                                          const lookup_table_t *table,
                                          double fraction, uint32_t block);

/* Memory used by TABLE in bytes.  */
size_t lookup_table_bytes (const lookup_table_t *table);

#endif
