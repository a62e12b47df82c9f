/* stop_plan: what a router does between SIGTERM and its end.  Pure.

   Callers keep the answer of a look-up for a while, so some still come.  At
   first they are served as always, each answer closing its connection; later
   they are refused at once, so that nothing is under way when the process
   ends.  */

#ifndef ROUTER_SHUTDOWN_PHASE_H
#define ROUTER_SHUTDOWN_PHASE_H

#include <stdbool.h>
#include <stddef.h>

#include "base/time_defs.h"

typedef enum
{
  SHUTDOWN_SERVE,  /* new requests are taken */
  SHUTDOWN_REFUSE, /* new requests are refused, those under way go on */
  SHUTDOWN_EXIT,   /* the process ends now */
} shutdown_phase_t;

/* The phase SPAN after the signal, where the kill follows GRACE after it and
   N_UNDER_WAY requests have not ended.  */
shutdown_phase_t shutdown_phase_at (usec_t elapsed, usec_t grace,
                                    size_t n_active);

#endif
