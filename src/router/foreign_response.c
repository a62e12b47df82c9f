#include "router/foreign_response.h"

#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "platform_api.h"
#include "router/response_reader.h"
#include "wire/answer_head.h"

typedef enum
{
  ID_NONE,
  ID_OTHER,
  ID_OWN,
} id_kind_t;

static bool
is_blank (char c)
{
  return c == ' ' || c == '\t';
}

/* Whether the connection may have carried the id that is the LENGTH bytes of
   ID.  */
static bool
may_have_carried (const sent_ids_t *sent, const char *id, size_t length)
{
  char text[RESPONSE_ID_BYTES];
  snprintf (text, sizeof text, "%.*s", (int)length, id);
  return sent_ids_may_contain (sent, text);
}

/* What LINE, a field line of LENGTH bytes, tells of the response's request.
   As for response_reader, an id ends at a null byte or a carriage return.  */
static id_kind_t
read_id (const char *line, size_t length, const char *id,
         const sent_ids_t *sent)
{
  static const char name[] = HEADER_REQUEST_ID ":";
  size_t begin = sizeof name - 1;
  if (length < begin || strncasecmp (line, name, begin) != 0)
    return ID_NONE;
  while (begin < length && is_blank (line[begin]))
    begin++;
  size_t end = begin;
  while (end < length && line[end] && line[end] != '\r' && line[end] != '\n')
    end++;
  while (end > begin && is_blank (line[end - 1]))
    end--;
  size_t id_length = end - begin;
  if (!id[0])
    return may_have_carried (sent, line + begin, id_length) ? ID_OTHER
                                                            : ID_NONE;
  bool is_own
      = id_length == strlen (id) && memcmp (line + begin, id, id_length) == 0;
  return is_own ? ID_OWN : ID_OTHER;
}

/* The bytes of the response with HEAD, which took HEAD_BYTES; 0 if its end
   can't be known.  */
static uint64_t
whole_bytes (const answer_head_t *head, size_t head_bytes)
{
  if (!answer_head_is_final (head))
    return 0;
  switch (response_framing_kind (&head->framing, false, head->status))
    {
    case FRAMING_NO_BODY:
      return head_bytes;
    case FRAMING_LENGTH:
      return head->framing.length <= RESPONSE_BYTES_MAX
                 ? head_bytes + head->framing.length
                 : 0;
    case FRAMING_CHUNKS:
    case FRAMING_UNTIL_CLOSE:
    case FRAMING_INVALID:
      break;
    }
  return 0;
}

uint64_t
foreign_response_bytes (const char *data, size_t length, const char *id,
                        const sent_ids_t *sent)
{
  answer_head_t head = { 0 };
  bool is_foreign = false;
  size_t used = 0;
  while (used < length)
    {
      const char *line = data + used;
      const char *end = memchr (line, '\n', length - used);
      if (!end)
        return 0;
      size_t n = (size_t)(end - line) + 1;
      used += n;
      switch (answer_head_next (&head, line, n))
        {
        case HEAD_LINE_STATUS:
          break;
        case HEAD_LINE_FIELD:
          switch (read_id (line, n, id, sent))
            {
            case ID_OWN:
              return 0;
            case ID_OTHER:
              is_foreign = true;
              break;
            case ID_NONE:
              break;
            }
          break;
        case HEAD_LINE_END:
          return is_foreign ? whole_bytes (&head, used) : 0;
        case HEAD_LINE_TRAILER:
        case HEAD_LINE_MALFORMED:
          return 0;
        }
    }
  return 0;
}
