/* Parts of fake-raw-backend.  */

#ifndef FAKES_RAW_BACKEND_H
#define FAKES_RAW_BACKEND_H

#include <stdbool.h>
#include <stddef.h>

enum
{
  ID_BYTES = 128, /* of a request or a backend server, with the NUL */
};

/* Send LENGTH BYTES on FD.  False if the peer has closed.  */
bool raw_backend_write (int fd, const char *bytes, size_t length);

/* Whether NAME is that of a response without end.  */
bool raw_backend_is_endless (const char *name);

/* Send the response NAME to the request ID, as the backend server INSTANCE,
   until the peer closes, and at most ENDLESS_BYTES or for ENDLESS_MSEC.
   Returns the number of bytes that were sent after its begin.  */
size_t raw_backend_send_endless (int fd, const char *name, const char *id,
                                 const char *instance);

/* Set INSTANCE to the backend server that was stored for PORT in FOLDER; it
   stays as it is if there is none.  */
void raw_backend_load_instance (const char *folder, unsigned int port,
                                char instance[ID_BYTES]);

/* Store INSTANCE, so that a process that starts again at PORT knows which
   backend server it is before it gets a request.  */
void raw_backend_store_instance (const char *folder, unsigned int port,
                                 const char *instance);

#endif
