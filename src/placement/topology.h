/* topology: look-ups in an organisation's topology, fixed by settings.  */

#ifndef PLACEMENT_TOPOLOGY_H
#define PLACEMENT_TOPOLOGY_H

#include "base/name.h"
#include "placement/topology_defs.h"

/* The index of NAME; TOPOLOGY_NONE where NAME is unknown.  */
region_id_t topology_region (const topology_t *topology, const char *name);
domain_id_t topology_domain (const topology_t *topology, const char *name);
vm_id_t topology_vm (const topology_t *topology, const char *name);
service_id_t topology_service (const topology_t *topology, const char *name);

region_id_t topology_region_of_vm (const topology_t *topology, vm_id_t vm);

/* The link in the direction from FROM to TO; NULL inside a region or where the
   settings give none.  */
const link_t *topology_link (const topology_t *topology, region_id_t from,
                             region_id_t to);

/* One-way delay between two failure domains in usec; 0 inside one.  */
usec_t topology_delay (const topology_t *topology, domain_id_t from,
                       domain_id_t to);

/* Free the arrays of TOPOLOGY, but not the struct itself.  */
void topology_free (topology_t *topology);

#endif
