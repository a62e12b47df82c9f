/* response_framing: how a response delimits its body (RFC 9112, section 6.3),
   and whether the body was received to its end.  Pure.

   The fields are read strictly, since libcurl is lenient: it takes "450, 900"
   and "450x" for a length of 450, and a length that is too large, or a blank
   before the colon, for no length.  */

#ifndef WIRE_RESPONSE_FRAMING_H
#define WIRE_RESPONSE_FRAMING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum
{
  FRAMING_NO_BODY, /* by the method or the status */
  FRAMING_LENGTH,
  FRAMING_CHUNKS,
  FRAMING_UNTIL_CLOSE, /* the body ends with its connection */
  FRAMING_INVALID,     /* its fields can't be read, or contradict each other */
} framing_kind_t;

/* How the connection of a response ended, as far as this process saw it.  */
typedef enum
{
  CONNECTION_KEPT,      /* not yet: the response ended before */
  CONNECTION_CLOSED,    /* in the ordinary way */
  CONNECTION_RESET,     /* by the other end, or the network failed */
  CONNECTION_LOST,      /* a kept one, closed or reset before a byte of the
                           response came */
  CONNECTION_MALFORMED, /* libcurl can't read what was received, or has
                           another error */
  CONNECTION_TIMED_OUT,
  CONNECTION_REJECTED, /* by this process, for what was received */
  CONNECTION_NONE,     /* none was made */
} connection_end_t;

typedef enum
{
  BODY_TRUNCATED,  /* not received to its end, or that can't be told */
  BODY_END_UNSURE, /* all that was sent before an ordinary close; whether the
                      server had more to send can't be told */
  BODY_WHOLE,
} body_completeness_t;

/* Of one response.  All zero at first, and before the response that follows
   an informational one.  */
typedef struct response_framing
{
  bool has_length;
  bool is_chunked;
  bool is_invalid;
  bool is_delimiting; /* the last field is one of those that are read here */
  bool is_before_1_1; /* the version of the response, which has no chunks */
  uint64_t length;    /* in bytes; valid if has_length and not is_invalid */
} response_framing_t;

/* Read LINE, a field line of the head of LENGTH bytes.  */
void response_framing_read (response_framing_t *framing, const char *line,
                            size_t length);

/* The kind of framing of a response with STATUS, once its head has ended.
   IS_HEAD: the request's method is HEAD.  */
framing_kind_t response_framing_kind (const response_framing_t *framing,
                                      bool is_head, unsigned int status);

/* Whether the body is whole if N_READ bytes were received, without the framing
   of chunks, before the connection ended as END tells.  Of a body in
   chunks this holds only if its end was read (see wire/chunk_decoder).  */
body_completeness_t
response_framing_completeness (const response_framing_t *framing,
                               framing_kind_t kind, uint64_t n_read,
                               connection_end_t end);

/* Names for logs and metrics, such as "length" and "closed".  */
const char *framing_kind_name (framing_kind_t kind);
const char *connection_end_name (connection_end_t end);

#endif
