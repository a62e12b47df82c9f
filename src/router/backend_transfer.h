/* backend_transfer: what libcurl is told of a request to a backend server, and
   what its result code tells.  */

#ifndef ROUTER_BACKEND_TRANSFER_H
#define ROUTER_BACKEND_TRANSFER_H

#include <curl/curl.h>
#include <stdbool.h>

#include "router/backend_http.h"

/* Set where EASY's REQUEST goes: the address, the path and the query.  */
void backend_transfer_set_target (CURL *easy,
                                  const backend_request_t *request);

/* Set the method and the body of REQUEST, which EASY borrows.  A stream is
   read by EASY's CURLOPT_READFUNCTION.  */
void backend_transfer_set_method (CURL *easy,
                                  const backend_request_t *request);

/* Whether CODE tells that the connection has ended.  libcurl makes a new one
   if a reused connection ended before any byte of the response.  */
bool backend_transfer_is_cut_off (CURLcode code);

#endif
