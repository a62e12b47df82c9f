/* http_reply: answers of our own HTTP ports.  */

#ifndef WIRE_HTTP_REPLY_H
#define WIRE_HTTP_REPLY_H

#include <microhttpd.h>

#include "base/error.h"

/* Answer with TEXT, which is copied.  */
enum MHD_Result http_reply_text (struct MHD_Connection *connection,
                                 unsigned int status, const char *type,
                                 const char *text, size_t length);

/* Answer with {"error":{"kind":...,"message":...,"remedy":...}} and the
   status that fits ERR's kind.  */
enum MHD_Result http_reply_error (struct MHD_Connection *connection,
                                  const err_t *err);

unsigned int http_reply_status (err_kind_t kind);

#endif
