#include "fleet/notice_wire.h"

/* A router believes no longer rest.  */
#define REST_LEFT_MAX (24 * 3600 * USEC_PER_SEC)
/* Longer than a backend server takes to leave.  */
#define SAID_AGE_MAX (30 * 24 * 3600 * USEC_PER_SEC)

void
notice_wire_write (const told_notice_t *notices, size_t n,
                   fleet_notice_t *wire, usec_t now)
{
  for (size_t i = 0; i < n; i++)
    {
      const told_notice_t *notice = &notices[i];
      usec_t rest_left = notice->rest_until - now;
      wire[i] = (fleet_notice_t){ .boot = notice->boot,
                                  .is_leaving = notice->is_leaving,
                                  .said_age = now - notice->said_at,
                                  .rest_left = rest_left > 0 ? rest_left : 0 };
    }
}

static bool
is_possible (const fleet_notice_t *wire)
{
  return wire->said_age >= 0 && wire->said_age <= SAID_AGE_MAX
         && wire->rest_left >= 0 && wire->rest_left <= REST_LEFT_MAX
         && (wire->is_leaving || wire->rest_left > 0);
}

static bool
has_boot (const told_notice_t *notices, size_t n, uint64_t boot)
{
  for (size_t i = 0; i < n; i++)
    if (notices[i].boot == boot)
      return true;
  return false;
}

size_t
notice_wire_read (const fleet_notice_t *wire, size_t n,
                  told_notice_t notices[NOTICES_MAX], usec_t now)
{
  size_t n_read = 0;
  for (size_t i = 0; i < n && n_read < NOTICES_MAX; i++)
    {
      if (!is_possible (&wire[i]) || has_boot (notices, n_read, wire[i].boot))
        continue;
      notices[n_read++] = (told_notice_t){
        .boot = wire[i].boot,
        .is_leaving = wire[i].is_leaving,
        .said_at = now - wire[i].said_age,
        .rest_until = wire[i].rest_left > 0 ? now + wire[i].rest_left : 0
      };
    }
  return n_read;
}
