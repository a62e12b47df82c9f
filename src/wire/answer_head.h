/* answer_head: follows the lines of a response's head, as libcurl passes them
   to a header callback: where the head ends, and how it delimits the body.

   libcurl reports a response as whole if its connection ends within the head,
   and takes a second status line for a field.  A status line after the head of
   a final response is malformed: it begins no other.  */

#ifndef WIRE_ANSWER_HEAD_H
#define WIRE_ANSWER_HEAD_H

#include <stdbool.h>
#include <stddef.h>

#include "wire/response_framing.h"

typedef enum
{
  HEAD_LINE_STATUS, /* the first line; of an informational response, too */
  HEAD_LINE_FIELD,
  HEAD_LINE_END,     /* the empty line */
  HEAD_LINE_TRAILER, /* after the body */
  HEAD_LINE_MALFORMED,
} head_line_t;

/* All zero at first.  */
typedef struct answer_head
{
  bool is_open;
  bool has_ended;             /* the last one that was begun is whole */
  unsigned int status;        /* of the last one */
  response_framing_t framing; /* of the last one */
} answer_head_t;

/* Follow the next line, LENGTH bytes with its line end.  */
head_line_t answer_head_next (answer_head_t *head, const char *line,
                              size_t length);

/* Whether the head of a final response is whole.  */
bool answer_head_is_final (const answer_head_t *head);

#endif
