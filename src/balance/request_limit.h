/* request_limit: how many requests a second a backend server takes from all
   routers together, as it has named it.  Pure; times are usec of one monotonic
   clock.

   Load pattern: a backend server in need names a limit in its responses, for
   as long as it holds.  Responses overtake each other: the latest one that
   names a limit counts, and only a response to a request that was sent after
   that ends the limit.  What other routers heard counts by its time.  */

#ifndef BALANCE_REQUEST_LIMIT_H
#define BALANCE_REQUEST_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time_defs.h"
#include "load/load_defs.h"

/* Requests a second; a limit that is named higher is taken for this.  */
#define BACKEND_LIMIT_MAX 1000000.0

typedef enum
{
  LIMIT_NOT_NAMED,
  LIMIT_NAMED,
  LIMIT_UNREADABLE, /* it says nothing */
} limit_statement_kind_t;

/* What a response says of the limit.  */
typedef struct limit_statement
{
  limit_statement_kind_t kind;
  double rate; /* requests a second; valid if LIMIT_NAMED */
} limit_statement_t;

/* All zero at first: not limited.  */
typedef struct request_limit
{
  bool is_in_force;
  double rate;     /* requests a second; valid if is_in_force */
  usec_t heard_at; /* when it was last named or ended; 0: never */
} request_limit_t;

/* A response that arrived at NOW, to a request sent at SENT_AT, makes
   STATEMENT.  Returns whether LIMIT has changed.  */
bool request_limit_hear (request_limit_t *limit,
                         const limit_statement_t *statement, usec_t sent_at,
                         usec_t now);

/* What LIMIT is told to other routers as at NOW.  */
load_limit_t request_limit_tell (const request_limit_t *limit, usec_t now);

/* Another router told TOLD, heard at AT.  Returns whether LIMIT has changed.
 */
bool request_limit_hear_told (request_limit_t *limit, load_limit_t told,
                              usec_t at);

#endif
