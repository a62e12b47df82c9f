/* status_page: what a control process knows, as JSON.  */

#ifndef CONTROL_STATUS_PAGE_H
#define CONTROL_STATUS_PAGE_H

#include "control/accepted.h"
#include "control/core_thread.h"

/* The newest accepted number, the replica and every VM's version, since when
   and how long ago it was heard; for free.  */
char *status_page (const topology_t *topology, accepted_t *accepted,
                   core_thread_t *core);

#endif
