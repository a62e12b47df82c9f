/* http_reply: responses of the HTTP ports that this system serves.  */

#ifndef WIRE_HTTP_REPLY_H
#define WIRE_HTTP_REPLY_H

#include <microhttpd.h>

#include "base/error.h"

/* Queue a response with the content type TYPE and the body TEXT, which is
   copied.  MHD_NO if memory runs out.  */
enum MHD_Result http_reply_text (struct MHD_Connection *connection,
                                 unsigned int status, const char *type,
                                 const char *text, size_t length);

/* Queue the response {"error":{"kind":...,"message":...,"remedy":...}} with
   the status of http_reply_status.  */
enum MHD_Result http_reply_error (struct MHD_Connection *connection,
                                  const err_t *err);

/* The HTTP status for an error of KIND.  */
unsigned int http_reply_status (err_kind_t kind);

#endif
