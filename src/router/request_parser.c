#include "router/request_parser.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* --- The head ----------------------------------------------------------- */

void
request_head_clear (request_head_t *head)
{
  free (head->text);
  free (head->fields);
  *head = (request_head_t){ 0 };
}

static void
append_text (request_head_t *head, const char *data, size_t length)
{
  size_t needed = head->n_bytes + length;
  if (needed > head->n_allocated)
    {
      head->n_allocated = 2 * needed + 256;
      head->text = realloc (head->text, head->n_allocated);
      if (!head->text)
        abort ();
    }
  if (length > 0)
    memcpy (head->text + head->n_bytes, data, length);
  head->n_bytes += length;
}

static void
end_text (request_head_t *head)
{
  append_text (head, "", 1);
}

static void
begin_field (request_head_t *head)
{
  if (head->n_fields == head->n_fields_allocated)
    {
      head->n_fields_allocated = 2 * head->n_fields_allocated + 16;
      head->fields = realloc (head->fields,
                              head->n_fields_allocated * sizeof *head->fields);
      if (!head->fields)
        abort ();
    }
  head->fields[head->n_fields++] = (request_field_t){ .name = head->n_bytes };
}

const char *
request_head_target (const request_head_t *head)
{
  return head->text ? head->text : "";
}

const char *
request_field_name (const request_head_t *head, size_t i)
{
  return head->text + head->fields[i].name;
}

const char *
request_field_value (const request_head_t *head, size_t i)
{
  return head->text + head->fields[i].value;
}

const char *
request_head_field (const request_head_t *head, const char *name)
{
  for (size_t i = 0; i < head->n_fields; i++)
    if (strcasecmp (request_field_name (head, i), name) == 0)
      return request_field_value (head, i);
  return NULL;
}

bool
request_head_expects_continue (const request_head_t *head)
{
  const char *value = request_head_field (head, "Expect");
  return value && strcasecmp (value, "100-continue") == 0;
}

/* The value of the cookie NAME in the header value LIST, or NULL.  */
static const char *
find_cookie (const char *list, const char *name, size_t *length)
{
  size_t name_length = strlen (name);
  while (*list)
    {
      list += strspn (list, " \t;");
      size_t pair_length = strcspn (list, ";");
      if (pair_length > name_length && list[name_length] == '='
          && strncmp (list, name, name_length) == 0)
        {
          const char *value = list + name_length + 1;
          *length = pair_length - name_length - 1;
          while (*length > 0 && value[*length - 1] == ' ')
            --*length;
          return value;
        }
      list += pair_length;
    }
  return NULL;
}

const char *
request_head_cookie (const request_head_t *head, const char *name,
                     size_t *length)
{
  for (size_t i = 0; i < head->n_fields; i++)
    {
      if (strcasecmp (request_field_name (head, i), "Cookie") != 0)
        continue;
      const char *value
          = find_cookie (request_field_value (head, i), name, length);
      if (value)
        return value;
    }
  return NULL;
}

/* --- Callbacks of http_parser ------------------------------------------- */

static int
on_url (http_parser *http, const char *data, size_t length)
{
  request_parser_t *parser = http->data;
  append_text (&parser->head, data, length);
  return 0;
}

static int
on_field (http_parser *http, const char *data, size_t length)
{
  request_parser_t *parser = http->data;
  request_head_t *head = &parser->head;
  if (!parser->is_in_head)
    return 0; /* a trailer: ignored */
  if (parser->is_in_value || head->n_fields == 0)
    {
      if (head->n_fields == REQUEST_FIELDS_MAX)
        {
          parser->event = REQUEST_TOO_LARGE;
          return 1;
        }
      end_text (head); /* of the target, or of the last value */
      begin_field (head);
    }
  parser->is_in_value = false;
  append_text (head, data, length);
  return 0;
}

static int
on_value (http_parser *http, const char *data, size_t length)
{
  request_parser_t *parser = http->data;
  request_head_t *head = &parser->head;
  if (!parser->is_in_head)
    return 0;
  if (!parser->is_in_value)
    {
      end_text (head);
      head->fields[head->n_fields - 1].value = head->n_bytes;
    }
  parser->is_in_value = true;
  append_text (head, data, length);
  return 0;
}

/* Remove spaces at the end of the values.  */
static void
trim_values (request_head_t *head)
{
  for (size_t i = 0; i < head->n_fields; i++)
    {
      char *value = head->text + head->fields[i].value;
      size_t length = strlen (value);
      while (length > 0
             && (value[length - 1] == ' ' || value[length - 1] == '\t'))
        value[--length] = '\0';
    }
}

/* Whether the request can be read in one way only.  */
static bool
is_unambiguous (const request_head_t *head)
{
  unsigned int n_hosts = 0;
  unsigned int n_framings = 0;
  for (size_t i = 0; i < head->n_fields; i++)
    {
      const char *name = request_field_name (head, i);
      const char *value = request_field_value (head, i);
      if (name[strcspn (name, " \t")] != '\0')
        return false;
      if (strcasecmp (name, "Host") == 0)
        n_hosts++;
      if (strcasecmp (name, "Content-Length") == 0)
        {
          n_framings++;
          if (!*value || value[strspn (value, "0123456789")] != '\0')
            return false;
        }
      if (strcasecmp (name, "Transfer-Encoding") == 0)
        {
          n_framings++;
          if (strcasecmp (value, "chunked") != 0)
            return false;
        }
    }
  return n_hosts == 1 && n_framings <= 1;
}

static int
on_head_complete (http_parser *http)
{
  request_parser_t *parser = http->data;
  end_text (&parser->head);
  trim_values (&parser->head);
  parser->is_in_head = false;
  parser->has_head = true;
  parser->event = REQUEST_HEAD;
  http->upgrade = 0; /* an upgrade is not offered: the request goes on */
  if (!is_unambiguous (&parser->head) || http->http_major != 1)
    {
      parser->event = REQUEST_BAD;
      return -1;
    }
  parser->keeps_alive = http->http_minor > 0 && http_should_keep_alive (http);
  http_parser_pause (http, 1);
  return 0;
}

static int
on_body (http_parser *http, const char *data, size_t length)
{
  request_parser_t *parser = http->data;
  parser->event = REQUEST_BODY;
  parser->body = data;
  parser->body_bytes = length;
  http_parser_pause (http, 1);
  return 0;
}

static int
on_complete (http_parser *http)
{
  request_parser_t *parser = http->data;
  parser->event = REQUEST_WHOLE;
  http_parser_pause (http, 1);
  return 0;
}

static const http_parser_settings callbacks = {
  .on_url = on_url,
  .on_header_field = on_field,
  .on_header_value = on_value,
  .on_headers_complete = on_head_complete,
  .on_body = on_body,
  .on_message_complete = on_complete,
};

/* --- Reading ------------------------------------------------------------ */

void
request_parser_init (request_parser_t *parser)
{
  *parser = (request_parser_t){ .is_in_head = true };
  http_parser_init (&parser->http, HTTP_REQUEST);
  parser->http.data = parser;
}

void
request_parser_clear (request_parser_t *parser)
{
  request_head_clear (&parser->head);
}

/* The next request begins.  */
static void
restart (request_parser_t *parser)
{
  request_parser_clear (parser);
  request_parser_init (parser);
}

/* How much of DATA to pass to http_parser at once: in the head, up to the end
   of a line.  */
static size_t
next_piece (const request_parser_t *parser, const char *data, size_t length)
{
  const char *end = parser->is_in_head ? memchr (data, '\n', length) : NULL;
  return end ? (size_t)(end - data) + 1 : length;
}

/* Whether the line that begins with DATA continues the header field before
   it.  */
static bool
is_folded (const request_parser_t *parser, const char *data)
{
  return parser->is_in_head && parser->is_at_line_start
         && (*data == ' ' || *data == '\t');
}

static request_event_t
fail (request_parser_t *parser, request_event_t event)
{
  if (parser->event != REQUEST_TOO_LARGE)
    parser->event = event;
  parser->keeps_alive = false;
  return parser->event;
}

static bool
has_failed (const request_parser_t *parser)
{
  return parser->event == REQUEST_BAD || parser->event == REQUEST_TOO_LARGE;
}

/* Pass a piece of DATA on; an event may be due after it.  */
static size_t
read_piece (request_parser_t *parser, const char *data, size_t length)
{
  size_t piece = next_piece (parser, data, length);
  bool was_in_head = parser->is_in_head;
  http_parser_pause (&parser->http, 0);
  parser->event = REQUEST_MORE;
  size_t n = http_parser_execute (&parser->http, &callbacks, data, piece);
  if (was_in_head)
    {
      parser->head_bytes += n;
      /* Empty lines before the request line don't count.  */
      if (n > 0 && parser->head.n_bytes > 0)
        parser->is_at_line_start = data[n - 1] == '\n';
    }
  return n;
}

request_event_t
request_parser_read (request_parser_t *parser, const char *data, size_t length,
                     size_t *n_read)
{
  *n_read = 0;
  if (has_failed (parser))
    return parser->event;
  if (parser->event == REQUEST_WHOLE)
    restart (parser);
  while (*n_read < length)
    {
      if (is_folded (parser, data + *n_read))
        return fail (parser, REQUEST_BAD);
      *n_read += read_piece (parser, data + *n_read, length - *n_read);
      enum http_errno error = HTTP_PARSER_ERRNO (&parser->http);
      if (has_failed (parser) || (error != HPE_OK && error != HPE_PAUSED))
        return fail (parser, REQUEST_BAD);
      if (parser->is_in_head && parser->head_bytes > REQUEST_HEAD_BYTES_MAX)
        return fail (parser, REQUEST_TOO_LARGE);
      if (parser->event != REQUEST_MORE)
        return parser->event;
    }
  return REQUEST_MORE;
}

uint64_t
request_parser_body_length (const request_parser_t *parser)
{
  uint64_t length = parser->http.content_length;
  return length == UINT64_MAX ? 0 : length; /* http_parser's "not known" */
}

const char *
request_parser_method (const request_parser_t *parser)
{
  return http_method_str ((enum http_method)parser->http.method);
}
