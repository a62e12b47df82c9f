#include "wire/answer_head.h"

#include <string.h>

#include "base/number.h"

enum
{
  STATUS_DIGITS = 3,
  STATUS_MIN = 100,
  STATUS_SWITCHING = 101, /* Switching Protocols, which no request asks for */
  STATUS_FINAL_MIN = 200, /* lower ones are informational */
  STATUS_MAX = 599,
};

static bool
begins_with (const char *line, size_t length, const char *prefix)
{
  size_t n = strlen (prefix);
  return length >= n && memcmp (line, prefix, n) == 0;
}

static bool
is_status_line (const char *line, size_t length)
{
  return begins_with (line, length, "HTTP/");
}

static bool
is_empty_line (const char *line, size_t length)
{
  return length == 1 || (length == 2 && line[0] == '\r');
}

static bool
is_digit (char c)
{
  return c >= '0' && c <= '9';
}

/* Whether TEXT begins as a status line does: "HTTP/1.1 200".  */
static bool
begins_status (const char *text, size_t length)
{
  static const char form[] = "HTTP/0.0 000";
  size_t n = sizeof form - 1;
  if (length < n)
    return false;
  for (size_t i = 0; i < n; i++)
    if (form[i] == '0' ? !is_digit (text[i]) : text[i] != form[i])
      return false;
  return true;
}

/* Whether C may follow the digits of a status.  */
static bool
ends_status (char c)
{
  return c == ' ' || c == '\r' || c == '\n';
}

/* Whether a status line goes on within LINE: another response was cut there,
   and what came before belongs to no request.  */
static bool
holds_status_line (const char *line, size_t length)
{
  for (size_t i = 1; i < length; i++)
    if (line[i] == 'H' && begins_status (line + i, length - i))
      return true;
  return false;
}

/* "HTTP/1.1 200 OK": 200.  False for what is no status line of HTTP/1, and for
   a status that is none (RFC 9110, section 15) or that no request asks for. */
static bool
parse_status (const char *line, size_t length, unsigned int *status)
{
  static const char form[] = "HTTP/1.1 ";
  uint64_t number;
  size_t begin = sizeof form - 1;
  size_t end = begin + STATUS_DIGITS;
  if (end >= length || !begins_status (line, length)
      || !begins_with (line, length, "HTTP/1.") || !ends_status (line[end])
      || number_parse_unsigned_span (&number, line + begin, STATUS_DIGITS,
                                     STATUS_MAX)
             != NUMBER_OK)
    return false;
  *status = (unsigned int)number;
  return number >= STATUS_MIN && number != STATUS_SWITCHING;
}

head_line_t
answer_head_next (answer_head_t *head, const char *line, size_t length)
{
  if (length == 0 || line[length - 1] != '\n')
    return HEAD_LINE_MALFORMED;
  bool is_in_head = head->is_open || is_status_line (line, length);
  if (is_in_head && holds_status_line (line, length))
    return HEAD_LINE_MALFORMED;
  if (is_status_line (line, length))
    {
      if (head->is_open || answer_head_is_final (head))
        return HEAD_LINE_MALFORMED;
      *head = (answer_head_t){ .is_open = true };
      head->framing.is_before_1_1 = begins_with (line, length, "HTTP/1.0 ");
      return parse_status (line, length, &head->status) ? HEAD_LINE_STATUS
                                                        : HEAD_LINE_MALFORMED;
    }
  if (!head->is_open)
    return HEAD_LINE_TRAILER;
  if (!is_empty_line (line, length))
    {
      response_framing_read (&head->framing, line, length);
      return HEAD_LINE_FIELD;
    }
  head->is_open = false;
  head->has_ended = true;
  return HEAD_LINE_END;
}

bool
answer_head_is_final (const answer_head_t *head)
{
  return head->has_ended && head->status >= STATUS_FINAL_MIN;
}
