/* bench-policy: the decisions of the entry VMs against three baselines on
   the same seeds, as a Markdown table on standard output.

     bench-policy [ORGANISATION [SEED [ROW]]]

   ORGANISATION is consortium, cooperative or all; ROW a scenario's number
   from 0.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "policy_sim.h"

enum
{
  SEED = 1,
  RUN_SECONDS = SIM_END / 1000000,
  MOVES_FROM_SECONDS = 2,
  USEC_A_MSEC = 1000,
  EARLY_USEC = 10000,
};

static const char *const policy_names[]
    = { "ours", "nearest", "round robin", "least conn." };

static int
compare (const void *a, const void *b)
{
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;
  return (x > y) - (x < y);
}

static double
percentile_ms (const uint32_t *sorted, size_t n, double part)
{
  if (n == 0)
    return 0;
  size_t at = (size_t)(part * (double)n);
  return (double)sorted[at < n ? at : n - 1] / USEC_A_MSEC;
}

/* Percent of the refusals that came within 10 ms.  */
static double
early_refusals (const sim_result_t *result)
{
  size_t n_early = 0;
  for (size_t i = 0; i < result->n_refusals; i++)
    n_early += result->refusals[i] <= EARLY_USEC;
  return result->n_refusals == 0
             ? 100
             : 100 * (double)n_early / (double)result->n_refusals;
}

static double
capacity_usec (organisation_t organisation)
{
  world_t world;
  world_open (&world, organisation);
  double slots = 0;
  for (uint32_t s = 0; s < WORLD_SERVICES; s++)
    slots += (double)world.topology.services[s].slots * WORLD_DOMAINS
             * WORLD_PER_BIN;
  world_close (&world);
  return slots * (double)(RUN_SECONDS - 1) * (double)USEC_PER_SEC;
}

static double
percent (double part, double whole)
{
  return whole > 0 ? 100 * part / whole : 0;
}

static void
print_row (const scenario_t *scenario, policy_t policy, sim_result_t *result,
           double capacity)
{
  qsort (result->latencies, result->n_latencies, sizeof (uint32_t), compare);
  qsort (result->refusals, result->n_refusals, sizeof (uint32_t), compare);
  double over = (double)(result->spent - result->cap);
  printf ("| %s | %s | %.2f | %.1f | %llu | %llu | %.0f | %.0f | %.0f | "
          "%.1f | %.1f | %.1f | %llu | %llu | ",
          scenario->name, policy_names[policy],
          percent (result->weight_in_time, result->weight_all),
          percent (result->work_in_time, capacity),
          (unsigned long long)result->n_bad,
          (unsigned long long)result->n_refused,
          percentile_ms (result->latencies, result->n_latencies, 0.5),
          percentile_ms (result->latencies, result->n_latencies, 0.99),
          percentile_ms (result->latencies, result->n_latencies, 0.999),
          early_refusals (result),
          percent (result->headroom_sum, (double)result->n_headroom),
          over > 0 ? percent (over, (double)result->cap) : 0,
          (unsigned long long)result->region_overload,
          (unsigned long long)result->link_overload);
  if (scenario->fault == FAULT_DRAIN)
    printf ("%.2f (%llu cut) | ", (double)result->drain_time / USEC_PER_SEC,
            (unsigned long long)result->n_cut);
  else
    printf ("- | ");
  printf ("%.0f | %.2f |\n",
          (double)result->n_moves * 60 / (RUN_SECONDS - MOVES_FROM_SECONDS),
          percent (result->weight_others_in_time, result->weight_others));
}

static void
run_scenario (organisation_t organisation, const scenario_t *scenario,
              uint64_t seed, double capacity)
{
  for (int policy = 0; policy < POLICY_COUNT; policy++)
    {
      sim_result_t result
          = sim_run (organisation, scenario, (policy_t)policy, seed);
      print_row (scenario, (policy_t)policy, &result, capacity);
      free (result.latencies);
      free (result.refusals);
    }
  fflush (stdout);
}

static void
run_organisation (organisation_t organisation, uint64_t seed, int row)
{
  printf ("\n| scenario | policy | in time %% | of capacity %% | late or lost "
          "| refused | p50 ms | p99 ms | p99.9 ms | refused in 10 ms %% | "
          "headroom "
          "%% | over cap %% | region over | link over | drain s | moves/min | "
          "other tenants in time %% |\n"
          "|---|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|"
          "--:|\n");
  double capacity = capacity_usec (organisation);
  for (size_t i = 0; i < world_n_scenarios; i++)
    if (row < 0 || (size_t)row == i)
      run_scenario (organisation, &world_scenarios[i], seed, capacity);
}

int
main (int argc, char **argv)
{
  const char *which = argc > 1 ? argv[1] : "all";
  uint64_t seed = argc > 2 ? strtoull (argv[2], NULL, 10) : SEED;
  int row = argc > 3 ? (int)strtol (argv[3], NULL, 10) : -1;
  bool all = strcmp (which, "all") == 0;
  if (all || strcmp (which, "consortium") == 0)
    run_organisation (ORGANISATION_CONSORTIUM, seed, row);
  if (all || strcmp (which, "cooperative") == 0)
    run_organisation (ORGANISATION_COOPERATIVE, seed, row);
  return 0;
}
