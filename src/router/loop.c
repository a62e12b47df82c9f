#include "router/loop.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

struct loop
{
  int fd;
};

loop_t *
loop_new (err_t *err)
{
  loop_t *loop = calloc (1, sizeof *loop);
  if (!loop)
    abort ();
  loop->fd = epoll_create1 (EPOLL_CLOEXEC);
  if (loop->fd >= 0)
    return loop;
  err_set (err, ERR_IO, "raise the limit of descriptors", "no epoll: %s",
           strerror (errno));
  free (loop);
  return NULL;
}

void
loop_free (loop_t *loop)
{
  close (loop->fd);
  free (loop);
}

static bool
control (loop_t *loop, int operation, watch_t *watch, unsigned int wanted)
{
  struct epoll_event event = { .events = EPOLLRDHUP, .data.ptr = watch };
  if (wanted & LOOP_READABLE)
    event.events |= EPOLLIN;
  if (wanted & LOOP_WRITABLE)
    event.events |= EPOLLOUT;
  return epoll_ctl (loop->fd, operation, watch->fd, &event) == 0;
}

bool
loop_add (loop_t *loop, watch_t *watch, unsigned int wanted)
{
  return control (loop, EPOLL_CTL_ADD, watch, wanted);
}

bool
loop_change (loop_t *loop, watch_t *watch, unsigned int wanted)
{
  return control (loop, EPOLL_CTL_MOD, watch, wanted);
}

void
loop_remove (loop_t *loop, watch_t *watch)
{
  control (loop, EPOLL_CTL_DEL, watch, 0);
}

/* One event at a time: what it leads to may remove any other watch.  */
bool
loop_wait (loop_t *loop, usec_t span, loop_event_t *event)
{
  struct epoll_event ready;
  int msec = (int)((span + USEC_PER_MSEC - 1) / USEC_PER_MSEC);
  if (epoll_wait (loop->fd, &ready, 1, msec > 0 ? msec : 0) < 1)
    return false;
  event->watch = ready.data.ptr;
  event->ready = 0;
  if (ready.events & EPOLLIN)
    event->ready |= LOOP_READABLE;
  if (ready.events & EPOLLOUT)
    event->ready |= LOOP_WRITABLE;
  if (ready.events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR))
    event->ready |= LOOP_HANGUP;
  return true;
}
