/* http_socket: socket options of the connections opened through libcurl.  */

#ifndef WIRE_HTTP_SOCKET_H
#define WIRE_HTTP_SOCKET_H

#include <curl/curl.h>

/* For CURLOPT_SOCKOPTFUNCTION.  Connections are reset on close.  Detects a
   connection whose state a device between the two ends has lost: by
   TCP_USER_TIMEOUT while sent bytes stay unacknowledged, and by keep-alive
   probes while the connection is idle.  */
int http_socket_set_options (void *closure, curl_socket_t fd,
                             curlsocktype purpose);

#endif
