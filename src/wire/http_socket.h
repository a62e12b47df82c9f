/* http_socket: socket options of the connections opened through libcurl.  */

#ifndef WIRE_HTTP_SOCKET_H
#define WIRE_HTTP_SOCKET_H

#include <curl/curl.h>
#include <stdbool.h>
#include <stddef.h>

#include "base/time_defs.h"
#include "wire/send_watch.h"

/* For CURLOPT_SOCKOPTFUNCTION.  Connections are reset on close.  Detects a
   connection whose state a device between the two ends has lost: by
   TCP_USER_TIMEOUT while sent bytes stay unacknowledged, and by keep-alive
   probes while the connection is idle.  Linux gives up on probes after that
   time, too, whatever their number: 2 s after the last bytes here, not 3.  */
int http_socket_set_options (void *closure, curl_socket_t fd,
                             curlsocktype purpose);

/* What the kernel tells of sending on FD; false: nothing.  */
bool http_socket_read_facts (int fd, send_facts_t *facts);

/* A request is about to be sent on FD: set WATCH, and its socket options.  */
void http_socket_start_send (int fd, send_watch_t *watch);

/* Whether libcurl has written all BODY_BYTES of EASY's request.  */
bool http_socket_is_written (CURL *easy, size_t body_bytes);

/* All of it has arrived: the options are as they were set first.  If bytes
   were held back, nothing is changed.  */
void http_socket_end_send (int fd, send_watch_t *watch);

/* How sending on FD goes on at NOW; sets TCP_USER_TIMEOUT as WATCH tells.
   SEND_ARRIVED if the kernel tells nothing.  */
send_state_t http_socket_check_send (int fd, send_watch_t *watch, usec_t now);

#endif
