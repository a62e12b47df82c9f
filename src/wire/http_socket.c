#include "wire/http_socket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "wire/socket_close.h"

enum
{
  UNACKNOWLEDGED_MSEC = 1500, /* TCP then ends the connection */
  KEEPALIVE_SECONDS = 1,      /* idle time before a probe, and between two */
  KEEPALIVE_PROBES = 2,
};

int
http_socket_set_options (void *closure, curl_socket_t fd, curlsocktype purpose)
{
  (void)closure;
  (void)purpose;
  int unacknowledged = UNACKNOWLEDGED_MSEC;
  int on = 1;
  int seconds = KEEPALIVE_SECONDS;
  int probes = KEEPALIVE_PROBES;
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged,
              sizeof unacknowledged);
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof seconds);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof seconds);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
  socket_close_by_reset (fd);
  return CURL_SOCKOPT_OK;
}
