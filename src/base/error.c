#include "base/error.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

bool
err_set (err_t *err, err_kind_t kind, const char *remedy, const char *format,
         ...)
{
  if (!err)
    return false;
  err->kind = kind;
  va_list args;
  va_start (args, format);
  vsnprintf (err->message, sizeof err->message, format, args);
  va_end (args);
  snprintf (err->remedy, sizeof err->remedy, "%s", remedy);
  return false;
}

bool
err_prefix (err_t *err, const char *format, ...)
{
  if (!err)
    return false;
  char message[ERR_MESSAGE_BYTES];
  va_list args;
  va_start (args, format);
  int used = vsnprintf (message, sizeof message, format, args);
  va_end (args);
  if (used < 0)
    return false;
  strncat (message, ": ", sizeof message - strlen (message) - 1);
  strncat (message, err->message, sizeof message - strlen (message) - 1);
  memcpy (err->message, message, sizeof message);
  return false;
}

const char *
err_kind_name (err_kind_t kind)
{
  switch (kind)
    {
    case ERR_NONE:
      return "none";
    case ERR_USAGE:
      return "usage";
    case ERR_SETTINGS:
      return "settings";
    case ERR_SHEET:
      return "sheet";
    case ERR_AUTH:
      return "auth";
    case ERR_PROTOCOL:
      return "protocol";
    case ERR_LIMIT:
      return "limit";
    case ERR_CONFLICT:
      return "conflict";
    case ERR_STALE:
      return "stale";
    case ERR_UNAVAILABLE:
      return "unavailable";
    case ERR_TIMEOUT:
      return "timeout";
    case ERR_STORAGE:
      return "storage";
    case ERR_NO_SPACE:
      return "no_space";
    case ERR_IO:
      return "io";
    case ERR_INTERNAL:
      return "internal";
    }
  return "unknown";
}
