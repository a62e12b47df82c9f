#include "placement/lookup_table.h"

#include <math.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

enum
{
  BUCKETS = 8192, /* per region, to which blocks are hashed */
  BUCKET_BITS = 13,
  UNIT_BITS = 24,
  BUCKET_SEED = 1,   /* bucket of a block */
  STAY_SEED = 2,     /* whether a block stays in its nearest region */
  OVERFLOW_SEED = 3, /* region of a block that does not stay */
  MOVE_SEED = 4,     /* when a block moves to a new table */
};

struct lookup_table
{
  size_t n_blocks;
  size_t n_regions;
  lookup_answer_t *answers; /* by region and bucket */
  uint32_t *block_answer;   /* index into answers, by block */
};

static uint64_t
hash_pair (uint64_t a, uint64_t b, uint64_t seed)
{
  const uint64_t pair[2] = { a, b };
  return XXH3_64bits_withSeed (pair, sizeof pair, seed);
}

/* A hash of A and B as a number between 0 and 1, both excluded.  */
static double
hash_unit (uint64_t a, uint64_t b, uint64_t seed)
{
  uint64_t top = hash_pair (a, b, seed) >> (64 - UNIT_BITS);
  return ((double)top + 0.5) / (double)(1U << UNIT_BITS);
}

/* Weighted rendezvous hashing: the probability that a site has the highest
   score is proportional to its weight, and scores don't depend on other
   sites.  */
static double
site_score (const lookup_site_t *site, uint64_t bucket)
{
  if (site->weight == 0)
    return -INFINITY;
  return (double)site->weight / -log (hash_unit (site->vm, bucket, 0));
}

typedef struct top_sites
{
  const lookup_site_t *sites[LOOKUP_ANSWER_VMS];
  double scores[LOOKUP_ANSWER_VMS];
} top_sites_t;

/* Insert SITE into BEST, which is in order of falling score.  */
static void
best_add (top_sites_t *best, const lookup_site_t *site, double score)
{
  for (int i = 0; i < LOOKUP_ANSWER_VMS; i++)
    if (!best->sites[i] || score > best->scores[i])
      {
        const lookup_site_t *displaced = best->sites[i];
        double displaced_score = best->scores[i];
        best->sites[i] = site;
        best->scores[i] = score;
        site = displaced;
        score = displaced_score;
        if (!site)
          return;
      }
}

/* The best sites of each region for BUCKET.  */
static void
best_by_region (const lookup_table_options_t *options, uint64_t bucket,
                top_sites_t *best)
{
  memset (best, 0, options->n_regions * sizeof *best);
  for (size_t i = 0; i < options->n_sites; i++)
    {
      const lookup_site_t *site = &options->sites[i];
      if (site->weight > 0)
        best_add (&best[site->region], site, site_score (site, bucket));
    }
}

/* The best sites of all regions but REGION.  */
static top_sites_t
best_away (const top_sites_t *best, size_t n_regions, size_t region)
{
  top_sites_t away = { 0 };
  for (size_t other = 0; other < n_regions; other++)
    for (int i = 0; i < LOOKUP_ANSWER_VMS; i++)
      if (other != region && best[other].sites[i])
        best_add (&away, best[other].sites[i], best[other].scores[i]);
  return away;
}

/* First the best VM of the region, then its best VM in another failure domain,
   then the best of another region, so that one fault can't affect all VMs of
   an answer.  */
static lookup_answer_t
answer_build (const top_sites_t *home, const top_sites_t *away)
{
  const lookup_site_t *order[2 * LOOKUP_ANSWER_VMS] = { 0 };
  size_t n = 0;
  if (home->sites[0])
    order[n++] = home->sites[0];
  for (int i = 1; i < LOOKUP_ANSWER_VMS && n == 1; i++)
    if (home->sites[i] && home->sites[i]->domain != home->sites[0]->domain)
      order[n++] = home->sites[i];
  if (n == 1 && home->sites[1])
    order[n++] = home->sites[1];
  for (int i = 0; i < LOOKUP_ANSWER_VMS; i++)
    if (away->sites[i])
      order[n++] = away->sites[i];
  lookup_answer_t answer;
  for (size_t i = 0; i < LOOKUP_ANSWER_VMS; i++)
    answer.vms[i] = order[i] ? order[i]->vm : TOPOLOGY_NONE;
  return answer;
}

static void
answers_build (lookup_table_t *table, const lookup_table_options_t *options)
{
  top_sites_t *best = calloc (options->n_regions, sizeof *best);
  for (uint64_t bucket = 0; bucket < BUCKETS; bucket++)
    {
      best_by_region (options, bucket, best);
      for (size_t region = 0; region < options->n_regions; region++)
        {
          top_sites_t away = best_away (best, options->n_regions, region);
          table->answers[region * BUCKETS + bucket]
              = answer_build (&best[region], &away);
        }
    }
  free (best);
}

/* How blocks are distributed over regions, as fractions of all blocks.  */
typedef struct spread
{
  double *demand; /* blocks that are nearest to the region */
  double *spare;  /* share that the demand leaves unused */
  double total_spare;
  double *share;
} spread_t;

static spread_t
spread_new (const lookup_table_options_t *options)
{
  size_t n = options->n_regions;
  spread_t spread = { .demand = calloc (n, sizeof (double)),
                      .spare = calloc (n, sizeof (double)),
                      .share = calloc (n, sizeof (double)) };
  double total = 0;
  for (size_t i = 0; i < n; i++)
    total += options->region_share[i];
  for (size_t i = 0; i < n && total > 0; i++)
    spread.share[i] = options->region_share[i] / total;
  for (size_t i = 0; i < options->n_blocks; i++)
    spread.demand[options->block_region[i]] += 1.0 / (double)options->n_blocks;
  for (size_t i = 0; i < n; i++)
    {
      spread.spare[i] = fmax (0, spread.share[i] - spread.demand[i]);
      spread.total_spare += spread.spare[i];
    }
  return spread;
}

static void
spread_free (spread_t *spread)
{
  free (spread->demand);
  free (spread->spare);
  free (spread->share);
}

static region_id_t
block_choose (const lookup_table_options_t *options, const spread_t *spread,
              uint32_t block)
{
  region_id_t home = options->block_region[block];
  double stay = spread->demand[home] > 0
                    ? spread->share[home] / spread->demand[home]
                    : 0;
  if (hash_unit (block, 0, STAY_SEED) < stay || spread->total_spare <= 0)
    return home;
  /* Weighted rendezvous hashing over the regions with a spare share, so that a
     change of one region moves no blocks between the others.  */
  region_id_t best = home;
  double best_score = 0;
  for (size_t i = 0; i < options->n_regions; i++)
    {
      if (spread->spare[i] <= 0)
        continue;
      double unit = hash_unit (block, i, OVERFLOW_SEED);
      double score = spread->spare[i] / -log (unit);
      if (score > best_score)
        {
          best_score = score;
          best = (region_id_t)i;
        }
    }
  return best;
}

static bool
options_check (const lookup_table_options_t *options, err_t *err)
{
  bool any = false;
  for (size_t i = 0; i < options->n_sites; i++)
    {
      if (options->sites[i].region >= options->n_regions)
        return err_set (
            err, ERR_USAGE, "name a region of the settings",
            "entry VM at index %zu has region index %u, but there are %zu "
            "regions",
            i, options->sites[i].region, options->n_regions);
      any = any || options->sites[i].weight > 0;
    }
  for (size_t i = 0; i < options->n_blocks; i++)
    if (options->block_region[i] >= options->n_regions)
      return err_set (
          err, ERR_USAGE, "name a region of the settings",
          "block %zu has region index %u, but there are %zu regions", i,
          options->block_region[i], options->n_regions);
  if (!any || options->n_blocks == 0)
    return err_set (err, ERR_UNAVAILABLE, "start an entry VM",
                    "no entry VM with a weight above 0 among %zu, %zu blocks",
                    options->n_sites, options->n_blocks);
  return true;
}

lookup_table_t *
lookup_table_new (const lookup_table_options_t *options, err_t *err)
{
  if (!options_check (options, err))
    return NULL;
  lookup_table_t *table = calloc (1, sizeof *table);
  table->n_blocks = options->n_blocks;
  table->n_regions = options->n_regions;
  table->answers
      = calloc (options->n_regions * BUCKETS, sizeof *table->answers);
  table->block_answer
      = calloc (options->n_blocks, sizeof *table->block_answer);
  answers_build (table, options);
  spread_t spread = spread_new (options);
  for (uint32_t block = 0; block < options->n_blocks; block++)
    {
      uint32_t region = block_choose (options, &spread, block);
      uint32_t bucket = (uint32_t)(hash_pair (block, 0, BUCKET_SEED)
                                   >> (64 - BUCKET_BITS));
      table->block_answer[block] = region * BUCKETS + bucket;
    }
  spread_free (&spread);
  return table;
}

void
lookup_table_free (lookup_table_t *table)
{
  if (!table)
    return;
  free (table->answers);
  free (table->block_answer);
  free (table);
}

lookup_answer_t
lookup_table_find (const lookup_table_t *table, uint32_t block)
{
  return table->answers[table->block_answer[block % table->n_blocks]];
}

lookup_answer_t
lookup_table_find_moving (const lookup_table_t *previous,
                          const lookup_table_t *table, double fraction,
                          uint32_t block)
{
  if (previous && fraction < 1 && hash_unit (block, 0, MOVE_SEED) >= fraction)
    return lookup_table_find (previous, block);
  return lookup_table_find (table, block);
}

size_t
lookup_table_bytes (const lookup_table_t *table)
{
  return sizeof *table + table->n_regions * BUCKETS * sizeof *table->answers
         + table->n_blocks * sizeof *table->block_answer;
}
