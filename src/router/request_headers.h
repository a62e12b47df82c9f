/* request_headers: the headers of the requests that a router sends to backend
   servers.  The lists are allocated; the caller of the function owns them.  */

#ifndef ROUTER_REQUEST_HEADERS_H
#define ROUTER_REQUEST_HEADERS_H

#include <curl/curl.h>

#include "router/exchange.h"

/* Headers for sending EXCHANGE's request to BACKEND: those that the caller
   sent, without the hop-by-hop ones, and the time left until the deadline at
   NOW, the id of BACKEND and, in place of the caller's key, the name of its
   client account if the configuration names accounts.  */
struct curl_slist *request_headers (const exchange_t *exchange,
                                    const backend_t *backend, usec_t now);

/* Headers of EXCHANGE's request for a router that is to carry it at NOW, to
   at most N_ATTEMPTS backend servers.  */
struct curl_slist *request_headers_carry (const exchange_t *exchange,
                                          uint32_t n_attempts, usec_t now);

/* Headers for a health check of BACKEND.  */
struct curl_slist *request_headers_probe (const backend_t *backend);

#endif
