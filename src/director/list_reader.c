#include "director/list_reader.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <time.h>

#include "backend_list_client.h"
#include "base/clock.h"
#include "base/log.h"

enum
{
  LOOK_NSEC = 50 * 1000 * 1000, /* how often the core is asked */
};

struct list_reader
{
  backend_list_client_t *client;
  director_core_t *core;
  pthread_t thread;
  _Atomic bool stops;
  bool is_lost; /* the last reading failed */
  size_t n_skipped;
};

static void
note_outcome (list_reader_t *reader, bool ok, size_t n_skipped,
              const err_t *err)
{
  if (!ok && !reader->is_lost)
    log_error (LOG_LEVEL_WARNING, "backend_list_lost", err);
  if (ok && reader->is_lost)
    LOG_EVENT (LOG_LEVEL_INFO, "backend_list_regained", LOG_U ("ok", 1));
  if (ok && n_skipped != reader->n_skipped)
    LOG_EVENT (LOG_LEVEL_WARNING, "backend_list_entries_skipped",
               LOG_U ("entries", n_skipped));
  reader->is_lost = !ok;
  if (ok)
    reader->n_skipped = n_skipped;
}

static void
read_once (list_reader_t *reader)
{
  backend_list_t list;
  size_t n_skipped = 0;
  err_t err = { 0 };
  bool ok = backend_list_client_read (reader->client, &list, &n_skipped, &err);
  note_outcome (reader, ok, n_skipped, &err);
  if (ok)
    director_core_put_list (reader->core, &list);
}

static void *
reader_run (void *closure)
{
  list_reader_t *reader = closure;
  const struct timespec span = { .tv_nsec = LOOK_NSEC };
  while (!atomic_load (&reader->stops))
    {
      nanosleep (&span, NULL);
      if (director_core_wants_list (reader->core, clock_monotonic ()))
        read_once (reader);
    }
  return NULL;
}

list_reader_t *
list_reader_start (const fleet_settings_t *settings, director_core_t *core,
                   err_t *err)
{
  list_reader_t *reader = calloc (1, sizeof *reader);
  if (!reader)
    abort ();
  const backend_list_client_options_t options
      = { .address = settings->backend_list,
          .own_address = settings->address };
  reader->client = backend_list_client_new (&options);
  reader->core = core;
  if (pthread_create (&reader->thread, NULL, reader_run, reader) == 0)
    return reader;
  backend_list_client_free (reader->client);
  free (reader);
  err_set (err, ERR_IO, "raise the limit of threads",
           "no thread for the backend list");
  return NULL;
}

void
list_reader_stop (list_reader_t *reader)
{
  atomic_store (&reader->stops, true);
  pthread_join (reader->thread, NULL);
  backend_list_client_free (reader->client);
  free (reader);
}
