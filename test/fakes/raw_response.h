/* raw_response: the responses of fake-raw-backend.  */

#ifndef TEST_FAKES_RAW_RESPONSE_H
#define TEST_FAKES_RAW_RESPONSE_H

#include <stdbool.h>
#include <stddef.h>

enum
{
  BODY_BYTES = 900,
  LARGE_BYTES = 2 * 1024 * 1024,
  HUGE_BYTES = 12 * 1024 * 1024, /* more than sockets buffer */
  PART_BYTES = 450,
};

typedef enum
{
  ENDS_KEPT,
  ENDS_CLOSED,
  ENDS_RESET,
} ending_t;

/* STATUS and VERSION are the status line's, NULL: "200 OK" and "1.1".  FIELDS
   follow the usual ones; N_SENT bytes of the body follow the head, in chunks
   of CHUNK_BYTES (0: in one) if IS_CHUNKED, with the last chunk and the
   TRAILERS if ENDING is ENDS_KEPT.  SIZE, unless NULL, is the size line of the
   chunk.  TEXT, unless NULL, comes in place of the body.  NEXT, unless NULL,
   names the response to a request that came before.  PAUSE_MSEC pass between
   the request's last byte and the response, LINGER_MSEC between that and its
   connection's end.  Of a silent one nothing is sent but the end.  If
   COPY_MSEC isn't 0, the response is sent once more that much later, on the
   same connection.  */
typedef struct raw_response
{
  const char *name;
  const char *fields;
  size_t n_sent;
  ending_t ending;
  bool is_chunked;
  bool is_silent;
  bool is_refusal;        /* the request is not run */
  bool is_refused_by_odd; /* servers at odd ports refuse the request */
  const char *status;
  const char *version;
  const char *size;
  size_t chunk_bytes;
  const char *trailers;
  const char *text;
  const char *next;
  unsigned int pause_msec;
  unsigned int linger_msec;
  unsigned int copy_msec;
} raw_response_t;

/* The response with this NAME; the first one if there is none.  */
const raw_response_t *raw_response_find (const char *name);

#endif
