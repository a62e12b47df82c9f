/* socket_close: how the close of a TCP connection ends it.  */

#ifndef WIRE_SOCKET_CLOSE_H
#define WIRE_SOCKET_CLOSE_H

#include <stdbool.h>
#include <stddef.h>

/* Let each close of FD, also by the end of the process, reset the connection.
   Bytes that are not acknowledged yet are dropped then; otherwise they would
   still be sent, for instance when a cut of the network has healed, and start
   a request that was given up long before.  */
void socket_close_by_reset (int fd);

/* Let the next close of FD end the connection in the ordinary way, after the
   bytes that are still to be sent.  */
void socket_close_in_order (int fd);

/* Store in N how many of the bytes that were written to FD the peer's host has
   not acknowledged; the end of the stream counts as one.  It is 0 also if the
   connection has failed, as no more will be sent.  Returns false if the system
   does not tell.  */
bool socket_unacknowledged (int fd, size_t *n);

#endif
