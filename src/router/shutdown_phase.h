/* shutdown_phase: the phases of a router's graceful shutdown, between SIGTERM
   and the exit of the process, and which requests may still be sent to a
   backend server meanwhile.  Pure functions without state.

   Callers cache the result of a look-up for a while, so some requests still
   arrive after SIGTERM.  Every response closes its connection from then on.
   New requests are first served as usual; later only if their deadline comes
   before the process ends.  All others are refused at once, so that no
   request is at a backend server when the process exits.  */

#ifndef ROUTER_SHUTDOWN_PHASE_H
#define ROUTER_SHUTDOWN_PHASE_H

#include <stdbool.h>
#include <stddef.h>

#include "base/time_defs.h"

/* The longest wait for events during a graceful shutdown.  */
#define SHUTDOWN_TICK (20 * USEC_PER_MSEC)

typedef enum
{
  SHUTDOWN_SERVE,  /* new requests are accepted */
  SHUTDOWN_REFUSE, /* new requests are refused unless they end in time */
  SHUTDOWN_FINISH, /* requests at backend servers are ended, and responses that
                      are under way are written */
  SHUTDOWN_EXIT,   /* the process exits now */
} shutdown_phase_t;

/* The phase ELAPSED after SIGTERM, if the process is killed GRACE after
   SIGTERM and N_OPEN requests are not received, not answered whole, or their
   callers have not got all of the response.  */
shutdown_phase_t shutdown_phase_at (usec_t elapsed, usec_t grace,
                                    size_t n_open);

/* What the turns of the thread that serves callers tell of requests that have
   arrived and were not read yet; times are relative to SIGTERM.  Zeroes before
   the first turn.  */
typedef struct shutdown_turns
{
  usec_t last_at;
  usec_t quiet_since;  /* no turn found anything to do since then */
  usec_t finish_since; /* the first turn in which the process was to exit or to
                          finish; 0: none */
} shutdown_turns_t;

/* A turn ELAPSED after SIGTERM, which found something to do iff IS_BUSY.  One
   that comes late tells nothing: the process may not have run, and its wait
   for events may have been interrupted before it found them.  */
void shutdown_add_turn (shutdown_turns_t *turns, usec_t elapsed, bool is_busy);

/* The phase, if shutdown_phase_at told PHASE: a process that would exit goes
   on until all that has arrived is read, if the time until it is killed
   allows.  */
shutdown_phase_t shutdown_phase_after (shutdown_turns_t *turns,
                                       shutdown_phase_t phase, usec_t elapsed,
                                       usec_t grace);

/* The latest deadline, in time after SIGTERM, that a backend server may be
   given, so that its response is passed on before SHUTDOWN_FINISH.  */
usec_t shutdown_last_deadline (usec_t grace);

/* A request to be sent to a backend server; times are relative to SIGTERM and
   may be negative.  */
typedef struct shutdown_request
{
  usec_t received_at;
  usec_t deadline;
  usec_t longest_run; /* that it may need at a backend server */
} shutdown_request_t;

/* Whether REQUEST may be sent to a backend server ELAPSED after SIGTERM: it
   ends in time by its deadline; or it was received during SHUTDOWN_SERVE and
   is expected to.  */
bool shutdown_may_send (usec_t elapsed, usec_t grace,
                        const shutdown_request_t *request);

#endif
