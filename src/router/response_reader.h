/* response_reader: reads the response of a backend server to one call, as
   libcurl passes it on.  No I/O.  */

#ifndef ROUTER_RESPONSE_READER_H
#define ROUTER_RESPONSE_READER_H

#include <stdbool.h>
#include <stddef.h>

#include "balance/backend_pool.h"
#include "router/body_budget.h"
#include "router/sent_ids.h"
#include "wire/answer_head.h"
#include "wire/chunk_decoder.h"

enum
{
  /* A response beyond one of these limits ends its call: a broken server may
     send a head or a body without end.  */
  RESPONSE_HEADERS_MAX = 128,
  RESPONSE_HEAD_BYTES_MAX = 64 * 1024, /* with informational responses */
  RESPONSE_BYTES_MAX = 16 * 1024 * 1024,
  RESPONSE_ID_BYTES = 128, /* of a request id */
};

typedef struct response_header
{
  char *name; /* allocated with malloc; VALUE points into the same block */
  char *value;
} response_header_t;

/* The result of a call: a response, or the reason why there is none.  */
typedef struct backend_response
{
  bool may_have_reached; /* bytes of the request may have left this VM */
  bool is_complete;      /* the whole response was received, as far as its
                            framing tells */
  bool has_head;         /* its head was received to the end */
  bool was_reused;       /* its connection had served another request */
  bool id_matches;       /* its request id is that of the request */
  bool is_foreign;       /* it has a head, and belongs to another request */
  bool is_signed;        /* it has the backend server's signature */
  bool is_encoded;       /* its Content-Encoding is not "identity" */
  bool not_started;      /* the backend server did not run the request */
  bool timed_out;
  bool was_cut_off;     /* the connection ended after the request was sent and
                           before the response was complete */
  bool was_reconnected; /* a new connection could be made after that */
  bool is_unreachable;  /* no connection, or no new one, could be made */
  bool was_refused;     /* the same, as no process listens there */
  unsigned int status;  /* HTTP status code */
  framing_kind_t framing;   /* valid if has_head */
  bool has_announced;       /* a length of the body, also where none is sent */
  uint64_t announced_bytes; /* of the body; valid if has_announced */
  connection_end_t connection_end; /* at the end of the response */
  body_completeness_t completeness;
  char backend_id[BACKEND_ID_BYTES]; /* from a health check; "": none */
  usec_t cold_remaining; /* from a health check: how long it stays cold */
  backend_load_t load;
  bool is_leaving; /* the backend server says that it leaves */
  usec_t rest;     /* from Retry-After: how long it wants nothing; 0: none */
  limit_statement_t limit;
  size_t n_invalid_notices; /* of these three, not understood and ignored */
  size_t n_headers;
  response_header_t headers[RESPONSE_HEADERS_MAX]; /* to be forwarded */
  char *body; /* allocated with malloc; NULL if it is empty */
  size_t body_bytes;
  size_t held_bytes;     /* of BUDGET; the size of the body's buffer */
  body_kind_t held_kind; /* valid if held_bytes is not 0 */
  body_budget_t *budget; /* borrowed; NULL: held_bytes is 0 */
  const char *error;     /* libcurl's text for the result */
} backend_response_t;

/* Free what RESPONSE holds and set it to zero.  */
void backend_response_clear (backend_response_t *response);

/* A field that counts only if it stands in the head once, or always with the
   same value.  */
typedef struct notice_field
{
  bool is_present;
  bool is_invalid;
  int64_t value;
} notice_field_t;

/* Zero at first, but for `id` and `budget`.  */
typedef struct response_reader
{
  char id[RESPONSE_ID_BYTES]; /* of the request; "" for a health check */
  bool is_head_request;
  body_budget_t *budget;
  size_t head_bytes; /* received, with informational responses */
  answer_head_t head;
  chunk_decoder_t chunks; /* of a body in chunks */
  bool has_id;            /* the response has a request id */
  /* Of the requests that its connection has carried; NULL: not known.  Valid
     as long as the connection is open.  */
  const sent_ids_t *earlier_ids;
  bool is_of_earlier; /* of a health check: it has one of these ids */
  notice_field_t leaving;
  notice_field_t retry_after;
  notice_field_t limit; /* thousandths of a request a second */
  backend_response_t response;
} response_reader_t;

/* Read the next line of the head, LENGTH bytes.  Returns false if the call has
   to end.  */
bool response_reader_head (response_reader_t *reader, const char *data,
                           size_t length);

typedef enum
{
  BODY_READ,
  BODY_MUST_WAIT, /* for room in the budget; nothing was read */
  BODY_REJECTED,  /* the call has to end */
} body_result_t;

/* Read the next LENGTH bytes of the body, as they were sent.  */
body_result_t response_reader_body (response_reader_t *reader,
                                    const char *data, size_t length);

/* Whether the response belongs to another request.  What follows it on its
   connection can't be told apart either, so that is not to be used again.  */
bool response_reader_is_foreign (const response_reader_t *reader);

/* The response has ended, as END tells of its connection: set how it was
   framed and whether it is whole, and keep no more memory than its body needs.
 */
void response_reader_finish (response_reader_t *reader, connection_end_t end);

#endif
