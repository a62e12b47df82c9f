/* load_defs: what a backend server says of its load.  */

#ifndef LOAD_LOAD_DEFS_H
#define LOAD_LOAD_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time_defs.h"

enum
{
  LOAD_COUNT_MAX = UINT16_MAX, /* requests */
  LOAD_PACE_NORMAL = 100,      /* percent */
  LOAD_SERVERS_MAX = 8192,     /* in a table */
};

/* How many requests a second a backend server takes from all routers, as its
   response named it: tenths, rounded down, above LOAD_LIMIT_ZERO.  */
typedef uint16_t load_limit_t;

enum
{
  LOAD_LIMIT_NOT_TOLD,
  LOAD_LIMIT_ENDED, /* it names none any more */
  LOAD_LIMIT_ZERO,
  LOAD_LIMIT_MAX = (1 << 14) - 1,
  LOAD_LIMIT_UNITS = 10, /* in one request a second */
};

/* The load of a backend server at one moment, and what became of the request
   whose response told it.  */
typedef struct load_report
{
  uint64_t server; /* of load_server_id */
  bool lacks_load; /* only the limit is told */
  load_limit_t limit;
  uint16_t running; /* requests */
  uint16_t waiting;
  uint16_t pace; /* how long work takes, in percent of normal; 0: not told */
  uint16_t duration; /* of the request, in percent of what the router expected;
                        0: not known */
  bool has_failed;   /* the request, by a fault of the backend server */
  usec_t at;         /* when the response came */
} load_report_t;

/* A short id of one start of a backend server, of its BOOT
   (backend_record_boot).  Two may have the same, once in some thousand
   deployments of a thousand servers; one then counts with the other's load. */
static inline uint32_t
load_server_id (uint64_t boot)
{
  return (uint32_t)boot;
}

#endif
