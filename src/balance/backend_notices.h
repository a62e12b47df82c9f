/* backend_notices: what backend servers have said of themselves to this
   router: that they leave, until when they want to rest, and how many requests
   a second they take.  Pure; times are usec of one monotonic clock.

   Load patterns: a backend server leaves before any list shows it; an
   overloaded one wants no requests for a while, and several that rest until
   the same moment would be overrun by all requests that wait for it.

   A notice holds for one start of a backend server (backend_record_boot), as
   long as this process runs: no list, configuration or end of an evacuation
   takes it back.  A new start at the same address has none.  */

#ifndef BALANCE_BACKEND_NOTICES_H
#define BALANCE_BACKEND_NOTICES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "balance/request_limit.h"

enum
{
  BACKEND_NOTICES_MAX = 1024,
};

typedef struct backend_notice
{
  uint64_t boot;
  usec_t leaving_since; /* of the first answer that said so; 0: not leaving */
  bool was_draining;    /* a list has shown that it leaves */
  usec_t rest_until;    /* 0: never rested */
  /* Since the last rest no request was answered.  One request at a time is
     sent until one is, so that what waited does not arrive at once.  */
  bool is_trial;
  request_limit_t limit;
  usec_t noted_at; /* of the last notice */
} backend_notice_t;

/* All zero at first.  */
typedef struct backend_notices
{
  size_t n;
  backend_notice_t items[BACKEND_NOTICES_MAX];
} backend_notices_t;

/* The notice of BOOT, added if needed; a full table drops the one that was
   noted the longest time ago.  Valid until the next call.  */
backend_notice_t *backend_notices_get (backend_notices_t *notices,
                                       uint64_t boot, usec_t now);

/* NULL if BOOT has said nothing.  Valid until the next
   backend_notices_get.  */
const backend_notice_t *backend_notices_find (const backend_notices_t *notices,
                                              uint64_t boot);

/* Whether the backend server may get no request at NOW, because it rests.  */
bool backend_notice_is_resting (const backend_notice_t *notice, usec_t now);

/* Whether the backend server may get one more request at NOW, having
   N_IN_FLIGHT of this router's.  */
bool backend_notice_allows (const backend_notice_t *notice,
                            uint32_t n_in_flight, usec_t now);

#endif
