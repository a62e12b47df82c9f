/* http_socket: options of the connections that we make by libcurl.  */

#ifndef WIRE_HTTP_SOCKET_H
#define WIRE_HTTP_SOCKET_H

#include <curl/curl.h>

/* For CURLOPT_SOCKOPTFUNCTION.  A connection that something between the ends
   has forgotten is found while bytes on it stay without acknowledgement, or by
   probes while it is idle.  */
int http_socket_made (void *closure, curl_socket_t fd, curlsocktype purpose);

#endif
