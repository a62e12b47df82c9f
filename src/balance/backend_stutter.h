/* backend_stutter: which backend servers have lately sent bytes that belong to
   no request.  Pure; times are usec of one monotonic clock.

   Load pattern: a backend server answers a request twice, the second time some
   milliseconds late, or sends bytes after a response.  On a kept connection
   they come before the response of the next request, which is then lost.  Such
   a server does its work, so it goes on getting requests, each on a connection
   of its own.

   The state holds for one start of a backend server (backend_record_boot).  */

#ifndef BALANCE_BACKEND_STUTTER_H
#define BALANCE_BACKEND_STUTTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time_defs.h"
#include "fleet/fleet_defs.h"

enum
{
  BACKEND_STUTTERS_MAX = 256,
};

/* Longer than an idle connection is kept, so that none from before it is used
   again.  */
#define BACKEND_STUTTER_TIME (20 * USEC_PER_SEC)

typedef struct backend_stutter
{
  uint64_t boot;
  char id[BACKEND_ID_BYTES]; /* of the backend server */
  usec_t began_at;
  usec_t seen_at; /* when such bytes came last */
  uint64_t n_seen;
} backend_stutter_t;

/* All zero at first.  */
typedef struct backend_stutters
{
  size_t n;
  backend_stutter_t items[BACKEND_STUTTERS_MAX];
} backend_stutters_t;

/* The backend server ID, of BOOT, has sent such bytes.  Returns whether it did
   not stutter before; a full table drops the one that was seen the longest
   time ago.  */
bool backend_stutters_note (backend_stutters_t *stutters, uint64_t boot,
                            const char *id, usec_t now);

/* Whether requests to BOOT need a new connection each at NOW.  */
bool backend_stutters_contain (const backend_stutters_t *stutters,
                               uint64_t boot, usec_t now);

/* Remove one that has ended by NOW and store it in ENDED; false if there is
   none.  */
bool backend_stutters_take_ended (backend_stutters_t *stutters, usec_t now,
                                  backend_stutter_t *ended);

#endif
