/* load_http: one keep-alive HTTP/1.1 connection of the load tool, with one
   request under way at a time.  */

#ifndef BENCH_LOAD_HTTP_H
#define BENCH_LOAD_HTTP_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>

enum
{
  LOAD_TEXT_BYTES = 256,
  LOAD_REQUEST_BYTES = 8192,
};

typedef enum
{
  LOAD_PENDING,
  LOAD_ANSWERED, /* the whole message is there */
  LOAD_BROKEN,   /* closed, failed, or no legal message; closed here too */
} load_result_t;

typedef struct load_answer
{
  int status;
  char outcome[LOAD_TEXT_BYTES]; /* X-Mulberry-Outcome */
  char reason[LOAD_TEXT_BYTES];  /* X-Mulberry-Reason */
  char id[LOAD_TEXT_BYTES];      /* X-Request-Id */
  bool closes;
  char *body; /* the connection's, until the next send */
  size_t body_bytes;
} load_answer_t;

typedef struct load_conn
{
  int fd; /* -1: not open */
  void *owner;
  bool busy;
  bool sent; /* at least one byte of this request left */
  char out[LOAD_REQUEST_BYTES];
  size_t out_bytes;
  size_t out_sent;
  char *in;
  size_t in_bytes;
  size_t in_size;
} load_conn_t;

void load_conn_init (load_conn_t *conn, void *owner);

/* Send conn->out (out_bytes of it) to TO, opening the connection in EPOLL
   where it is not.  False where it can't be opened.  */
bool load_conn_send (load_conn_t *conn, int epoll,
                     const struct sockaddr_in *to);

/* Handle the epoll EVENTS of the connection.  */
load_result_t load_conn_event (load_conn_t *conn, unsigned events,
                               load_answer_t *answer);

void load_conn_close (load_conn_t *conn);

#endif
