/* link_shares: this entry VM's fixed part of the links between regions.

   The bandwidth of one direction is split evenly over the entry VMs of both
   its ends: those at its beginning send requests on it, those at its end
   get answers over it.  The parts sum to the whole whatever is cut, so no
   message is needed.  For the dispatcher's thread alone.  */

#ifndef ENTRY_LINK_SHARES_H
#define ENTRY_LINK_SHARES_H

#include <stdbool.h>

#include "base/time_defs.h"
#include "placement/topology_defs.h"

typedef struct link_shares link_shares_t;

/* For the VM with the index SELF.  */
link_shares_t *link_shares_new (const topology_t *topology, vm_id_t self,
                                usec_t now);

void link_shares_free (link_shares_t *shares);

/* Charge a request of REQUEST_BYTES to a VM of REGION and an answer of
   ANSWER_BYTES back; false, and nothing is charged, where either share does
   not hold it.  Inside the own region nothing is needed.  */
bool link_shares_charge (link_shares_t *shares, region_id_t region,
                         size_t request_bytes, size_t answer_bytes,
                         usec_t now);

#endif
