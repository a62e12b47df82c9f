#include "raw_client.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "raw_backend.h"

typedef struct copy
{
  raw_client_t *client;
  unsigned int wait_msec;
  size_t length;
  char bytes[PACKET_BYTES];
} copy_t;

void
raw_client_release (raw_client_t *client)
{
  bool is_unused = --client->n_users == 0;
  pthread_mutex_unlock (&client->lock);
  if (is_unused)
    free (client);
}

static void *
send_copy (void *closure)
{
  copy_t *copy = closure;
  raw_client_t *client = copy->client;
  usleep (copy->wait_msec * USEC_PER_MSEC);
  pthread_mutex_lock (&client->lock);
  if (!client->is_closed)
    raw_backend_write (client->fd, copy->bytes, copy->length);
  raw_client_release (client);
  free (copy);
  return NULL;
}

void
raw_client_send_later (raw_client_t *client, const char *bytes, size_t length,
                       unsigned int wait_msec)
{
  pthread_t thread;
  copy_t *copy = malloc (sizeof *copy);
  if (!copy)
    abort ();
  *copy
      = (copy_t){ .client = client, .wait_msec = wait_msec, .length = length };
  memcpy (copy->bytes, bytes, length);
  client->n_users++;
  if (pthread_create (&thread, NULL, send_copy, copy) != 0)
    abort ();
  pthread_detach (thread);
}

void
raw_client_close (raw_client_t *client)
{
  if (!client->is_closed)
    close (client->fd);
  client->is_closed = true;
}
