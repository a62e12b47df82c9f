/* stop_plan: what a router does between SIGTERM and its end.  Pure.

   Callers keep the answer of a look-up for a while, so some still come.  At
   first they are served as always, each answer closing its connection; later
   they are refused at once, so that nothing is under way when the process
   ends.  */

#ifndef ROUTER_STOP_PLAN_H
#define ROUTER_STOP_PLAN_H

#include <stdbool.h>
#include <stddef.h>

#include "base/time_defs.h"

typedef enum
{
  STOP_SERVES,  /* new requests are taken */
  STOP_REFUSES, /* new requests are refused, those under way go on */
  STOP_ENDS,    /* the process ends now */
} stop_phase_t;

/* The phase SPAN after the signal, where the kill follows GRACE after it and
   N_UNDER_WAY requests have not ended.  */
stop_phase_t stop_plan_phase (usec_t span, usec_t grace, size_t n_under_way);

#endif
