#include "wire/http_reply.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

enum MHD_Result
http_reply_text (struct MHD_Connection *connection, unsigned int status,
                 const char *type, const char *text, size_t length)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      length, (void *)text, MHD_RESPMEM_MUST_COPY);
  if (!response)
    return MHD_NO;
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE, type);
  enum MHD_Result result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

unsigned int
http_reply_status (err_kind_t kind)
{
  switch (kind)
    {
    case ERR_NONE:
      return MHD_HTTP_OK;
    case ERR_USAGE:
    case ERR_SETTINGS:
    case ERR_PROTOCOL:
      return MHD_HTTP_BAD_REQUEST;
    case ERR_SHEET:
      return MHD_HTTP_UNPROCESSABLE_CONTENT;
    case ERR_AUTH:
      return MHD_HTTP_UNAUTHORIZED;
    case ERR_LIMIT:
      return MHD_HTTP_CONTENT_TOO_LARGE;
    case ERR_CONFLICT:
    case ERR_STALE:
      return MHD_HTTP_CONFLICT;
    case ERR_UNAVAILABLE:
    case ERR_STORAGE:
    case ERR_NO_SPACE:
    case ERR_IO:
      return MHD_HTTP_SERVICE_UNAVAILABLE;
    case ERR_TIMEOUT:
      return MHD_HTTP_GATEWAY_TIMEOUT;
    case ERR_INTERNAL:
      return MHD_HTTP_INTERNAL_SERVER_ERROR;
    }
  return MHD_HTTP_INTERNAL_SERVER_ERROR;
}

enum MHD_Result
http_reply_error (struct MHD_Connection *connection, const err_t *err)
{
  json_t *json = json_pack ("{s:{s:s,s:s,s:s}}", "error", "kind",
                            err_kind_name (err->kind), "message", err->message,
                            "remedy", err->remedy);
  char *text = json ? json_dumps (json, JSON_COMPACT) : NULL;
  json_decref (json);
  if (!text)
    return MHD_NO;
  enum MHD_Result result
      = http_reply_text (connection, http_reply_status (err->kind),
                         "application/json", text, strlen (text));
  free (text);
  return result;
}
