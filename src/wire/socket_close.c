#include "wire/socket_close.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

void
socket_close_by_reset (int fd)
{
  const struct linger at_once = { .l_onoff = 1, .l_linger = 0 };
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

void
socket_close_in_order (int fd)
{
  const struct linger none = { .l_onoff = 0 };
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &none, sizeof none);
}

bool
socket_unacknowledged (int fd, size_t *n)
{
  int error = 0;
  socklen_t length = sizeof error;
  int n_queued = -1;
  *n = 0;
  if (getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &length) == 0
      && error != 0)
    return true;
  if (ioctl (fd, SIOCOUTQ, &n_queued) != 0 || n_queued < 0)
    return false;
  *n = (size_t)n_queued;
  return true;
}
