#include "director/list_reader.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <time.h>

#include "backend_list_client.h"
#include "base/clock.h"
#include "base/log.h"

/* How often the core is asked whether a new reading is due.  */
enum
{
  POLL_INTERVAL_NSEC = 50 * 1000 * 1000,
};

/* Fraction of the platform's permitted rate of calls that one reader uses.
   While the leader changes, two directors may read at once.  */
static const double rate_fraction = 0.5;

struct list_reader
{
  settings_feed_t *feed;
  const fleet_settings_t *settings; /* acquired from the feed */
  backend_list_client_t *client;
  director_core_t *core;
  usec_t next_read_at; /* earliest next reading within the rate limit */
  pthread_t thread;
  _Atomic bool is_stopping;
  bool last_read_failed;
  size_t n_skipped; /* list entries skipped in the last good reading */
};

/* Log when readings start to fail, when they succeed again, and when the
   number of skipped entries changes.  */
static void
log_read_result (list_reader_t *reader, bool ok,
                 const list_read_stats_t *reading, const err_t *err)
{
  if (!ok && !reader->last_read_failed)
    log_error (LOG_LEVEL_WARNING, "backend_list_lost", err);
  if (ok && reader->last_read_failed)
    LOG_EVENT (LOG_LEVEL_INFO, "backend_list_regained", LOG_U ("ok", 1));
  if (ok && reading->n_skipped != reader->n_skipped)
    LOG_EVENT (
        LOG_LEVEL_WARNING, "backend_list_entries_skipped",
        LOG_U ("entries", reading->n_skipped),
        LOG_S ("field", reading->n_skipped ? reading->skipped_field : ""));
  reader->last_read_failed = !ok;
  if (ok)
    reader->n_skipped = reading->n_skipped;
}

static void
open_client (list_reader_t *reader)
{
  const backend_list_client_options_t options
      = { .address = reader->settings->backend_list,
          .own_address = reader->settings->address };
  reader->client = backend_list_client_new (&options);
}

static void
update_settings (list_reader_t *reader)
{
  const fleet_settings_t *newer
      = settings_feed_acquire_newer (reader->feed, reader->settings);
  if (!newer)
    return;
  settings_feed_release (reader->feed, reader->settings);
  reader->settings = newer;
  backend_list_client_free (reader->client);
  open_client (reader);
}

/* Time from reading to reading for each call of one; a list of one page is
   read whenever the core wants it.  */
#define INTERVAL_PER_CALL (30 * USEC_PER_MSEC)

/* Part of the time in which a draining backend server must be known that may
   pass between two readings; the rest is for the reading itself, the pulls of
   the routers, and a change of the leader.  */
enum
{
  DRAIN_DIVISOR = 4,
};

usec_t
list_reader_min_interval (size_t n_calls, const fleet_settings_t *settings)
{
  usec_t interval = (usec_t)n_calls * INTERVAL_PER_CALL;
  usec_t longest = settings->bounds.drain / DRAIN_DIVISOR;
  if (interval > longest)
    interval = longest;
  if (settings->backend_list_rate <= 0)
    return interval;
  usec_t shortest = (usec_t)((double)n_calls * (double)USEC_PER_SEC
                             / (settings->backend_list_rate * rate_fraction));
  return interval > shortest ? interval : shortest;
}

static void
read_list (list_reader_t *reader)
{
  backend_list_t list;
  list_read_stats_t reading = { 0 };
  err_t err = { 0 };
  usec_t started_at = clock_monotonic ();
  bool ok = backend_list_client_read (reader->client, &list, &reading, &err);
  reader->next_read_at
      = started_at
        + list_reader_min_interval (reading.n_calls, reader->settings);
  log_read_result (reader, ok, &reading, &err);
  if (ok)
    director_core_put_list (reader->core, &list);
}

static void *
reader_run (void *closure)
{
  list_reader_t *reader = closure;
  const struct timespec interval = { .tv_nsec = POLL_INTERVAL_NSEC };
  while (!atomic_load (&reader->is_stopping))
    {
      nanosleep (&interval, NULL);
      update_settings (reader);
      usec_t now = clock_monotonic ();
      if (now >= reader->next_read_at
          && director_core_wants_list (reader->core, now))
        read_list (reader);
    }
  return NULL;
}

static void
list_reader_free (list_reader_t *reader)
{
  backend_list_client_free (reader->client);
  settings_feed_release (reader->feed, reader->settings);
  free (reader);
}

list_reader_t *
list_reader_start (settings_feed_t *feed, director_core_t *core, err_t *err)
{
  list_reader_t *reader = calloc (1, sizeof *reader);
  if (!reader)
    abort ();
  reader->feed = feed;
  reader->settings = settings_feed_acquire (feed);
  reader->core = core;
  open_client (reader);
  if (pthread_create (&reader->thread, NULL, reader_run, reader) == 0)
    return reader;
  list_reader_free (reader);
  err_set (err, ERR_IO, "raise the limit on threads",
           "cannot create the thread that reads the backend list");
  return NULL;
}

void
list_reader_stop (list_reader_t *reader)
{
  atomic_store (&reader->is_stopping, true);
  pthread_join (reader->thread, NULL);
  list_reader_free (reader);
}
