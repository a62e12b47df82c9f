#include "wire/http_socket.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "wire/socket_close.h"

enum
{
  KEEPALIVE_SECONDS = 1, /* idle time before a probe, and between two */
  KEEPALIVE_PROBES = 2,
  RTO_MAX_MSEC_OPTION = 44, /* TCP_RTO_MAX_MS, which older headers lack */
};

/* MSEC: 0 turns the option off.  */
static bool
set_user_timeout (int fd, int msec)
{
  return setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &msec, sizeof msec)
         == 0;
}

int
http_socket_set_options (void *closure, curl_socket_t fd, curlsocktype purpose)
{
  (void)closure;
  (void)purpose;
  int on = 1;
  int seconds = KEEPALIVE_SECONDS;
  int probes = KEEPALIVE_PROBES;
  set_user_timeout (fd, SEND_TIMEOUT_MSEC);
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof seconds);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof seconds);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
  socket_close_by_reset (fd);
  return CURL_SOCKOPT_OK;
}

bool
http_socket_read_facts (int fd, send_facts_t *facts)
{
  struct tcp_info info = { 0 };
  socklen_t length = sizeof info;
  if (getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &length) != 0)
    return false;
  *facts = (send_facts_t){
    .n_unacknowledged = info.tcpi_unacked,
    .unsent_bytes = info.tcpi_notsent_bytes,
    .n_probes = info.tcpi_probes,
    .since_sent = (usec_t)info.tcpi_last_data_sent * USEC_PER_MSEC,
    .since_acknowledged = (usec_t)info.tcpi_last_ack_recv * USEC_PER_MSEC,
    .n_acknowledged = info.tcpi_bytes_acked,
    .is_closed = info.tcpi_snd_wnd == 0,
  };
  return true;
}

void
http_socket_start_send (int fd, send_watch_t *watch)
{
  send_facts_t facts;
  int span = SEND_PROBE_SPAN_MSEC;
  *watch = (send_watch_t){ 0 };
  watch->kernel_timer_is_off
      = http_socket_read_facts (fd, &facts)
        && setsockopt (fd, IPPROTO_TCP, RTO_MAX_MSEC_OPTION, &span,
                       sizeof span)
               == 0
        && set_user_timeout (fd, 0);
}

bool
http_socket_is_written (CURL *easy, size_t body_bytes)
{
  curl_off_t n_bytes = 0;
  curl_easy_getinfo (easy, CURLINFO_SIZE_UPLOAD_T, &n_bytes);
  return (size_t)n_bytes >= body_bytes;
}

void
http_socket_end_send (int fd, send_watch_t *watch)
{
  if (watch->kernel_timer_is_off && !watch->is_held)
    watch->kernel_timer_is_off = !set_user_timeout (fd, SEND_TIMEOUT_MSEC);
}

send_state_t
http_socket_check_send (int fd, send_watch_t *watch, usec_t now)
{
  send_facts_t facts;
  if (!http_socket_read_facts (fd, &facts))
    return SEND_ARRIVED;
  send_state_t state = send_watch_check (watch, &facts, now);
  if (watch->is_held && !watch->kernel_timer_is_off)
    set_user_timeout (fd, watch->timeout_msec);
  return state;
}
