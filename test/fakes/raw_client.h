/* raw_client: a connection of fake-raw-backend, and the responses that are
   written on it once more.  */

#ifndef FAKES_RAW_CLIENT_H
#define FAKES_RAW_CLIENT_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>

#include "raw_response.h"

enum
{
  HEAD_BYTES = 1024,
  PACKET_BYTES = HEAD_BYTES + BODY_BYTES,
  USEC_PER_MSEC = 1000,
};

typedef struct raw_client
{
  pthread_mutex_t lock; /* held while a response is written */
  unsigned int n_users; /* threads; guarded by LOCK */
  bool is_closed;       /* guarded by LOCK */
  int fd;
  struct port *port;
  size_t n_held; /* bytes of a response to be sent once more */
  char held[PACKET_BYTES];
} raw_client_t;

/* Write BYTES, LENGTH of them, WAIT_MSEC later, unless CLIENT is closed then.
   Its lock is held.  */
void raw_client_send_later (raw_client_t *client, const char *bytes,
                            size_t length, unsigned int wait_msec);

/* Close CLIENT's connection; its lock is held.  */
void raw_client_close (raw_client_t *client);

/* One thread less uses CLIENT, whose lock is held and given back; the last one
   frees it.  */
void raw_client_release (raw_client_t *client);

#endif
