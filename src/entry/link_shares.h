/* link_shares: this entry VM's fixed share of the bandwidth of the links
   between regions.

   The bandwidth of one direction is split evenly among the entry VMs of the
   regions at both ends: those of the source region send requests over it,
   those of the destination region receive answers over it.  The shares are
   fixed and add up to the link's bandwidth, so the VMs need not exchange
   messages and a network partition does not matter.  For the dispatcher's
   thread only.  */

#ifndef ENTRY_LINK_SHARES_H
#define ENTRY_LINK_SHARES_H

#include <stdbool.h>

#include "base/time_defs.h"
#include "placement/topology_defs.h"

typedef struct link_shares link_shares_t;

/* The shares of the VM with the index SELF.  */
link_shares_t *link_shares_new (const topology_t *topology, vm_id_t self,
                                usec_t now);

void link_shares_free (link_shares_t *shares);

/* Charge a request of REQUEST_BYTES to a VM of REGION and an answer of
   ANSWER_BYTES back.  False, and nothing is charged, where either share is too
   small at NOW.  Traffic inside this VM's region is not limited.  */
bool link_shares_charge (link_shares_t *shares, region_id_t region,
                         size_t request_bytes, size_t answer_bytes,
                         usec_t now);

#endif
