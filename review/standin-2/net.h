/* net: sockets, HTTP heads and a record file, for the stand-ins of this
   folder.  */

#ifndef STANDIN_2_NET_H
#define STANDIN_2_NET_H

#include <stdbool.h>
#include <stddef.h>

enum
{
  NET_HEAD_BYTES = 16 * 1024,
  NET_FIELD_BYTES = 256,
};

/* A head, with what was read behind it.  */
typedef struct net_head
{
  char text[NET_HEAD_BYTES + 1]; /* NUL-terminated */
  size_t n_bytes;                /* that were read, the head included */
  size_t n_head;                 /* of the head, its empty line included */
} net_head_t;

/* Milliseconds of the steady clock.  */
long long net_msec (void);
void net_sleep (long long msec);

/* A listening socket at ADDRESS and PORT; ends the process if it can't be
   opened.  */
int net_listen (const char *address, unsigned int port);
/* A connection to ADDRESS, "127.0.0.1:80", that gives up after TIMEOUT_MSEC
   without progress; -1 if it can't be made.  RECEIVE_BYTES, unless 0, bounds
   its receive buffer.  */
int net_connect (const char *address, int receive_bytes, int timeout_msec);

bool net_write (int fd, const void *bytes, size_t length);
/* Reads a head.  Returns false if the connection ends before that.  */
bool net_read_head (int fd, net_head_t *head);
/* The value of the field NAME of TEXT, a head; "" if it has none.  */
void net_field (const char *text, const char *name,
                char value[NET_FIELD_BYTES]);

/* Fills BODY, of LENGTH bytes, with what a response to the request ID has from
   the byte FIRST on.  */
void net_fill (char *body, size_t length, size_t first, const char *id);

/* Appends a line to the file PATH, in one write.  */
void net_record (const char *path, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

#endif
