/* shutdown_phase: the phases of a router's graceful shutdown, between SIGTERM
   and the exit of the process.  Pure functions without state.

   Callers cache the result of a look-up for a while, so some requests still
   arrive after SIGTERM.  They are first served as usual, with every response
   closing its connection.  Later they are refused at once, so that no request
   is active when the process exits.  */

#ifndef ROUTER_SHUTDOWN_PHASE_H
#define ROUTER_SHUTDOWN_PHASE_H

#include <stdbool.h>
#include <stddef.h>

#include "base/time_defs.h"

typedef enum
{
  SHUTDOWN_SERVE,  /* new requests are accepted */
  SHUTDOWN_REFUSE, /* new requests are refused, active ones continue */
  SHUTDOWN_EXIT,   /* the process exits now */
} shutdown_phase_t;

/* The phase ELAPSED after SIGTERM, if the process is killed GRACE after
   SIGTERM and N_ACTIVE requests are not finished.  */
shutdown_phase_t shutdown_phase_at (usec_t elapsed, usec_t grace,
                                    size_t n_active);

#endif
