#include "wire/socket_close.h"

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
