#include "raw_response.h"

#include <string.h>

/* A response in chunks, whole, with other options of raw_response_t.  */
#define CHUNKED(...)                                                          \
  .fields = "Transfer-Encoding: chunked\r\n", .is_chunked = true,             \
  .n_sent = BODY_BYTES, __VA_ARGS__

/* A response with STATUS and FIELDS, whole, to a request that has run.  */
#define RAN(status_text, extra_fields)                                        \
  .fields = extra_fields "Content-Length: 900\r\n", .n_sent = BODY_BYTES,     \
  .status = status_text

static const raw_response_t responses[] = {
  { "length", "Content-Length: 900\r\n", BODY_BYTES, ENDS_KEPT, false },
  { "chunks", "Transfer-Encoding: chunked\r\n", BODY_BYTES, ENDS_KEPT, true },
  { "close", "Connection: close\r\n", BODY_BYTES, ENDS_CLOSED, false },
  { "same-length-twice", "Content-Length: 900\r\nContent-Length: 900\r\n",
    BODY_BYTES, ENDS_KEPT, false },
  { "close-early", "Connection: close\r\n", PART_BYTES, ENDS_CLOSED, false },
  { "close-empty", "", 0, ENDS_CLOSED, false },
  { "reset-early", "", PART_BYTES, ENDS_RESET, false },
  { "length-early", "Content-Length: 900\r\n", PART_BYTES, ENDS_CLOSED,
    false },
  { "length-reset", "Content-Length: 900\r\n", PART_BYTES, ENDS_RESET, false },
  { "chunks-early", "Transfer-Encoding: chunked\r\n", PART_BYTES, ENDS_CLOSED,
    true },
  { "length-list", "Content-Length: 450, 900\r\n", BODY_BYTES, ENDS_KEPT,
    false },
  { "length-letter", "Content-Length: 450x\r\n", BODY_BYTES, ENDS_KEPT,
    false },
  { "length-sign", "Content-Length: +450\r\n", BODY_BYTES, ENDS_KEPT, false },
  { "length-huge", "Content-Length: 99999999999999999999\r\n", PART_BYTES,
    ENDS_CLOSED, false },
  { "length-blank", "Content-Length : 900\r\n", PART_BYTES, ENDS_CLOSED,
    false },
  { "length-folded", "Content-Length: 450\r\n 900\r\n", BODY_BYTES, ENDS_KEPT,
    false },
  { "lengths-differ", "Content-Length: 450\r\nContent-Length: 900\r\n",
    BODY_BYTES, ENDS_KEPT, false },
  { "length-and-chunks",
    "Content-Length: 450\r\nTransfer-Encoding: chunked\r\n", PART_BYTES,
    ENDS_KEPT, true },
  { "other-encoding", "Transfer-Encoding: identity\r\n", PART_BYTES,
    ENDS_CLOSED, false },
  { "large-close", "", LARGE_BYTES, ENDS_CLOSED, false },
  { "huge-close", "", HUGE_BYTES, ENDS_CLOSED, false },
  { "error-close", "", BODY_BYTES, ENDS_CLOSED, false, "500 Error" },
  { "no-content", "", 0, ENDS_KEPT, false, "204 No Content" },
  { "no-content-length", "Content-Length: 900\r\n", 0, ENDS_KEPT, false,
    "204 No Content" },
  { "not-modified", "", 0, ENDS_KEPT, false, "304 Not Modified" },
  { "not-modified-length", "Content-Length: 900\r\n", 0, ENDS_KEPT, false,
    "304 Not Modified" },
  { .name = "chunk-0x", CHUNKED (.size = "0x384") },
  { .name = "chunk-0x-text",
    CHUNKED (.size = "0xd", .text = "name: value\r\n") },
  { .name = "chunk-letter", CHUNKED (.size = "384x") },
  { .name = "chunk-sign", CHUNKED (.size = "+384") },
  { .name = "chunk-blank", CHUNKED (.size = " 384") },
  { .name = "chunk-huge", CHUNKED (.size = "10000000000000384") },
  { .name = "chunks-1.0", CHUNKED (.version = "1.0") },
  { .name = "chunks-status", CHUNKED (.trailers = "HTTP/1.1 200 OK\r\n") },
  { .name = "chunks-trailer", CHUNKED (.trailers = "X-Sum: 1\r\n") },
  { .name = "chunks-extension", CHUNKED (.size = "384;a=\"b\"") },
  { .name = "chunks-small", CHUNKED (.chunk_bytes = 7) },
  { .name = "status-000", RAN ("000 None", "") },
  { .name = "status-000-close",
    .fields = "",
    .n_sent = BODY_BYTES,
    .ending = ENDS_CLOSED,
    .status = "000" },
  { .name = "status-099", RAN ("099 None", "") },
  { .name = "status-101", RAN ("101 Switching Protocols", "") },
  { .name = "status-101-upgrade",
    RAN ("101 Switching Protocols",
         "Connection: upgrade\r\nUpgrade: h2c\r\n") },
  { .name = "status-600", RAN ("600 None", "") },
  { .name = "status-999", RAN ("999 None", "") },
  { .name = "status-2000", RAN ("2000 OK", "") },
  { .name = "status-20", RAN ("20 OK", "") },
  { .name = "status-200x", RAN ("200x OK", "") },
  { .name = "status-sign", RAN ("+20 OK", "") },
  { .name = "status-none", RAN ("OK", "") },
  { .name = "status-http2", RAN ("200 OK", ""), .version = "2.0" },
  { .name = "status-http0", RAN ("200 OK", ""), .version = "0.9" },
  { .name = "status-bare", RAN ("200", "") },
  { .name = "status-599", RAN ("599 Own", "") },
  { .name = "ran-408", RAN ("408 Request Timeout", "") },
  { .name = "ran-421", RAN ("421 Misdirected Request", "") },
  { .name = "ran-429", RAN ("429 Too Many Requests", "") },
  { .name = "ran-503", RAN ("503 Full", "") },
  { .name = "ran-200-stated", RAN ("200 OK", "Not-Executed: full\r\n") },
  { .name = "ran-404-stated", RAN ("404 None", "Not-Executed: full\r\n") },
  { .name = "ran-500-stated", RAN ("500 Error", "Not-Executed: full\r\n") },
  { .name = "ran-504-stated", RAN ("504 Late", "Not-Executed: full\r\n") },
};

const raw_response_t *
raw_response_find (const char *name)
{
  for (size_t i = 0; i < sizeof responses / sizeof responses[0]; i++)
    if (strcmp (name, responses[i].name) == 0)
      return &responses[i];
  return &responses[0];
}
