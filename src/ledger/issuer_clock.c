#include "ledger/issuer_clock.h"

#include <stdlib.h>
#include <string.h>

enum
{
  PPM = 1000000, /* parts per million */
};

bool
issuer_clock_init (issuer_clock_t *clock, size_t n_vms, uint32_t drift_ppm)
{
  clock->readings = calloc (n_vms, sizeof *clock->readings);
  clock->n_vms = n_vms;
  clock->drift_ppm = drift_ppm;
  return clock->readings != NULL;
}

void
issuer_clock_destroy (issuer_clock_t *clock)
{
  free (clock->readings);
  clock->readings = NULL;
}

static usec_t
lower_bound (const issuer_clock_t *clock, const issuer_reading_t *reading,
             usec_t now)
{
  usec_t elapsed = now - reading->observed_at;
  if (elapsed <= 0)
    return reading->stamp;
  usec_t drift = elapsed / PPM * clock->drift_ppm
                 + elapsed % PPM * clock->drift_ppm / PPM + 1;
  return drift < elapsed ? reading->stamp + elapsed - drift : reading->stamp;
}

static issuer_reading_t *
find_reading (const issuer_clock_t *clock, vm_id_t vm, uint64_t incarnation)
{
  for (size_t i = 0; i < ISSUER_INCARNATIONS_KEPT; i++)
    if (clock->readings[vm][i].incarnation == incarnation)
      return &clock->readings[vm][i];
  return NULL;
}

/* Insert a reading of INCARNATION in order, newest first, and drop the oldest
   reading.  Returns NULL where INCARNATION is older than all that are kept. */
static issuer_reading_t *
insert_reading (issuer_clock_t *clock, vm_id_t vm, uint64_t incarnation)
{
  issuer_reading_t *kept = clock->readings[vm];
  size_t at = 0;
  while (at < ISSUER_INCARNATIONS_KEPT && kept[at].incarnation > incarnation)
    at++;
  if (at == ISSUER_INCARNATIONS_KEPT)
    return NULL;
  memmove (&kept[at + 1], &kept[at],
           (ISSUER_INCARNATIONS_KEPT - 1 - at) * sizeof *kept);
  kept[at] = (issuer_reading_t){ .incarnation = incarnation };
  return &kept[at];
}

bool
issuer_clock_observe (issuer_clock_t *clock, vm_id_t vm, uint64_t incarnation,
                      usec_t stamp, usec_t now)
{
  if (vm >= clock->n_vms || incarnation == 0)
    return false;
  issuer_reading_t *reading = find_reading (clock, vm, incarnation);
  if (!reading)
    {
      reading = insert_reading (clock, vm, incarnation);
      if (!reading)
        return false;
      reading->stamp = stamp;
      reading->observed_at = now;
      return true;
    }
  if (stamp <= lower_bound (clock, reading, now))
    return true;
  reading->stamp = stamp;
  reading->observed_at = now;
  return true;
}

bool
issuer_clock_has_passed (const issuer_clock_t *clock, vm_id_t vm,
                         uint64_t incarnation, usec_t due, usec_t now)
{
  if (vm >= clock->n_vms || incarnation == 0)
    return true;
  const issuer_reading_t *reading = find_reading (clock, vm, incarnation);
  if (reading)
    return lower_bound (clock, reading, now) >= due;
  const issuer_reading_t *kept = clock->readings[vm];
  return kept[ISSUER_INCARNATIONS_KEPT - 1].incarnation > incarnation;
}
