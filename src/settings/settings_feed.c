#include "settings/settings_feed.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "base/list.h"
#include "base/log.h"

enum
{
  NAMES_BYTES = 256, /* of the keys in one log line */
};

/* Settings that some thread may hold.  */
typedef struct counted
{
  size_t references; /* the feed's own among them */
  fleet_settings_t settings;
} counted_t;

struct settings_feed
{
  const char *file;
  struct stat seen; /* the file when it was last read */
  pthread_mutex_t lock;
  counted_t *_Atomic current; /* changed with the lock held */
};

static counted_t *
counted_of (const fleet_settings_t *settings)
{
  return LIST_ENTRY ((fleet_settings_t *)(uintptr_t)settings, counted_t,
                     settings);
}

static counted_t *
counted_new (const fleet_settings_t *settings)
{
  counted_t *counted = malloc (sizeof *counted);
  if (!counted)
    abort ();
  counted->references = 1;
  memcpy (&counted->settings, settings, sizeof *settings);
  return counted;
}

settings_feed_t *
settings_feed_open (const char *file, err_t *err)
{
  struct stat seen = { 0 };
  (void)stat (file, &seen); /* loading it tells what is wrong */
  fleet_settings_t *settings = fleet_settings_load (file, err);
  if (!settings)
    return NULL;
  settings_feed_t *feed = calloc (1, sizeof *feed);
  if (!feed)
    abort ();
  feed->file = file;
  feed->seen = seen;
  pthread_mutex_init (&feed->lock, NULL);
  atomic_init (&feed->current, counted_new (settings));
  free (settings);
  return feed;
}

static void
drop (settings_feed_t *feed, counted_t *counted)
{
  pthread_mutex_lock (&feed->lock);
  bool is_last = --counted->references == 0;
  pthread_mutex_unlock (&feed->lock);
  if (is_last)
    free (counted);
}

void
settings_feed_close (settings_feed_t *feed)
{
  drop (feed, atomic_load (&feed->current));
  pthread_mutex_destroy (&feed->lock);
  free (feed);
}

const fleet_settings_t *
settings_feed_acquire (settings_feed_t *feed)
{
  pthread_mutex_lock (&feed->lock);
  counted_t *counted = atomic_load (&feed->current);
  counted->references++;
  pthread_mutex_unlock (&feed->lock);
  return &counted->settings;
}

void
settings_feed_release (settings_feed_t *feed, const fleet_settings_t *settings)
{
  drop (feed, counted_of (settings));
}

const fleet_settings_t *
settings_feed_acquire_newer (settings_feed_t *feed,
                             const fleet_settings_t *held)
{
  if (counted_of (held) == atomic_load (&feed->current))
    return NULL;
  return settings_feed_acquire (feed);
}

/* --- Reading the file --------------------------------------------------- */

static bool
looks_changed (settings_feed_t *feed)
{
  struct stat now = { 0 };
  if (stat (feed->file, &now) != 0)
    return false; /* between two versions of it, most likely */
  bool changed = now.st_ino != feed->seen.st_ino
                 || now.st_size != feed->seen.st_size
                 || now.st_mtim.tv_sec != feed->seen.st_mtim.tv_sec
                 || now.st_mtim.tv_nsec != feed->seen.st_mtim.tv_nsec;
  feed->seen = now;
  return changed;
}

/* Keep the running process's VALUE in NEXT; KEY is added to NAMES where the
   file has another one.  */
static void
keep (void *next, const void *value, size_t size, const char *key, char *names)
{
  if (memcmp (next, value, size) == 0)
    return;
  memcpy (next, value, size);
  size_t length = strlen (names);
  snprintf (names + length, NAMES_BYTES - length, "%s%s",
            length > 0 ? "," : "", key);
}

#define KEEP(member, key)                                                     \
  keep (&next->member, &running->member, sizeof running->member, key, names)

/* What a process is known by to others, or holds open, stays until it starts
   anew.  */
static void
keep_fixed (fleet_settings_t *next, const fleet_settings_t *running)
{
  char names[NAMES_BYTES] = "";
  KEEP (vm, "vm");
  KEEP (address, "address");
  KEEP (domain, "failure_domain");
  KEEP (region, "region");
  KEEP (requests, "requests");
  KEEP (readiness, "readiness");
  KEEP (operators, "operators");
  KEEP (lookups, "lookups");
  KEEP (peer_port, "peer_port");
  KEEP (metrics_port, "metrics_port");
  KEEP (peer_secret, "peer_secret");
  KEEP (data_folder, "data_folder");
  next->first_start = running->first_start; /* of this process's own start */
  if (names[0])
    LOG_EVENT (LOG_LEVEL_WARNING, "settings_need_restart",
               LOG_S ("keys", names),
               LOG_S ("remedy", "restart the process to put them in force"));
}

static void
put_in_force (settings_feed_t *feed, const fleet_settings_t *next)
{
  counted_t *counted = counted_new (next);
  pthread_mutex_lock (&feed->lock);
  counted_t *before = atomic_exchange (&feed->current, counted);
  pthread_mutex_unlock (&feed->lock);
  drop (feed, before);
}

/* fleet_settings_load leaves no byte unset.  */
static bool
is_same (const fleet_settings_t *a, const fleet_settings_t *b)
{
  return memcmp ((const char *)a, (const char *)b, sizeof *a) == 0;
}

bool
settings_feed_poll (settings_feed_t *feed, settings_look_t look)
{
  bool changed = looks_changed (feed);
  if (!changed && look != SETTINGS_REREAD)
    return false;
  err_t err = { 0 };
  fleet_settings_t *next = fleet_settings_load (feed->file, &err);
  if (!next)
    {
      log_error (LOG_LEVEL_ERROR, "settings_refused", &err);
      return false;
    }
  const fleet_settings_t *running = settings_feed_acquire (feed);
  keep_fixed (next, running);
  bool is_new = !is_same (next, running);
  settings_feed_release (feed, running);
  if (is_new)
    put_in_force (feed, next);
  LOG_EVENT (LOG_LEVEL_INFO, "settings_reloaded", LOG_U ("changed", is_new),
             LOG_U ("seeds", next->n_seeds),
             LOG_U ("failure_domains", next->n_domains));
  free (next);
  return is_new;
}
