#include "placement/topology.h"

#include <stdlib.h>
#include <string.h>

/* The index of NAME in ARRAY, which has N structs of STRIDE bytes that each
   begin with a name_t; TOPOLOGY_NONE where it is missing.  */
static uint16_t
find_name (const void *array, size_t n, size_t stride, const char *name)
{
  const char *at = array;
  for (size_t i = 0; i < n; i++, at += stride)
    if (strcmp (((const name_t *)at)->text, name) == 0)
      return (uint16_t)i;
  return TOPOLOGY_NONE;
}

region_id_t
topology_region (const topology_t *topology, const char *name)
{
  return find_name (topology->regions, topology->n_regions, sizeof (region_t),
                    name);
}

domain_id_t
topology_domain (const topology_t *topology, const char *name)
{
  return find_name (topology->domains, topology->n_domains,
                    sizeof (failure_domain_t), name);
}

vm_id_t
topology_vm (const topology_t *topology, const char *name)
{
  return find_name (topology->vms, topology->n_vms, sizeof (vm_t), name);
}

service_id_t
topology_service (const topology_t *topology, const char *name)
{
  return find_name (topology->services, topology->n_services,
                    sizeof (service_t), name);
}

region_id_t
topology_region_of_vm (const topology_t *topology, vm_id_t vm)
{
  return topology->domains[topology->vms[vm].domain].region;
}

const link_t *
topology_link (const topology_t *topology, region_id_t from, region_id_t to)
{
  for (size_t i = 0; i < topology->n_links; i++)
    if (topology->links[i].from == from && topology->links[i].to == to)
      return &topology->links[i];
  return NULL;
}

usec_t
topology_delay (const topology_t *topology, domain_id_t from, domain_id_t to)
{
  if (from == to)
    return 0;
  region_id_t from_region = topology->domains[from].region;
  region_id_t to_region = topology->domains[to].region;
  if (from_region == to_region)
    return topology->domain_delay;
  const link_t *link = topology_link (topology, from_region, to_region);
  return link ? link->delay : topology->domain_delay;
}

void
topology_free (topology_t *topology)
{
  free (topology->regions);
  free (topology->domains);
  free (topology->vms);
  free (topology->services);
  free (topology->links);
}
