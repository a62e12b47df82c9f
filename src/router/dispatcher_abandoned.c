/* Requests that were given up on, and may still end the backend server that
   runs them.

   Load pattern: a request ends its backend servers a moment after its caller
   has left, or after its time limit.  No connection of it is cut off, and
   nobody waits for it.  */

#include "router/dispatcher_internal.h"

#include "base/log.h"
#include "fleet/backend_list.h"

void
dispatcher_abandon_run (dispatcher_t *dispatcher, exchange_t *exchange,
                        usec_t now)
{
  /* Its connection was not cut off, so it runs at the start that is listed
     now, not at an earlier one that has ended.  */
  const abandoned_call_t call
      = { .boot = backend_record_boot (&exchange->backend->record),
          .fingerprint = dispatcher_fingerprint (exchange),
          .sent_at = exchange->sent_at,
          .deadline = exchange->deadline };
  uint64_t n_dropped = dispatcher->abandoned.n_dropped;
  if (backend_pool_boot_is_leaving (dispatcher->pool, call.boot))
    return;
  abandoned_runs_add (&dispatcher->abandoned, &call, now);
  n_dropped = dispatcher->abandoned.n_dropped - n_dropped;
  if (n_dropped > 0)
    router_metrics_abandoned_dropped (dispatcher->options.metrics, n_dropped);
}

/* When BOOT ended, as connections that were cut off there told; otherwise
   NOW.  */
static usec_t
end_of (const dispatcher_t *dispatcher, uint64_t boot, usec_t now)
{
  for (size_t i = 0; i < dispatcher->crashes.n_suspects; i++)
    {
      const suspect_t *suspect = &dispatcher->crashes.suspects[i];
      for (size_t j = 0; j < suspect->n_crashes; j++)
        if (suspect->crashes[j].boot == boot)
          return suspect->crashes[j].ended_at;
    }
  return now;
}

void
dispatcher_suspect_abandoned (dispatcher_t *dispatcher, uint64_t boot,
                              usec_t now)
{
  abandoned_run_t runs[ABANDONED_PER_BOOT_MAX];
  size_t n = abandoned_runs_take (&dispatcher->abandoned, boot, runs, now);
  if (n == 0 || backend_pool_boot_is_leaving (dispatcher->pool, boot))
    return;
  usec_t ended_at = end_of (dispatcher, boot, now);
  for (size_t i = 0; i < n; i++)
    {
      const crash_t crash
          = { .boot = boot, .sent_at = runs[i].sent_at, .ended_at = ended_at };
      if (runs[i].sent_at < ended_at)
        dispatcher_add_suspect (dispatcher, runs[i].fingerprint, "", &crash,
                                now);
    }
}

/* Learn whether BOOT has ended.  */
static void
check (dispatcher_t *dispatcher, uint64_t boot, usec_t now)
{
  abandoned_run_t runs[ABANDONED_PER_BOOT_MAX];
  backend_t *backend = backend_pool_find_boot (dispatcher->pool, boot);
  if (!backend)
    dispatcher_confirm_end (dispatcher, boot, "not listed any more", now);
  else if (backend_is_leaving (backend))
    abandoned_runs_take (&dispatcher->abandoned, boot, runs, now);
  else if (backend_pool_begin_check (backend, now))
    dispatcher_send_probe (dispatcher, backend);
}

void
dispatcher_check_abandoned (dispatcher_t *dispatcher, usec_t now)
{
  uint64_t boot;
  while ((boot = abandoned_runs_due_check (&dispatcher->abandoned, now)) != 0)
    check (dispatcher, boot, now);
}
