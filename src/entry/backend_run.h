/* backend_run: one call to a backend server, or to the entry VM that grants
   its slots, as the backend table counts it: each start that is reported to
   the table is followed by exactly one end with outcome and latency.  */

#ifndef ENTRY_BACKEND_RUN_H
#define ENTRY_BACKEND_RUN_H

#include "entry/backend_client.h"
#include "entry/backend_table.h"

typedef struct backend_run
{
  bool is_active; /* its start is reported, its end not yet */
  uint32_t backend;
  bool is_forwarded; /* to the entry VM that grants the slots */
  usec_t deadline;
  usec_t started_at;
} backend_run_t;

/* Whether REPLY, of another entry VM if IS_FORWARDED, states that the request
   has not run and never will; its status must not say otherwise.  */
bool backend_reply_is_refusal (const backend_reply_t *reply,
                               bool is_forwarded);

/* Report the start of a run at PLACE, whose answer is due by DEADLINE.  */
void backend_run_begin (backend_run_t *run, backend_table_t *table,
                        const placement_t *place, usec_t deadline, usec_t now);

/* Report the end by REPLY, which may be complete or not.  Returns the time
   that the request took at the backend server: as another entry VM reports it,
   else as measured here.  A backend server's own report is not used.  */
usec_t backend_run_reply (backend_run_t *run, backend_table_t *table,
                          const backend_reply_t *reply, usec_t now);

/* Report the end of a run whose reply is no longer awaited.  Does nothing
   where the end is reported already.  */
void backend_run_stop (backend_run_t *run, backend_table_t *table, usec_t now);

#endif
