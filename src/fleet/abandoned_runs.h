/* abandoned_runs: requests that a router has sent to backend servers and given
   up on without an answer, and that may be running there still.

   A request that ends its backend servers can outlast its call: the caller
   left, the call reached its time limit, or its connection was closed for
   another reason.  Nothing is cut off then when the server ends, so what runs
   there is remembered here until its time is over, and the server is to be
   asked for its health meanwhile.  When the server is seen to have ended, the
   caller of this module makes crashes (crash_table) of all that it ran.

   Bounds: ABANDONED_RUN_TIME, ABANDONED_BOOTS_MAX backend servers and
   ABANDONED_PER_BOOT_MAX requests at each.  What is dropped for want of room
   is counted in n_dropped, a metric of the router: at one server the request
   that was given up on first, and of the servers the one where nothing was
   given up on for the longest time.

   No I/O and no clock.  Times are usec of the local monotonic clock.  */

#ifndef FLEET_ABANDONED_RUNS_H
#define FLEET_ABANDONED_RUNS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time_defs.h"
#include "ledger/ledger_defs.h"

enum
{
  ABANDONED_BOOTS_MAX = 256,
  ABANDONED_PER_BOOT_MAX = 32,
  ABANDONED_CHECKS_MAX = 4,
};

/* A backend server stops a run at its deadline; it may do so late, and the
   list shows its end later still.  */
#define ABANDONED_OVERRUN (2 * USEC_PER_SEC)
/* At most for so long after it was given up on.  */
#define ABANDONED_RUN_TIME (10 * USEC_PER_SEC)
/* For so long after it was given up on, a run keeps others of the same request
   from being tried.  */
#define ABANDONED_TRIAL_TIME (2 * USEC_PER_SEC)
/* Between two health checks of one backend server.  All routers notice within
   less than SAME_EVENT_TIME (crash_evidence) what ends many of them at
   once.  */
#define ABANDONED_CHECK_INTERVAL (300 * USEC_PER_MSEC)
/* At most ABANDONED_CHECKS_MAX health checks in this time.  */
#define ABANDONED_CHECK_SPAN (20 * USEC_PER_MSEC)

typedef struct abandoned_run
{
  fingerprint_t fingerprint;
  usec_t sent_at;
  usec_t given_up_at;
  usec_t until; /* it may be running until then */
} abandoned_run_t;

/* What may be running at one backend server.  */
typedef struct abandoned_boot
{
  uint64_t boot;  /* backend_record_boot */
  usec_t seen_at; /* when it was last seen alive, or asked for its health */
  size_t n;
  /* The one that was given up on first comes first.  */
  abandoned_run_t runs[ABANDONED_PER_BOOT_MAX];
} abandoned_boot_t;

/* All zero at first.  */
typedef struct abandoned_runs
{
  uint64_t n_dropped;
  usec_t checks_until; /* end of the span that n_checks counts in */
  size_t n_checks;
  size_t n;
  /* The one where a run was given up on last comes last.  */
  abandoned_boot_t boots[ABANDONED_BOOTS_MAX];
} abandoned_runs_t;

/* The request with FINGERPRINT, sent to the backend server BOOT at SENT_AT
   with DEADLINE, was given up on at NOW.  A later run of it at BOOT takes the
   place of an earlier one.  */
typedef struct abandoned_call
{
  uint64_t boot;
  fingerprint_t fingerprint;
  usec_t sent_at;
  usec_t deadline;
} abandoned_call_t;

void abandoned_runs_add (abandoned_runs_t *runs, const abandoned_call_t *call,
                         usec_t now);

/* The backend server BOOT was seen alive at NOW.  */
void abandoned_runs_seen (abandoned_runs_t *runs, uint64_t boot, usec_t now);

/* The backend server BOOT has ended, or is about to leave in order: move what
   may be running there at NOW to OUT.  Returns how many.  */
size_t abandoned_runs_take (abandoned_runs_t *runs, uint64_t boot,
                            abandoned_run_t out[ABANDONED_PER_BOOT_MAX],
                            usec_t now);

/* Drop the runs whose time is over.  */
void abandoned_runs_expire (abandoned_runs_t *runs, usec_t now);

/* Whether a request with FINGERPRINT may be running somewhere at NOW, and was
   given up on less than ABANDONED_TRIAL_TIME ago.  */
bool abandoned_runs_has_recent (const abandoned_runs_t *runs,
                                fingerprint_t fingerprint, usec_t now);

/* The backend server that is to be asked for its health at NOW, which is noted
   as done; 0: none.  */
uint64_t abandoned_runs_due_check (abandoned_runs_t *runs, usec_t now);

#endif
