/* request_parser: splits what a caller sends on a connection into requests,
   with http_parser.  Pure: no I/O.

   A request that could be read in two ways is an error: two lengths, a length
   beside chunks, a transfer encoding other than "chunked", a folded header
   line, no Host or several.  Such requests could hide a second request.  */

#ifndef ROUTER_REQUEST_PARSER_H
#define ROUTER_REQUEST_PARSER_H

#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  REQUEST_FIELDS_MAX = 128,
  REQUEST_HEAD_BYTES_MAX = 32 * 1024, /* request line and header fields */
};

/* A header field; offsets into the head's text.  */
typedef struct request_field
{
  size_t name;
  size_t value;
} request_field_t;

/* The head of a request; NUL-terminated strings, one after the other.  Zero at
   first; free it with request_head_clear.  */
typedef struct request_head
{
  char *text; /* malloc'd; begins with the target */
  size_t n_bytes;
  size_t n_allocated;
  size_t n_fields;
  size_t n_fields_allocated;
  request_field_t *fields; /* malloc'd */
} request_head_t;

void request_head_clear (request_head_t *head);

/* Path and query, as the caller sent them; "" before the first byte.  */
const char *request_head_target (const request_head_t *head);
/* The value of the first field NAME, or NULL.  */
const char *request_head_field (const request_head_t *head, const char *name);
/* Whether the caller waits for "100 Continue" before it sends the body.  */
bool request_head_expects_continue (const request_head_t *head);
/* The value of the cookie NAME, *LENGTH bytes within a field's value; NULL if
   there is none.  */
const char *request_head_cookie (const request_head_t *head, const char *name,
                                 size_t *length);
const char *request_field_name (const request_head_t *head, size_t i);
const char *request_field_value (const request_head_t *head, size_t i);

typedef enum
{
  REQUEST_MORE,      /* all bytes were read; the request is not whole yet */
  REQUEST_HEAD,      /* the head is whole; the body, if any, follows */
  REQUEST_BODY,      /* DATA holds a part of the body */
  REQUEST_WHOLE,     /* the request has ended */
  REQUEST_BAD,       /* it can't be read; nothing more can be */
  REQUEST_TOO_LARGE, /* the same: its head is too long */
} request_event_t;

typedef struct request_parser
{
  http_parser http;
  request_head_t head; /* of the present request; the user may take it over */
  request_event_t event;
  const char *body; /* valid for REQUEST_BODY */
  size_t body_bytes;
  size_t head_bytes;
  bool is_in_head;
  bool is_in_value;      /* the last header callback was for a value */
  bool is_at_line_start; /* of a line after the request line */
  bool has_head;         /* REQUEST_HEAD was returned for this request */
  bool keeps_alive;      /* the connection may go on after the request */
} request_parser_t;

void request_parser_init (request_parser_t *parser);
void request_parser_clear (request_parser_t *parser);

/* Read from DATA up to the next event; *N_READ is how much was read, which may
   be 0 for an event that was due.  Call it again with the rest.  After
   REQUEST_WHOLE the next request begins, with an empty head.  */
request_event_t request_parser_read (request_parser_t *parser,
                                     const char *data, size_t length,
                                     size_t *n_read);

/* The length of the body that the head announces; 0: none.  Valid at
   REQUEST_HEAD.  */
uint64_t request_parser_body_length (const request_parser_t *parser);

/* Valid from REQUEST_HEAD to the next request.  */
const char *request_parser_method (const request_parser_t *parser);

#endif
