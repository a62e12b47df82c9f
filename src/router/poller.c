#include "router/poller.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

struct poller
{
  int fd;
};

poller_t *
poller_new (err_t *err)
{
  poller_t *poller = calloc (1, sizeof *poller);
  if (!poller)
    abort ();
  poller->fd = epoll_create1 (EPOLL_CLOEXEC);
  if (poller->fd >= 0)
    return poller;
  err_set (err, ERR_IO, "raise the limit of file descriptors",
           "cannot create an epoll descriptor: %s", strerror (errno));
  free (poller);
  return NULL;
}

void
poller_free (poller_t *poller)
{
  close (poller->fd);
  free (poller);
}

static bool
control (poller_t *poller, int operation, watch_t *watch, unsigned int wanted)
{
  struct epoll_event event = { .events = EPOLLRDHUP, .data.ptr = watch };
  if (wanted & POLLER_READABLE)
    event.events |= EPOLLIN;
  if (wanted & POLLER_WRITABLE)
    event.events |= EPOLLOUT;
  return epoll_ctl (poller->fd, operation, watch->fd, &event) == 0;
}

bool
poller_add (poller_t *poller, watch_t *watch, unsigned int wanted)
{
  return control (poller, EPOLL_CTL_ADD, watch, wanted);
}

bool
poller_change (poller_t *poller, watch_t *watch, unsigned int wanted)
{
  return control (poller, EPOLL_CTL_MOD, watch, wanted);
}

void
poller_remove (poller_t *poller, watch_t *watch)
{
  control (poller, EPOLL_CTL_DEL, watch, 0);
}

/* Takes one event at a time, because its handler may remove other watches.  */
bool
poller_wait (poller_t *poller, usec_t span, poller_event_t *event)
{
  struct epoll_event ready;
  int msec = (int)((span + USEC_PER_MSEC - 1) / USEC_PER_MSEC);
  if (epoll_wait (poller->fd, &ready, 1, msec > 0 ? msec : 0) < 1)
    return false;
  event->watch = ready.data.ptr;
  event->ready = 0;
  if (ready.events & EPOLLIN)
    event->ready |= POLLER_READABLE;
  if (ready.events & EPOLLOUT)
    event->ready |= POLLER_WRITABLE;
  if (ready.events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR))
    event->ready |= POLLER_HANGUP;
  return true;
}
