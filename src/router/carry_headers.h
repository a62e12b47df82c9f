/* carry_headers: fields between two routers, of which one carries a request of
   the other (dispatcher_carry).  They are not forwarded.  */

#ifndef ROUTER_CARRY_HEADERS_H
#define ROUTER_CARRY_HEADERS_H

/* Of a request: how many backend servers may still get it.  It must not be
   passed to a further router.  */
#define HEADER_CARRIED "Mulberry-Carried"
/* Of a response: the router reaches no backend server.  */
#define HEADER_CUT_OFF "Mulberry-Cut-Off"

#endif
