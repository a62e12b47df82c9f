/* poller: the traffic thread's wait for sockets.  */

#ifndef ROUTER_POLLER_H
#define ROUTER_POLLER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"
#include "base/time_defs.h"

typedef enum
{
  WATCH_CALLER_PORT,    /* the callers' port has something to do */
  WATCH_BACKEND_SOCKET, /* a connection to a backend server */
  WATCH_CALLER_SOCKET,  /* the socket of a caller who waits */
  WATCH_WAKEUP,         /* another thread has something to say */
} watch_kind_t;

/* One descriptor that is watched; part of its owner.  */
typedef struct watch
{
  watch_kind_t kind;
  int fd;
  void *owner;
} watch_t;

typedef struct poller poller_t;

enum
{
  POLLER_READABLE = 1,
  POLLER_WRITABLE = 2,
  POLLER_HANGUP = 4, /* the peer has closed, or the socket failed */
};

typedef struct poller_event
{
  watch_t *watch;
  unsigned int ready; /* of the bits above */
} poller_event_t;

/* NULL with ERR_IO.  */
poller_t *poller_new (err_t *err);
void poller_free (poller_t *poller);

/* Watch for WANTED (of the bits above; POLLER_HANGUP is always told).  Called
   again it changes what is watched.  */
bool poller_add (poller_t *poller, watch_t *watch, unsigned int wanted);
bool poller_change (poller_t *poller, watch_t *watch, unsigned int wanted);
void poller_remove (poller_t *poller, watch_t *watch);

/* Wait for SPAN at most; the next event, false where there is none.  A watch
   may be removed and its owner freed after any event.  */
bool poller_wait (poller_t *poller, usec_t span, poller_event_t *event);

#endif
