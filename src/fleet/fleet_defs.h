/* fleet_defs: who is there: backend servers, and routers that take callers'
   requests.  */

#ifndef FLEET_FLEET_DEFS_H
#define FLEET_FLEET_DEFS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/inet.h"
#include "base/name_defs.h"
#include "base/time_defs.h"

enum
{
  BACKEND_ID_BYTES = 64,
  FLEET_BACKENDS_MAX = 8192,
  FLEET_ROUTERS_MAX = 2048,
  FLEET_DIRECTORS_MAX = 15,
};

/* One backend server, as the list of backend servers shows it.  */
typedef struct backend_record
{
  char id[BACKEND_ID_BYTES]; /* of one start, mostly */
  name_t service;
  name_t domain;
  inet_t address;
  bool is_draining;
  uint32_t slots;          /* requests that it runs at once */
  usec_t cold_left;        /* when the list was read */
  int64_t started_unix_ms; /* msec since 1970; 0: not told */
} backend_record_t;

/* All backend servers at one moment.  */
typedef struct backend_list
{
  uint64_t digest; /* of all but how long a cold one stays cold */
  usec_t read_at;  /* monotonic, here */
  size_t n_records;
  backend_record_t *records; /* malloc'd */
} backend_list_t;

/* One router, as it says of itself.  */
typedef struct router_record
{
  name_t vm;
  name_t domain;
  name_t region;
  inet_t request_address; /* where it takes callers' requests */
  uint64_t incarnation;
  bool takes_requests; /* false while it starts or stops */
  bool is_direct;      /* heard from the router itself */
  usec_t heard_at;     /* monotonic, here */
} router_record_t;

#endif
