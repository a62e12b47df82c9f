/* backend_connections: the connections to backend servers that libcurl opens
   and keeps, and the bytes that arrive on them although no request waits for
   them.  Used by the traffic thread only.

   libcurl 7.88 takes an idle connection for usable if bytes wait on it, and
   reads them as the next request's response.  So idle connections are watched,
   and each is looked at once more just before a request is sent on it.  One
   with bytes, or that the peer has closed, is shut down, which libcurl does
   notice.  A whole response to an earlier request that comes between a request
   and its response is read here, so that libcurl gets the request's own.

   A response is told from one to an earlier request by its id.  So a
   connection carries an id once only: an id that is sent again gets another
   connection.
 */

#ifndef ROUTER_BACKEND_CONNECTIONS_H
#define ROUTER_BACKEND_CONNECTIONS_H

#include <curl/curl.h>
#include <stdbool.h>
#include <stddef.h>

#include "base/inet.h"
#include "fleet/fleet_defs.h"
#include "router/poller.h"
#include "router/response_reader.h"
#include "router/sent_ids.h"
#include "wire/send_watch.h"

typedef struct backend_connections backend_connections_t;
typedef struct backend_connection backend_connection_t;

/* The backend server that a connection was used for last, and the request.  */
typedef struct connection_use
{
  uint64_t boot; /* backend_record_boot of the backend server */
  char backend_id[BACKEND_ID_BYTES];
  char id[RESPONSE_ID_BYTES]; /* of the request; "" for a health check */
  bool is_head;               /* the request's method is HEAD */
  bool is_only_use;           /* the connection gets no other request */
  bool is_upload;             /* backend_connection_check_upload is called */
} connection_use_t;

/* Where bytes that belong to no request were seen.  */
typedef enum
{
  EXTRA_WHILE_IDLE,
  EXTRA_BEFORE_RESPONSE, /* a response to an earlier request */
  EXTRA_AFTER_RESPONSE,  /* together with its end */
} extra_place_t;

/* A request's hold on its connection.  All zero at first.  */
typedef struct connection_user
{
  backend_connection_t *connection; /* NULL: none, or closed */
  uint64_t n_unread; /* of a closed one: bytes that came on it and are not
                        part of what was released; 0: not known */
} connection_user_t;

typedef struct backend_connections_options
{
  poller_t *poller;
  void *closure;
  /* N_BYTES that belong to no request have come on a connection: used last for
     USE, or, for EXTRA_BEFORE_RESPONSE, in use for it.  NULL: none is told.
   */
  void (*extra_bytes) (void *closure, const connection_use_t *use,
                       extra_place_t place, size_t n_bytes);
  /* A request for USE was about to be sent on a connection that may have
     carried its id before, which is unusable then.  NULL: none is told.  */
  void (*id_sent_again) (void *closure, const connection_use_t *use);
} backend_connections_options_t;

backend_connections_t *
backend_connections_new (const backend_connections_options_t *options);
/* All of libcurl's handles must have been freed.  */
void backend_connections_free (backend_connections_t *connections);

/* Let EASY open and close its connections here.  */
void backend_connections_attach (backend_connections_t *connections,
                                 CURL *easy);

/* libcurl wants FD to be watched for WHAT, a CURL_POLL_ value.  */
void backend_connections_watch (backend_connections_t *connections,
                                curl_socket_t fd, int what);

typedef enum
{
  CONNECTION_IS_NEW,
  CONNECTION_IS_KEPT,
  CONNECTION_IS_UNUSABLE, /* bytes wait on it, the peer has closed it, or it
                             may have carried the request's id */
} connection_state_t;

/* A request is about to be sent for USE on the connection from LOCAL_PORT to
   REMOTE.  USER refers to it until it is released or closed.  */
connection_state_t backend_connections_use (backend_connections_t *connections,
                                            const inet_t *remote,
                                            uint16_t local_port,
                                            const connection_use_t *use,
                                            connection_user_t *user);

/* libcurl has returned: what comes from now on is handed to
   backend_connections_ready first.  Until then libcurl, which reads as soon as
   it has sent a request, sees nothing on the kept connections in use.  */
void backend_connections_show (backend_connections_t *connections);

/* USER's request has ended at NOW, with a response of N_READ bytes, or 0 if
   that is not known: the connection is idle, if it is still open.  */
void backend_connections_release (backend_connections_t *connections,
                                  connection_user_t *user, uint64_t n_read,
                                  usec_t now);

/* Shut down the connections that get no other request and on which no more
   bytes are awaited at NOW.  To be called often.  */
void backend_connections_expire (backend_connections_t *connections,
                                 usec_t now);

/* Handle the events READY (POLLER_* bits) on WATCH, as far as libcurl must not
   do it: on an idle connection, and while a response to an earlier request
   comes before that of the present one.  Returns those that are left to
   libcurl.  */
unsigned int backend_connections_ready (backend_connections_t *connections,
                                        watch_t *watch, unsigned int ready);

/* libcurl reads a response on CONNECTION: nothing more is left out there.  */
void backend_connection_response_began (backend_connection_t *connection);

/* The ids of the requests that CONNECTION has carried.  */
const sent_ids_t *
backend_connection_sent_ids (const backend_connection_t *connection);

/* Whether a response to an earlier request came on CONNECTION: it must not be
   used again.  */
bool backend_connection_is_spoilt (const backend_connection_t *connection);

/* How sending an upload on CONNECTION goes on at NOW.  A backend server that
   reads slowly is given time until the next call, which is due after
   SEND_WATCH_SPAN.  */
send_state_t backend_connection_check_upload (backend_connection_t *connection,
                                              usec_t now);

/* All of the upload on CONNECTION has arrived: it needs no further check.  */
void backend_connection_end_upload (backend_connection_t *connection);

/* Free the closed connections.  To be called when no event refers to them any
   more.  */
void backend_connections_sweep (backend_connections_t *connections);

#endif
