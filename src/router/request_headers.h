/* request_headers: the headers of what a router sends to backend servers.  The
   lists are the caller's.  */

#ifndef ROUTER_REQUEST_HEADERS_H
#define ROUTER_REQUEST_HEADERS_H

#include <curl/curl.h>

#include "router/exchange.h"

/* Those of EXCHANGE's request, but for what concerns one connection only; the
   time that is left at NOW; and the backend server that is meant.  */
struct curl_slist *request_headers (const exchange_t *exchange,
                                    const backend_t *backend, usec_t now);

/* Those of a health check.  */
struct curl_slist *request_headers_probe (const backend_t *backend);

#endif
