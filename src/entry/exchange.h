/* exchange: one caller's request on its way through an entry VM.

   The caller port fills it in and hands it to the dispatcher, which sets its
   outcome and hands it back once.  What the request says stays unchanged, as
   the dispatcher may still need it; each holds a reference.  */

#ifndef ENTRY_EXCHANGE_H
#define ENTRY_EXCHANGE_H

#include <microhttpd.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>

#include "base/error.h"
#include "base/time_defs.h"
#include "delivery/request_defs.h"
#include "placement/topology_defs.h"

enum
{
  EXCHANGE_METHOD_BYTES = 8,
  EXCHANGE_TARGET_BYTES = 2048,
  EXCHANGE_HEADER_BYTES = 256,
};

/* What the caller is told.  */
typedef enum
{
  EXCHANGE_ANSWER,  /* the whole answer to this very request */
  EXCHANGE_NOT_RUN, /* the request did not run and will not */
  EXCHANGE_UNKNOWN, /* it may have run */
} exchange_outcome_t;

typedef struct exchange
{
  atomic_int references;
  struct MHD_Connection *connection;
  int caller_fd;
  usec_t received_at; /* monotonic */
  char method[EXCHANGE_METHOD_BYTES];
  char target[EXCHANGE_TARGET_BYTES]; /* path and query as they came */
  char caller_id[EXCHANGE_HEADER_BYTES];
  char ticket[EXCHANGE_HEADER_BYTES];
  ticket_t parsed_ticket; /* generation 0: none */
  bool is_hop;            /* another entry VM forwarded it */
  char content_type[EXCHANGE_HEADER_BYTES];
  char tenant[EXCHANGE_HEADER_BYTES]; /* "": none named */
  service_id_t service;
  const char *service_path; /* inside TARGET, after the service's name */
  usec_t deadline;          /* monotonic */
  char *body;
  size_t body_bytes;
  bool is_body_too_long;
  bool headers_received;
  bool has_outcome;

  exchange_outcome_t outcome;
  unsigned int status;
  char answer_content_type[EXCHANGE_HEADER_BYTES];
  char *answer;
  size_t answer_bytes;
  usec_t run_time; /* of the backend server, for the answer */
  err_t error;     /* where there is no answer */
  request_reason_t reason;
  uint32_t generation; /* of the ticket that is dead; 0 for none */
} exchange_t;

/* With one reference.  */
exchange_t *exchange_new (void);

void exchange_ref (exchange_t *exchange);

/* Give one reference back; the last one releases it.  */
void exchange_free (exchange_t *exchange);

/* GET and HEAD alone may run twice.  */
bool exchange_is_idempotent (const exchange_t *exchange);

/* Append to the body; past LIMIT it is only marked as too long.  */
void exchange_add_body (exchange_t *exchange, const char *data, size_t length,
                        size_t limit);

const char *exchange_outcome_name (exchange_outcome_t outcome);

#endif
