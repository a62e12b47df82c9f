/* route_split: divides the requests of a route among its services by smooth
   weighted round-robin.  Pure.

   After any number of requests, the count of each service differs by at most
   one request from its part by weight.  */

#ifndef ROUTING_ROUTE_SPLIT_H
#define ROUTING_ROUTE_SPLIT_H

#include "routing/route_defs.h"

/* Round-robin state of all routes of one configuration.  */
typedef struct route_split
{
  const route_config_t *config; /* borrowed */
  double **credits;             /* [route][share]; NULL-terminated; owned */
} route_split_t;

/* Returns the initial state for CONFIG, which must outlive it and may be NULL.
   Free it with route_split_free.  */
route_split_t *route_split_new (const route_config_t *config);
void route_split_free (route_split_t *split); /* SPLIT may be NULL */

/* Returns the index of the share of ROUTE that gets the next request.  ROUTE
   must be an element of the configuration's routes and have at least one
   share.  */
size_t route_split_next (route_split_t *split, const route_t *route);

#endif
