#include "director/core_internal.h"

#include <math.h>
#include <stdlib.h>

#include "base/clock.h"
#include "base/log.h"

/* More requests than any report can truthfully hold.  */
#define REPORTED_REQUESTS_MAX 100000000

#define QUOTA_EXPIRY_INTERVAL (10 * USEC_PER_SEC)

_Static_assert((int)QUOTA_USAGES_MAX == FLEET_WIRE_USAGES_MAX,
               "the limits of reported accounts differ");
_Static_assert((int)BOOK_PEERS_MAX == FLEET_WIRE_DIRECTORS_MAX,
               "the limits of directors differ");

void
core_quotas_set_config (director_core_t *core, const route_config_t *config)
{
  book_set_limits (&core->quotas, config, clock_monotonic ());
}

static bool
is_possible_count (int64_t admitted, uint64_t asked)
{
  return admitted >= -REPORTED_REQUESTS_MAX
         && admitted <= REPORTED_REQUESTS_MAX
         && asked <= REPORTED_REQUESTS_MAX;
}

static size_t
read_usages (const fleet_pull_args_t *args, quota_usage_t *usages)
{
  size_t n = 0;
  for (u_int i = 0; i < args->usages.usages_len; i++)
    {
      const fleet_usage_t *wire = &args->usages.usages_val[i];
      if (is_possible_count (wire->admitted, wire->asked))
        usages[n++] = (quota_usage_t){ .account = wire->account,
                                       .admitted = wire->admitted,
                                       .asked = wire->asked };
      else
        LOG_EVENT (LOG_LEVEL_WARNING, "usage_not_understood",
                   LOG_S ("router", args->router.vm),
                   LOG_I ("admitted", wire->admitted),
                   LOG_U ("asked", wire->asked));
    }
  return n;
}

static fleet_quota_t
quota_to_wire (const quota_state_t *state)
{
  return (fleet_quota_t){ .account = state->account,
                          .level = state->level,
                          .demand = state->demand };
}

void
core_quotas_answer (director_core_t *core, const fleet_pull_args_t *args,
                    fleet_pull_result_t *result, fleet_quota_t *quotas,
                    usec_t now)
{
  quota_usage_t usages[QUOTA_USAGES_MAX];
  quota_state_t states[QUOTA_USAGES_MAX];
  size_t n = read_usages (args, usages);
  book_report (&core->quotas, usages, n, now);
  n = book_states (&core->quotas, usages, n, states, now);
  for (size_t i = 0; i < n; i++)
    quotas[i] = quota_to_wire (&states[i]);
  result->quotas.quotas_val = quotas;
  result->quotas.quotas_len = (u_int)n;
}

static size_t
fill_totals (director_core_t *core, fleet_total_t *wire, usec_t now)
{
  static book_total_t totals[FLEET_WIRE_TOTALS_MAX];
  size_t n = book_totals (&core->quotas, totals, FLEET_WIRE_TOTALS_MAX, now);
  for (size_t i = 0; i < n; i++)
    wire[i] = (fleet_total_t){ .account = totals[i].account,
                               .admitted = totals[i].admitted,
                               .asked = totals[i].asked };
  return n;
}

static size_t
fill_buckets (director_core_t *core, slot_t to, fleet_bucket_t *wire,
              usec_t now)
{
  static book_shared_t shared[FLEET_WIRE_TOTALS_MAX];
  size_t n
      = book_share (&core->quotas, to, shared, FLEET_WIRE_TOTALS_MAX, now);
  for (size_t i = 0; i < n; i++)
    wire[i] = (fleet_bucket_t){ .quota = quota_to_wire (&shared[i].state),
                                .included = shared[i].included };
  return n;
}

void
core_quotas_fill_share (director_core_t *core, slot_t to,
                        fleet_share_args_t *args, quota_share_t *share,
                        usec_t now)
{
  args->incarnation = core->options.seed;
  args->sent_at = now;
  args->totals.totals_val = share->totals;
  args->buckets.buckets_val = share->buckets;
  args->totals.totals_len = 0;
  args->buckets.buckets_len = 0;
  if (core->role == ROLE_LEADER)
    args->buckets.buckets_len
        = (u_int)fill_buckets (core, to, share->buckets, now);
  else
    args->totals.totals_len = (u_int)fill_totals (core, share->totals, now);
}

static void
merge_totals (director_core_t *core, const fleet_share_args_t *args,
              usec_t now)
{
  static book_total_t totals[FLEET_WIRE_TOTALS_MAX];
  if (roster_slot (&core->roster, args->address) != args->slot)
    return;
  const book_source_t source = { .slot = args->slot,
                                 .incarnation = args->incarnation,
                                 .sent_at = args->sent_at };
  for (u_int i = 0; i < args->totals.totals_len; i++)
    {
      const fleet_total_t *wire = &args->totals.totals_val[i];
      totals[i] = (book_total_t){ .account = wire->account,
                                  .admitted = wire->admitted,
                                  .asked = wire->asked };
    }
  book_add_totals (&core->quotas, &source, totals, args->totals.totals_len,
                   now);
}

static void
adopt_buckets (director_core_t *core, const fleet_share_args_t *args,
               usec_t now)
{
  static book_shared_t shared[FLEET_WIRE_TOTALS_MAX];
  size_t n = 0;
  for (u_int i = 0; i < args->buckets.buckets_len; i++)
    {
      const fleet_bucket_t *wire = &args->buckets.buckets_val[i];
      if (isfinite (wire->quota.level) && isfinite (wire->quota.demand)
          && wire->quota.demand >= 0)
        shared[n++] = (book_shared_t){
          .state = { .account = wire->quota.account,
                     .level = wire->quota.level,
                     .demand = wire->quota.demand },
          .included = wire->included,
        };
    }
  book_adopt (&core->quotas, shared, n, now);
}

void
core_quotas_merge_share (director_core_t *core, const fleet_share_args_t *args,
                         usec_t now)
{
  if (core->role == ROLE_LEADER)
    merge_totals (core, args, now);
  else if (args->confirmed_index > 0)
    adopt_buckets (core, args, now);
}

bool
core_quotas_are_used (const director_core_t *core, usec_t now)
{
  return book_is_used (&core->quotas, now);
}

void
core_quotas_tick (director_core_t *core, usec_t now)
{
  if (now < core->next_quota_expiry_at)
    return;
  core->next_quota_expiry_at = now + QUOTA_EXPIRY_INTERVAL;
  book_expire (&core->quotas, now);
}
