/* Parts of fake-raw-backend.  */

#ifndef FAKES_RAW_BACKEND_H
#define FAKES_RAW_BACKEND_H

#include <stdbool.h>
#include <stddef.h>

/* Send LENGTH BYTES on FD.  False if the peer has closed.  */
bool raw_backend_write (int fd, const char *bytes, size_t length);

/* Whether NAME is that of a response without end.  */
bool raw_backend_is_endless (const char *name);

/* Send the response NAME to the request ID, as the backend server INSTANCE,
   until the peer closes, and at most ENDLESS_BYTES or for ENDLESS_MSEC.
   Returns the number of bytes that were sent after its begin.  */
size_t raw_backend_send_endless (int fd, const char *name, const char *id,
                                 const char *instance);

#endif
