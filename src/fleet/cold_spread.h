/* cold_spread: which reports of cold backend servers a router tells other
   routers itself, and when.

   Directors relay what routers see.  While none is in reach, or one that was
   asked has not answered for COLD_SPREAD_DELAY, a router tells the others of
   its list, in two steps.  Their addresses put the routers into about sqrt(n)
   groups, whose number the sender chooses; it tells its own group, and
   COLD_SPREAD_RELAYS random routers of each other one, which tell theirs.
   What was relayed is told no further, so nothing travels in a circle.  A
   report costs the sender some 3 * sqrt(n) datagrams, and a router that relays
   it sqrt(n); a budget bounds both.

   No I/O and no clock.  Times are usec of the local monotonic clock.  */

#ifndef FLEET_COLD_SPREAD_H
#define FLEET_COLD_SPREAD_H

#include "base/random.h"
#include "fleet/cold_datagram.h"
#include "fleet/fleet_defs.h"

enum
{
  COLD_SPREAD_RELAYS = 2, /* of a group: one may be down */
};

/* A director answers within some 50 ms; one that takes longer waits for an
   election, or is as good as out of reach.  */
#define COLD_SPREAD_DELAY (200 * USEC_PER_MSEC)
/* A report that extends what the routers know by less is not told: one server
   that is down refuses connections of many routers.  */
#define COLD_SPREAD_EXTENSION (250 * USEC_PER_MSEC)
/* Between two batches, so that what is seen at one moment travels together. */
#define COLD_SPREAD_INTERVAL (50 * USEC_PER_MSEC)
/* Bytes a second, a quarter of a link of 2 Mbit/s, and at once.  */
#define COLD_SPREAD_BYTE_RATE (64 * 1000)
#define COLD_SPREAD_BYTE_BURST (32 * 1000)

/* One datagram for several routers.  */
typedef struct cold_batch
{
  uint32_t groups; /* each receiver tells its one of so many; 0: nobody */
  size_t n;
  cold_report_t reports[COLD_DATAGRAM_REPORTS_MAX];
  size_t n_to;
  uint32_t to[FLEET_ROUTERS_MAX]; /* addresses */
} cold_batch_t;

/* What a router has told last.  */
typedef struct cold_sender
{
  uint64_t address;
  uint64_t incarnation;
  uint64_t sequence;
} cold_sender_t;

typedef struct cold_queue
{
  usec_t next_at; /* no batch before */
  size_t n;
  cold_report_t reports[COLD_DATAGRAM_REPORTS_MAX];
} cold_queue_t;

typedef struct cold_spread
{
  uint32_t self;
  random_state_t random;
  size_t n_routers;
  uint32_t *routers; /* malloc'd; the others, in order of their addresses */
  size_t n_senders;
  size_t n_senders_allocated;
  cold_sender_t *senders; /* malloc'd, by address */
  cold_table_t known;     /* what routers have told each other */
  uint64_t settled;       /* changes of the own table that need not be told */
  usec_t tell_at;       /* when later ones are told; INT64_MAX: not, so far */
  cold_queue_t own;     /* to all */
  bool has_told_relays; /* of OWN; its own group follows */
  cold_queue_t relayed; /* to the own group */
  uint32_t relayed_groups; /* by the last sender */
  int64_t bytes_left;      /* of the budget; negative: overdrawn */
  usec_t refilled_at;
} cold_spread_t;

/* SELF is the own address.  SPREAD is zeroed and released with
   cold_spread_clear.  */
void cold_spread_init (cold_spread_t *spread, uint32_t self, uint64_t seed);
void cold_spread_clear (cold_spread_t *spread);

/* The routers are those at the N ADDRESSES, in any order; the own one may be
   among them.  */
void cold_spread_set_routers (cold_spread_t *spread, const uint32_t *addresses,
                              size_t n);

/* What directors know of what this router has seen.  */
typedef struct cold_directors
{
  uint64_t taken;   /* changes that a director took which is in touch with the
                       leader */
  bool is_in_reach; /* the last pull was answered by such a one */
  usec_t asked_at;  /* when the pull that is in flight was sent; 0: none is */
} cold_directors_t;

/* SEEN holds what this router has seen.  */
void cold_spread_see (cold_spread_t *spread, const cold_table_t *seen,
                      const cold_directors_t *directors, usec_t now);

/* DATAGRAM has arrived and is authentic.  Returns false if it is ignored: it
   is of no listed router, or came before.  */
bool cold_spread_hear (cold_spread_t *spread, const cold_datagram_t *datagram,
                       usec_t now);

/* Write the next batch that is due to *BATCH.  Returns false if there is none.
 */
bool cold_spread_next (cold_spread_t *spread, usec_t now, cold_batch_t *batch);

/* When cold_spread_see and cold_spread_next are due; INT64_MAX: once something
   is seen or heard.  */
usec_t cold_spread_due_at (const cold_spread_t *spread);

/* Forget the reports that have ended by NOW.  */
void cold_spread_expire (cold_spread_t *spread, usec_t now);

#endif
