/* topology_defs: one organisation as its settings describe it: regions,
   failure domains, entry VMs, services and links.  Fixed for the life of a
   process.  Each of them is identified by its index in its array.  */

#ifndef PLACEMENT_TOPOLOGY_DEFS_H
#define PLACEMENT_TOPOLOGY_DEFS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/name_defs.h"
#include "base/time_defs.h"

enum
{
  ADDRESS_BYTES = 16,     /* a dotted IPv4 address with its NUL */
  TOPOLOGY_NONE = 0xffff, /* no index: unknown or absent */
};

typedef uint16_t region_id_t;
typedef uint16_t domain_id_t;
typedef uint16_t vm_id_t;
typedef uint16_t service_id_t;

typedef struct region
{
  name_t name;
  uint32_t capacity; /* highest number of requests in flight */
} region_t;

typedef struct failure_domain
{
  name_t name;
  region_id_t region;
} failure_domain_t;

typedef struct vm
{
  name_t name;
  domain_id_t domain;
  char address[ADDRESS_BYTES];
  bool has_control; /* has a disk and runs a control process */
} vm_t;

typedef struct service
{
  name_t name;
  name_t request_class; /* histograms and weights go by it */
  uint16_t weight; /* value of an answer in time; higher is served first */
  uint16_t slots;  /* requests that a backend server runs at once */
  uint16_t connections;  /* that a backend server accepts */
  usec_t deadline;       /* of requests that give none */
  uint32_t answer_bytes; /* expected size, for link budgets */
} service_t;

/* One direction of the link between two regions.  */
typedef struct link
{
  region_id_t from;
  region_id_t to;
  uint64_t bytes_per_second;
  usec_t delay; /* one way */
} link_t;

/* The organisation's weights of its objectives, each from 0 to 1.  */
typedef struct objective
{
  double latency;
  double headroom;
} objective_t;

typedef struct topology
{
  name_t organisation;
  region_t *regions;
  size_t n_regions;
  failure_domain_t *domains;
  size_t n_domains;
  vm_t *vms;
  size_t n_vms;
  service_t *services;
  size_t n_services;
  link_t *links;
  size_t n_links;
  usec_t domain_delay; /* one way, between failure domains of one region */
  usec_t client_delay; /* one way, to the callers */
  objective_t objective;
} topology_t;

#endif
