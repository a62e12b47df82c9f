/* backend_connections_internal: the connections that backend_connections
   watches, found by their sockets and by their ends.  */

#ifndef ROUTER_BACKEND_CONNECTIONS_INTERNAL_H
#define ROUTER_BACKEND_CONNECTIONS_INTERNAL_H

#include "base/list.h"
#include "router/backend_connections.h"
#include "router/sent_ids.h"

enum
{
  BUCKETS = 256, /* by local port */
};

struct backend_connection
{
  list_t link; /* in a bucket once a request was sent, or in `closed` */
  watch_t watch;
  bool is_watched;
  bool has_ended;        /* it was shut down here */
  bool had_head_request; /* the length of its responses does not tell */
  bool may_be_foreign;   /* what comes next may answer an earlier request */
  bool is_spoilt;        /* such a response has come */
  uint64_t n_foreign;    /* bytes of it that are still to be read */
  unsigned int n_foreign_responses; /* that have come */
  uint64_t foreign_bytes;           /* of them all */
  inet_t remote;
  uint16_t local_port; /* 0: no request was sent yet */
  connection_use_t last;
  sent_ids_t sent_ids; /* of the requests that it has carried */
  list_t hidden_link;  /* in `hidden` */
  list_t retired_link; /* in `retired` */
  usec_t retired_at;
  bool is_counted;         /* all that was read on it is in n_read */
  uint64_t n_read;         /* bytes of responses */
  connection_user_t *user; /* NULL: idle */
  send_watch_t send_watch; /* of an upload; held: no other request follows */
};

struct backend_connections
{
  backend_connections_options_t options;
  list_t buckets[BUCKETS];
  list_t unused;  /* connections on which no request was sent yet */
  list_t hidden;  /* whose bytes libcurl does not see */
  list_t retired; /* idle ones that get no other request, by retired_at */
  list_t closed;  /* to be freed */
  size_t n_sockets;
  backend_connection_t **by_socket; /* malloc'd; index: file descriptor */
};

/* The connection of the socket FD; NULL: none.  */
backend_connection_t *
connection_table_find (const backend_connections_t *connections, int fd);

/* A new connection, of the socket FD, on which no request was sent yet.  */
backend_connection_t *connection_table_add (backend_connections_t *connections,
                                            int fd);

/* The socket of CONNECTION was closed.  */
void connection_table_forget (backend_connections_t *connections,
                              backend_connection_t *connection);

/* The connection from LOCAL_PORT to REMOTE on which a request was sent before;
   NULL: none.  */
backend_connection_t *
connection_table_find_used (backend_connections_t *connections,
                            const inet_t *remote, uint16_t local_port);

/* The same, of those on which none was sent yet.  */
backend_connection_t *
connection_table_find_unused (backend_connections_t *connections,
                              const inet_t *remote, uint16_t local_port);

/* The first request is sent on CONNECTION, from LOCAL_PORT to REMOTE.  */
void connection_table_use (backend_connections_t *connections,
                           backend_connection_t *connection,
                           const inet_t *remote, uint16_t local_port);

void connection_table_init (backend_connections_t *connections);

/* Forget all connections.  */
void connection_table_clear (backend_connections_t *connections);

#endif
