/* leave_watch: which entry VMs know that this one is about to stop, and since
   when others are known to be.  Does no input or output; not thread-safe.  */

#ifndef ENTRY_LEAVE_WATCH_H
#define ENTRY_LEAVE_WATCH_H

#include "membership/liveness.h"

typedef struct leave_watch leave_watch_t;

/* The caller releases the result with leave_watch_free.  */
leave_watch_t *leave_watch_new (size_t n_vms);
void leave_watch_free (leave_watch_t *watch);

/* RECORD, of a VM less than n_vms, is what is known of its VM at NOW.  */
void leave_watch_record (leave_watch_t *watch, const liveness_record_t *record,
                         usec_t now);
/* Whether VM has been known to leave for SPAN or longer.  */
bool leave_watch_has_left (const leave_watch_t *watch, vm_id_t vm, usec_t span,
                           usec_t now);

/* VM has answered a heartbeat that says that this VM is leaving.  */
void leave_watch_acknowledged (leave_watch_t *watch, vm_id_t vm);
bool leave_watch_is_acknowledged (const leave_watch_t *watch, vm_id_t vm);

#endif
