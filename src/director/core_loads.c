#include "director/core_internal.h"

#include "fleet/load_wire.h"

/* Older reports tell nothing of the present load.  */
#define LOAD_LIFETIME (1500 * USEC_PER_MSEC)
#define LOAD_EXPIRY_INTERVAL USEC_PER_SEC

static void
merge (director_core_t *core, const fleet_load_t *wire, size_t n,
       usec_t sent_at)
{
  static load_report_t reports[LOADS_MAX];
  load_wire_read (wire, n, reports, sent_at);
  for (size_t i = 0; i < n; i++)
    load_table_put (&core->loads, &reports[i]);
}

/* Encode what has changed after the change AFTER; returns how many.  */
static size_t
write_changes (director_core_t *core, uint64_t after, fleet_load_t *wire,
               usec_t now)
{
  static load_report_t reports[LOADS_MAX];
  size_t n = load_table_changed (&core->loads, after, now - LOAD_LIFETIME,
                                 reports, LOADS_MAX);
  load_wire_write (reports, n, wire, now);
  return n;
}

void
core_loads_answer (director_core_t *core, const fleet_pull_args_t *args,
                   fleet_pull_result_t *result, fleet_load_t *loads,
                   usec_t now)
{
  bool is_same = args->source == core->options.seed;
  merge (core, args->loads.loads_val, args->loads.loads_len, now);
  result->loads.loads_val = loads;
  result->loads.loads_len = (u_int)write_changes (
      core, is_same ? args->loads_known : 0, loads, now);
  result->source = core->options.seed;
  result->loads_known = core->loads.n_changes;
}

void
core_loads_fill_share (director_core_t *core, slot_t to,
                       fleet_share_args_t *args, fleet_load_t *loads,
                       usec_t now)
{
  args->loads.loads_val = loads;
  args->loads.loads_len
      = (u_int)write_changes (core, core->peers[to].loads_told, loads, now);
  core->peers[to].loads_told = core->loads.n_changes;
}

void
core_loads_merge_share (director_core_t *core, const fleet_share_args_t *args,
                        usec_t sent_at)
{
  merge (core, args->loads.loads_val, args->loads.loads_len, sent_at);
}

bool
core_loads_are_told (const director_core_t *core)
{
  return core->loads.n > 0;
}

void
core_loads_tick (director_core_t *core, usec_t now)
{
  if (now < core->next_load_expiry_at)
    return;
  core->next_load_expiry_at = now + LOAD_EXPIRY_INTERVAL;
  load_table_expire (&core->loads, now - LOAD_LIFETIME);
}
