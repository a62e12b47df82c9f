/* limit_share: the part of a backend server's limit that one router uses.
   Pure; times are usec of one monotonic clock.

   Load pattern: a backend server names a limit of one or two requests a
   second, and tens of routers send to it, each less than that.

   A few routers share the limit: the first ones of an order that all routers
   know, the same for each backend server.  Their number grows with the limit,
   because each may send one request at once.  The others send nothing, but for
   a trial after a long time without news of the limit: it may have ended while
   no director could tell.  The first of the sharers sends at least
   LIMIT_TRIAL_RATE, because only responses tell that a limit has ended.  */

#ifndef BALANCE_LIMIT_SHARE_H
#define BALANCE_LIMIT_SHARE_H

#include <stdbool.h>
#include <stddef.h>

#include "base/time_defs.h"

enum
{
  LIMIT_SHARERS_MIN = 4, /* and one for each request a second */
};

/* Requests a second of the first sharer, whatever the limit is.  */
#define LIMIT_TRIAL_RATE 0.1
/* Between two trials of all routers together that do not share the limit.  */
#define LIMIT_TRIAL_INTERVAL (4 * USEC_PER_SEC)
/* What a router did not send for so long it may send at once, but at least one
   request.  */
#define LIMIT_BURST_TIME (250 * USEC_PER_MSEC)

/* Where a router stands among those that know of a backend server.  */
typedef struct limit_place
{
  size_t rank;   /* among N_NEAR; SIZE_MAX: it is none of them */
  size_t n_near; /* routers that may share its limit */
  size_t n_all;  /* 0: no other is known */
  double spread; /* from 0 to 1, another one for each router */
} limit_place_t;

/* A bucket of tokens, one for each request.  Zero-initialized.  */
typedef struct limit_share
{
  limit_place_t place;
  double tokens;
  usec_t refilled_at;
} limit_share_t;

/* Whether the router at PLACE shares a LIMIT.  */
bool limit_share_is_sharer (const limit_place_t *place, double limit);

/* Requests a second that the router at PLACE may send within LIMIT.  */
double limit_share_rate (const limit_place_t *place, double limit);

/* A limit begins at NOW: all that was sent so far counts.  */
void limit_share_begin (limit_share_t *share, usec_t now);

/* The limit was LIMIT until NOW.  HAS_NEWS: something was heard of it.  */
void limit_share_settle (limit_share_t *share, double limit, bool has_news,
                         usec_t now);

/* Whether one more request may be sent at NOW.  */
bool limit_share_allows (const limit_share_t *share, double limit, usec_t now);

/* A request is sent at NOW.  */
void limit_share_take (limit_share_t *share, double limit, usec_t now);

/* When the next request may be sent; NOW if that is now, INT64_MAX if never.
 */
usec_t limit_share_ready_at (const limit_share_t *share, double limit,
                             usec_t now);

#endif
