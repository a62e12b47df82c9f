/* io: sockets, HTTP/1.1 messages and the record, for the stand-ins.

   All calls block.  A failed allocation ends the process.  */

#ifndef REVIEW_IO_H
#define REVIEW_IO_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  IO_BUFFER_BYTES = 32 * 1024, /* must hold the head of a message */
  IO_VALUE_BYTES = 256,
  IO_MSEC_PER_SEC = 1000,
};

/* The monotonic clock in milliseconds, the same in all processes.  */
int64_t io_now (void);
void io_sleep (int64_t msec);

/* Append a line to the file that the environment variable RECORD names, after
   the present time.  */
void io_record (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));

typedef struct io_address
{
  char host[16]; /* dotted IPv4 */
  int port;
} io_address_t;

/* TEXT is HOST:PORT.  */
bool io_address_parse (io_address_t *address, const char *text);

/* Returns a descriptor, or -1.  */
int io_listen (const io_address_t *address);
/* RECEIVE_BYTES is the size of the receive buffer; 0: the default.  */
int io_connect (const io_address_t *address, int receive_bytes);
void io_set_timeout (int fd, int64_t msec);

/* A connection with its read buffer.  */
typedef struct io_stream
{
  int fd;
  size_t start;
  size_t end;
  char buffer[IO_BUFFER_BYTES];
} io_stream_t;

void io_stream_init (io_stream_t *stream, int fd);

/* The start line and the headers of a message.  */
typedef struct io_head
{
  char text[IO_BUFFER_BYTES]; /* lines, each ended by a null byte; an empty
                                 one at the end */
  long long body_bytes;       /* Content-Length; 0 if there is none */
  bool is_chunked;
} io_head_t;

/* False if the connection ended or timed out before the end of the head.  */
bool io_read_head (io_stream_t *stream, io_head_t *head);
/* Copy the value of the header NAME; "" if there is none.  */
void io_header (const io_head_t *head, const char *name,
                char value[IO_VALUE_BYTES]);
/* Read up to LENGTH bytes; 0 at the end of the stream, -1 on error.  */
long io_read (io_stream_t *stream, char *bytes, size_t length);
/* Read and discard the body that HEAD describes.  */
bool io_skip_body (io_stream_t *stream, const io_head_t *head);
bool io_write (int fd, const char *bytes, size_t length);

/* Start a detached thread.  */
void io_thread (void *(*run) (void *closure), void *closure);

#endif
