#include "wire/answer_head.h"

#include <string.h>

static bool
is_status_line (const char *line, size_t length)
{
  static const char prefix[] = "HTTP/";
  size_t n = sizeof prefix - 1;
  return length >= n && memcmp (line, prefix, n) == 0;
}

static bool
is_empty_line (const char *line, size_t length)
{
  return length == 1 || (length == 2 && line[0] == '\r');
}

head_line_t
answer_head_next (answer_head_t *head, const char *line, size_t length)
{
  if (length == 0 || line[length - 1] != '\n')
    return HEAD_LINE_MALFORMED;
  if (is_status_line (line, length))
    {
      if (head->is_open)
        return HEAD_LINE_MALFORMED;
      *head = (answer_head_t){ .is_open = true };
      return HEAD_LINE_STATUS;
    }
  if (!head->is_open)
    return HEAD_LINE_TRAILER;
  if (!is_empty_line (line, length))
    return HEAD_LINE_FIELD;
  *head = (answer_head_t){ .has_ended = true };
  return HEAD_LINE_END;
}
