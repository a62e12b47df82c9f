/* loopback: a listening socket for a server within a test.  */

#ifndef TEST_SUPPORT_LOOPBACK_H
#define TEST_SUPPORT_LOOPBACK_H

#include <arpa/inet.h>
#include <glib.h>
#include <sys/socket.h>

#include "base/inet.h"

/* Listens on a free port of 127.0.0.1, which is stored in ADDRESS.  Returns
   the socket.  */
static inline int
loopback_listen (inet_t *address)
{
  struct sockaddr_in at
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof at;
  int listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  g_assert_cmpint (bind (listener, (struct sockaddr *)&at, sizeof at), ==, 0);
  g_assert_cmpint (listen (listener, 64), ==, 0);
  getsockname (listener, (struct sockaddr *)&at, &length);
  *address
      = (inet_t){ .address = INADDR_LOOPBACK, .port = ntohs (at.sin_port) };
  return listener;
}

#endif
