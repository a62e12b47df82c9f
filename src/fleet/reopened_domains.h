/* reopened_domains: failure domains whose evacuation has ended recently.

   The backend servers of such a domain may have become cold shortly before the
   end, and the list of backend servers lags.  Only a reading that began after
   the end, by more than the lag of the list, shows which of them are cold.

   No I/O and no clock.  Times are usec of the local monotonic clock.  */

#ifndef FLEET_REOPENED_DOMAINS_H
#define FLEET_REOPENED_DOMAINS_H

#include <stdbool.h>
#include <stddef.h>

#include "base/name_defs.h"
#include "base/time_defs.h"

enum
{
  REOPENED_DOMAINS_MAX = 128,
};

typedef struct reopened_domain
{
  name_t name;
  usec_t at; /* when the end of the evacuation became known */
} reopened_domain_t;

/* All zero at first.  */
typedef struct reopened_domains
{
  size_t n;
  reopened_domain_t items[REOPENED_DOMAINS_MAX];
} reopened_domains_t;

/* Record that the evacuation of the domain NAME ended at AT.  If SET is full,
   the oldest item makes room.  */
void reopened_domains_add (reopened_domains_t *set, const name_t *name,
                           usec_t at);

/* Record those domains at AT that are in the N_BEFORE domains BEFORE and not
   in the N_AFTER domains AFTER.  */
void reopened_domains_add_ended (reopened_domains_t *set, const name_t *before,
                                 size_t n_before, const name_t *after,
                                 size_t n_after, usec_t at);

/* Remove the items that ended before BEFORE.  Returns true if there were
   any.  */
bool reopened_domains_expire (reopened_domains_t *set, usec_t before);

/* Returns when the evacuation of DOMAIN ended, or 0 if SET does not have
   it.  */
usec_t reopened_domains_ended_at (const reopened_domains_t *set,
                                  const char *domain);

#endif
