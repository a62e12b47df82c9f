/* fleet_defs: records of the backend servers and of the routers that accept
   callers' requests.  */

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
  BACKEND_ID_BYTES = 64,     /* with the terminating null byte */
  BACKEND_SLOTS_MAX = 65536, /* of one backend server */
  FLEET_BACKENDS_MAX = 8192,
  FLEET_ROUTERS_MAX = 2048,
  FLEET_DIRECTORS_MAX = 63,
};

/* No clock, age or span in a message is longer, about 2,000 years; the sums of
   a few of them don't overflow.  */
#define FLEET_TIME_MAX ((usec_t)1 << 56)

/* One backend server, as the platform's list describes it.  */
typedef struct backend_record
{
  char id[BACKEND_ID_BYTES]; /* usually unique to one start of the server */
  name_t service;
  name_t domain; /* failure domain */
  inet_t address;
  bool is_draining;
  uint32_t slots;          /* requests that it can run concurrently */
  usec_t cold_left;        /* from the list's read_at until it is warm */
  int64_t started_unix_ms; /* Unix time in milliseconds; 0: unknown */
  int64_t cold_mark; /* differs for each time that it became cold; 0: it is
                        not, or no reader of the list has marked it */
} backend_record_t;

/* All backend servers at one point in time.  */
typedef struct backend_list
{
  uint64_t digest; /* of all fields of the records, except for the length of
                      cold_left; 0 until the list is finalized */
  usec_t read_at;  /* local monotonic clock */
  size_t n_records;
  backend_record_t *records; /* allocated with malloc, owned by the list */
} backend_list_t;

/* One router, as it reports itself.  */
typedef struct router_record
{
  name_t vm;
  name_t domain; /* failure domain */
  name_t region;
  inet_t request_address; /* where it accepts callers' requests */
  uint64_t incarnation;
  bool takes_requests; /* false while it starts or stops */
  bool is_cut_off;     /* it reaches no backend server */
  bool is_direct;      /* received from the router itself, not relayed */
  uint32_t form;   /* of its messages (fleet/message_items); 0: not known */
  usec_t heard_at; /* time of its last report, local monotonic clock */
} router_record_t;

#endif
