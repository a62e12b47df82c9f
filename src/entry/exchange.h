/* exchange: one caller's HTTP request to an entry VM and its outcome.

   The caller port fills in the request and submits the exchange to the
   dispatcher, which sets the outcome and returns the exchange once.  The
   dispatcher may still need the request after that, so its fields stay
   unchanged; the caller port and the dispatcher hold a reference each.  */

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

/* What the caller learns about its request.  */
typedef enum
{
  EXCHANGE_ANSWER,  /* the complete answer to this request */
  EXCHANGE_NOT_RUN, /* the request did not run and will not */
  EXCHANGE_UNKNOWN, /* it may have run, and may still run */
} exchange_outcome_t;

typedef struct exchange
{
  atomic_int references;
  struct MHD_Connection *connection;
  int caller_fd;      /* -1: none */
  usec_t received_at; /* monotonic */
  char method[EXCHANGE_METHOD_BYTES];
  char target[EXCHANGE_TARGET_BYTES]; /* path and query as received */
  char caller_id[EXCHANGE_HEADER_BYTES];
  char ticket[EXCHANGE_HEADER_BYTES];
  ticket_t parsed_ticket; /* generation 0: none */
  bool is_hop;            /* another entry VM forwarded it */
  char content_type[EXCHANGE_HEADER_BYTES];
  char tenant[EXCHANGE_HEADER_BYTES]; /* "": none given */
  service_id_t service;
  const char *service_path; /* within `target`, after the service's name */
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
  usec_t run_time; /* at the backend server, for the answer */
  err_t error;     /* set where there is no answer */
  request_reason_t reason;
  uint32_t generation; /* of the ticket that is used up; 0: none */
} exchange_t;

/* With one reference.  */
exchange_t *exchange_new (void);

void exchange_ref (exchange_t *exchange);

/* Drop one reference; the last one releases the exchange.  */
void exchange_free (exchange_t *exchange);

/* Whether the request may run twice: GET and HEAD only.  */
bool exchange_is_idempotent (const exchange_t *exchange);

/* Append LENGTH bytes to the body.  Data that would make it longer than LIMIT
   bytes is dropped and sets `is_body_too_long`.  */
void exchange_add_body (exchange_t *exchange, const char *data, size_t length,
                        size_t limit);

/* The value of X-Mulberry-Outcome; a static text.  */
const char *exchange_outcome_name (exchange_outcome_t outcome);

#endif
