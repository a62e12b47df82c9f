#include "fleet/abandoned_runs.h"

#include <string.h>

static size_t
find_boot (const abandoned_runs_t *runs, uint64_t boot)
{
  size_t at = 0;
  while (at < runs->n && runs->boots[at].boot != boot)
    at++;
  return at;
}

static void
remove_boot (abandoned_runs_t *runs, size_t at)
{
  runs->n--;
  memmove (&runs->boots[at], &runs->boots[at + 1],
           (runs->n - at) * sizeof runs->boots[0]);
}

static void
remove_run (abandoned_boot_t *boot, size_t at)
{
  boot->n--;
  memmove (&boot->runs[at], &boot->runs[at + 1],
           (boot->n - at) * sizeof boot->runs[0]);
}

static bool
is_same (fingerprint_t a, fingerprint_t b)
{
  return a.low == b.low && a.high == b.high;
}

/* The entry of the backend server BOOT, which is added if needed, as the last
   one.  */
static abandoned_boot_t *
renew_boot (abandoned_runs_t *runs, uint64_t boot, usec_t now)
{
  size_t at = find_boot (runs, boot);
  if (at == runs->n && runs->n == ABANDONED_BOOTS_MAX)
    {
      runs->n_dropped += runs->boots[0].n;
      remove_boot (runs, 0);
      at--;
    }
  if (at == runs->n)
    {
      runs->boots[runs->n]
          = (abandoned_boot_t){ .boot = boot, .seen_at = now };
      return &runs->boots[runs->n++];
    }
  if (at + 1 < runs->n)
    {
      abandoned_boot_t entry = runs->boots[at];
      remove_boot (runs, at);
      runs->boots[runs->n++] = entry;
    }
  return &runs->boots[runs->n - 1];
}

void
abandoned_runs_add (abandoned_runs_t *runs, const abandoned_call_t *call,
                    usec_t now)
{
  usec_t until = call->deadline + ABANDONED_OVERRUN;
  if (until > now + ABANDONED_RUN_TIME)
    until = now + ABANDONED_RUN_TIME;
  if (until <= now)
    return;
  abandoned_boot_t *entry = renew_boot (runs, call->boot, now);
  size_t at = 0;
  while (at < entry->n
         && !is_same (entry->runs[at].fingerprint, call->fingerprint))
    at++;
  if (at < entry->n)
    remove_run (entry, at);
  else if (entry->n == ABANDONED_PER_BOOT_MAX)
    {
      remove_run (entry, 0);
      runs->n_dropped++;
    }
  entry->runs[entry->n++] = (abandoned_run_t){
    .fingerprint = call->fingerprint,
    .sent_at = call->sent_at,
    .given_up_at = now,
    .until = until,
  };
}

void
abandoned_runs_seen (abandoned_runs_t *runs, uint64_t boot, usec_t now)
{
  size_t at = find_boot (runs, boot);
  if (at < runs->n)
    runs->boots[at].seen_at = now;
}

/* Drop the runs of BOOT whose time is over.  */
static void
expire_boot (abandoned_boot_t *boot, usec_t now)
{
  for (size_t at = boot->n; at-- > 0;)
    if (now >= boot->runs[at].until)
      remove_run (boot, at);
}

size_t
abandoned_runs_take (abandoned_runs_t *runs, uint64_t boot,
                     abandoned_run_t out[ABANDONED_PER_BOOT_MAX], usec_t now)
{
  size_t at = find_boot (runs, boot);
  if (at == runs->n)
    return 0;
  abandoned_boot_t *entry = &runs->boots[at];
  expire_boot (entry, now);
  size_t n = entry->n;
  memcpy (out, entry->runs, n * sizeof entry->runs[0]);
  remove_boot (runs, at);
  return n;
}

void
abandoned_runs_expire (abandoned_runs_t *runs, usec_t now)
{
  for (size_t at = runs->n; at-- > 0;)
    {
      expire_boot (&runs->boots[at], now);
      if (runs->boots[at].n == 0)
        remove_boot (runs, at);
    }
}

bool
abandoned_runs_has_recent (const abandoned_runs_t *runs,
                           fingerprint_t fingerprint, usec_t now)
{
  for (size_t i = 0; i < runs->n; i++)
    for (size_t j = 0; j < runs->boots[i].n; j++)
      {
        const abandoned_run_t *run = &runs->boots[i].runs[j];
        if (is_same (run->fingerprint, fingerprint) && now < run->until
            && now < run->given_up_at + ABANDONED_TRIAL_TIME)
          return true;
      }
  return false;
}

uint64_t
abandoned_runs_due_check (abandoned_runs_t *runs, usec_t now)
{
  abandoned_boot_t *oldest = NULL;
  if (runs->n == 0)
    return 0;
  if (now >= runs->checks_until)
    {
      abandoned_runs_expire (runs, now);
      runs->checks_until = now + ABANDONED_CHECK_SPAN;
      runs->n_checks = 0;
    }
  if (runs->n_checks == ABANDONED_CHECKS_MAX)
    return 0;
  for (size_t at = 0; at < runs->n; at++)
    if (!oldest || runs->boots[at].seen_at < oldest->seen_at)
      oldest = &runs->boots[at];
  if (!oldest || now < oldest->seen_at + ABANDONED_CHECK_INTERVAL)
    return 0;
  oldest->seen_at = now;
  runs->n_checks++;
  return oldest->boot;
}
