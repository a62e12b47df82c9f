/* poller: waits for events on file descriptors, with epoll.  Used by the
   traffic thread only.  */

#ifndef ROUTER_POLLER_H
#define ROUTER_POLLER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"
#include "base/time_defs.h"

typedef enum
{
  WATCH_CALLER_PORT,    /* accepts callers' connections */
  WATCH_BACKEND_SOCKET, /* a connection to a backend server */
  WATCH_CALLER_SOCKET,  /* a connection of a caller */
  WATCH_COLD_PORT,      /* takes other routers' datagrams (cold_port) */
  WATCH_WAKEUP,         /* an eventfd that other threads write to */
} watch_kind_t;

/* A watched file descriptor; a member of the struct that owns it.  */
typedef struct watch
{
  watch_kind_t kind;
  int fd;
  void *owner;
} watch_t;

typedef struct poller poller_t;

/* Event bits.  */
enum
{
  POLLER_READABLE = 1,
  POLLER_WRITABLE = 2,
  POLLER_HANGUP = 4, /* the peer has closed, or the socket failed */
};

typedef struct poller_event
{
  watch_t *watch;
  unsigned int ready; /* POLLER_* bits */
} poller_event_t;

/* Returns NULL with ERR_IO.  */
poller_t *poller_new (err_t *err);
void poller_free (poller_t *poller);

/* Add WATCH, or change the events that it is watched for, to WANTED (POLLER_*
   bits; POLLER_HANGUP is always reported).  WATCH must stay at its address
   until it is removed.  Returns false if epoll refuses.  */
bool poller_add (poller_t *poller, watch_t *watch, unsigned int wanted);
bool poller_change (poller_t *poller, watch_t *watch, unsigned int wanted);
void poller_remove (poller_t *poller, watch_t *watch);

/* Wait up to SPAN for an event and store it in EVENT; returns false if there
   was none.  Between calls, watches may be removed and their owners freed.  */
bool poller_wait (poller_t *poller, usec_t span, poller_event_t *event);

#endif
