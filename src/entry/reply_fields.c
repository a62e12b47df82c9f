#include "entry/reply_fields.h"

#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "base/number.h"

enum
{
  LINE_BYTES = 512,
};

/* The value of the header NAME in LINE; NULL where LINE is another header.  */
static const char *
header_value (const char *line, const char *name)
{
  size_t length = strlen (name);
  if (strncasecmp (line, name, length) != 0 || line[length] != ':')
    return NULL;
  line += length + 1;
  return line + strspn (line, " \t");
}

static void
copy_text (char text[BACKEND_HEADER_VALUE_BYTES], const char *value)
{
  snprintf (text, BACKEND_HEADER_VALUE_BYTES, "%.*s",
            BACKEND_HEADER_VALUE_BYTES - 1, value);
}

/* The number VALUE, of at most MAX; 0 if it is none.  */
static uint64_t
unsigned_value (const char *value, uint64_t max)
{
  uint64_t number = 0;
  number_parse_unsigned (&number, value, max);
  return number;
}

/* A value beside another one that differs tells nothing.  */
static void
parse_id (reply_fields_t *fields, backend_reply_t *reply, const char *value)
{
  bool is_equal = strcmp (value, fields->id) == 0;
  reply->id_matches = is_equal && (!fields->has_id || reply->id_matches);
  fields->has_id = true;
}

static void
parse_not_started (reply_fields_t *fields, backend_reply_t *reply,
                   const char *value)
{
  bool is_stated = strcmp (value, "1") == 0;
  reply->not_started
      = is_stated && (!fields->has_not_started || reply->not_started);
  fields->has_not_started = true;
}

static void
parse_outcome (reply_fields_t *fields, backend_reply_t *reply,
               const char *value)
{
  if (!fields->has_outcome)
    copy_text (reply->outcome, value);
  else if (strcmp (value, reply->outcome) != 0)
    reply->outcome[0] = '\0';
  fields->has_outcome = true;
}

void
reply_fields_parse (reply_fields_t *fields, backend_reply_t *reply,
                    const char *data, size_t length)
{
  char line[LINE_BYTES];
  if (length >= sizeof line)
    return;
  memcpy (line, data, length);
  line[length] = '\0';
  line[strcspn (line, "\r\n")] = '\0';
  const char *value;
  if ((value = header_value (line, "X-Request-Id")))
    parse_id (fields, reply, value);
  else if ((value = header_value (line, "X-Not-Started")))
    parse_not_started (fields, reply, value);
  else if ((value = header_value (line, "Content-Type")))
    copy_text (reply->content_type, value);
  else if ((value = header_value (line, "X-Mulberry-Outcome")))
    parse_outcome (fields, reply, value);
  else if ((value = header_value (line, "X-Mulberry-Reason")))
    copy_text (reply->reason, value);
  else if ((value = header_value (line, "X-Mulberry-Generation")))
    reply->generation = (uint32_t)unsigned_value (value, UINT32_MAX);
  else if ((value = header_value (line, "X-Mulberry-Run-Us")))
    reply->run_time = (usec_t)unsigned_value (value, INT64_MAX);
}

void
reply_fields_reset (reply_fields_t *fields, backend_reply_t *reply)
{
  fields->has_id = false;
  fields->has_not_started = false;
  fields->has_outcome = false;
  reply->id_matches = false;
  reply->not_started = false;
  reply->content_type[0] = '\0';
  reply->outcome[0] = '\0';
  reply->reason[0] = '\0';
  reply->generation = 0;
  reply->run_time = 0;
}
