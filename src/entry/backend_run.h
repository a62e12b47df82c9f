/* backend_run: one request on its way to a backend server, or to the entry VM
   that admits to it, as the backend table is told of it: once when it begins
   and once when it ends.  */

#ifndef ENTRY_BACKEND_RUN_H
#define ENTRY_BACKEND_RUN_H

#include "entry/backend_client.h"
#include "entry/backend_table.h"

typedef struct backend_run
{
  bool is_active;
  uint32_t backend;
  bool is_forwarded; /* to the entry VM that admits to it */
  usec_t deadline;
  usec_t started_at;
} backend_run_t;

/* Begin PLACE's run, which ends by DEADLINE.  */
void backend_run_begin (backend_run_t *run, backend_table_t *table,
                        const placement_t *place, usec_t deadline, usec_t now);

/* The reply to it came, whole or broken.  Returns the time that the backend
   server ran; another entry VM's word on that is taken, its own is not.  */
usec_t backend_run_reply (backend_run_t *run, backend_table_t *table,
                          const backend_reply_t *reply, usec_t now);

/* Nobody waits for its reply any more.  Nothing where it has ended.  */
void backend_run_stop (backend_run_t *run, backend_table_t *table, usec_t now);

#endif
