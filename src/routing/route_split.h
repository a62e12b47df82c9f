/* route_split: which of a route's services takes the next request.  Pure.

   The shares take turns by their weights, so that after any number of requests
   each is within one request of its part.  */

#ifndef ROUTING_ROUTE_SPLIT_H
#define ROUTING_ROUTE_SPLIT_H

#include "routing/route_defs.h"

/* Where the routes of one configuration stand.  */
typedef struct route_split
{
  const route_config_t *config; /* borrowed */
  double **credits;             /* a list a route, a number a share */
} route_split_t;

/* All shares of CONFIG (which may be NULL) begin anew.  */
route_split_t *route_split_new (const route_config_t *config);
void route_split_free (route_split_t *split); /* may be NULL */

/* The share of ROUTE, one of the configuration's, whose turn it is.  */
size_t route_split_next (route_split_t *split, const route_t *route);

#endif
