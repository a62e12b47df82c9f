/* loop: the traffic thread's wait for sockets.  */

#ifndef ROUTER_LOOP_H
#define ROUTER_LOOP_H

#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"
#include "base/time_defs.h"

typedef enum
{
  WATCH_CALLERS, /* the callers' port has something to do */
  WATCH_BACKEND, /* a connection to a backend server */
  WATCH_CALLER,  /* the socket of a caller who waits */
  WATCH_WAKE,    /* another thread has something to say */
} watch_kind_t;

/* One descriptor that is watched; part of its owner.  */
typedef struct watch
{
  watch_kind_t kind;
  int fd;
  void *owner;
} watch_t;

typedef struct loop loop_t;

enum
{
  LOOP_READABLE = 1,
  LOOP_WRITABLE = 2,
  LOOP_HANGUP = 4, /* the peer has closed, or the socket failed */
};

typedef struct loop_event
{
  watch_t *watch;
  unsigned int ready; /* of the bits above */
} loop_event_t;

/* NULL with ERR_IO.  */
loop_t *loop_new (err_t *err);
void loop_free (loop_t *loop);

/* Watch for WANTED (of the bits above; LOOP_HANGUP is always told).  Called
   again it changes what is watched.  */
bool loop_add (loop_t *loop, watch_t *watch, unsigned int wanted);
bool loop_change (loop_t *loop, watch_t *watch, unsigned int wanted);
void loop_remove (loop_t *loop, watch_t *watch);

/* Wait for SPAN at most; the next event, false where there is none.  A watch
   may be removed and its owner freed after any event.  */
bool loop_wait (loop_t *loop, usec_t span, loop_event_t *event);

#endif
