/* socket_close: how the close of a TCP connection ends it.  */

#ifndef WIRE_SOCKET_CLOSE_H
#define WIRE_SOCKET_CLOSE_H

/* Let each close of FD, also by the end of the process, reset the connection.
   Bytes that are not acknowledged yet are dropped then; otherwise they would
   still be sent, for instance when a cut of the network has healed, and start
   a request that was given up long before.  */
void socket_close_by_reset (int fd);

/* Let the next close of FD end the connection in the ordinary way, after the
   bytes that are still to be sent.  */
void socket_close_in_order (int fd);

#endif
