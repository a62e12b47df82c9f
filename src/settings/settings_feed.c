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
  KEYS_BYTES = 256, /* of the list of keys in one log entry */
};

/* One version of the settings with its reference count.  */
typedef struct version
{
  size_t references; /* includes the feed's own while in force */
  fleet_settings_t settings;
} version_t;

struct settings_feed
{
  const char *file;
  struct stat last_stat; /* metadata of FILE at the last check */
  pthread_mutex_t lock;
  version_t *_Atomic current; /* written only with LOCK held */
};

static version_t *
version_of (const fleet_settings_t *settings)
{
  return LIST_ENTRY ((fleet_settings_t *)(uintptr_t)settings, version_t,
                     settings);
}

static version_t *
version_new (const fleet_settings_t *settings)
{
  version_t *version = malloc (sizeof *version);
  if (!version)
    abort ();
  version->references = 1;
  memcpy (&version->settings, settings, sizeof *settings);
  return version;
}

settings_feed_t *
settings_feed_open (const char *file, err_t *err)
{
  struct stat last_stat = { 0 };
  (void)stat (file, &last_stat); /* fleet_settings_load reports errors */
  fleet_settings_t *settings = fleet_settings_load (file, err);
  if (!settings)
    return NULL;
  settings_feed_t *feed = calloc (1, sizeof *feed);
  if (!feed)
    abort ();
  feed->file = file;
  feed->last_stat = last_stat;
  pthread_mutex_init (&feed->lock, NULL);
  atomic_init (&feed->current, version_new (settings));
  free (settings);
  return feed;
}

static void
unref (settings_feed_t *feed, version_t *version)
{
  pthread_mutex_lock (&feed->lock);
  bool is_last = --version->references == 0;
  pthread_mutex_unlock (&feed->lock);
  if (is_last)
    free (version);
}

void
settings_feed_close (settings_feed_t *feed)
{
  unref (feed, atomic_load (&feed->current));
  pthread_mutex_destroy (&feed->lock);
  free (feed);
}

const fleet_settings_t *
settings_feed_acquire (settings_feed_t *feed)
{
  pthread_mutex_lock (&feed->lock);
  version_t *version = atomic_load (&feed->current);
  version->references++;
  pthread_mutex_unlock (&feed->lock);
  return &version->settings;
}

void
settings_feed_release (settings_feed_t *feed, const fleet_settings_t *settings)
{
  unref (feed, version_of (settings));
}

const fleet_settings_t *
settings_feed_acquire_newer (settings_feed_t *feed,
                             const fleet_settings_t *held)
{
  if (version_of (held) == atomic_load (&feed->current))
    return NULL;
  return settings_feed_acquire (feed);
}

/* --- Reading the file --------------------------------------------------- */

static bool
has_changed (settings_feed_t *feed)
{
  struct stat now = { 0 };
  if (stat (feed->file, &now) != 0)
    return false; /* probably being replaced by a new version */
  bool changed = now.st_ino != feed->last_stat.st_ino
                 || now.st_size != feed->last_stat.st_size
                 || now.st_mtim.tv_sec != feed->last_stat.st_mtim.tv_sec
                 || now.st_mtim.tv_nsec != feed->last_stat.st_mtim.tv_nsec;
  feed->last_stat = now;
  return changed;
}

/* Restore the running VALUE in NEXT; if the file had a different one, append
   KEY to KEYS.  */
static void
restore (void *next, const void *value, size_t size, const char *key,
         char *keys)
{
  if (memcmp (next, value, size) == 0)
    return;
  memcpy (next, value, size);
  size_t length = strlen (keys);
  snprintf (keys + length, KEYS_BYTES - length, "%s%s", length > 0 ? "," : "",
            key);
}

#define RESTORE(member, key)                                                  \
  restore (&next->member, &running->member, sizeof running->member, key, keys)

/* Restore in NEXT the values that can't change while the process runs: those
   by which other processes identify or reach it, and those of open sockets and
   files.  */
static void
restore_fixed (fleet_settings_t *next, const fleet_settings_t *running)
{
  char keys[KEYS_BYTES] = "";
  RESTORE (vm, "vm");
  RESTORE (address, "address");
  RESTORE (domain, "failure_domain");
  RESTORE (region, "region");
  RESTORE (requests, "requests");
  RESTORE (readiness, "readiness");
  RESTORE (operators, "operators");
  RESTORE (lookups, "lookups");
  RESTORE (peer_port, "peer_port");
  RESTORE (metrics_port, "metrics_port");
  RESTORE (peer_secret, "peer_secret");
  RESTORE (data_folder, "data_folder");
  /* No warning: the key applies to the start of a process only.  */
  next->first_start = running->first_start;
  if (keys[0])
    LOG_EVENT (
        LOG_LEVEL_WARNING, "settings_need_restart", LOG_S ("keys", keys),
        LOG_S ("remedy", "restart the process to apply the changed keys"));
}

static void
put_in_force (settings_feed_t *feed, const fleet_settings_t *next)
{
  version_t *version = version_new (next);
  pthread_mutex_lock (&feed->lock);
  version_t *former = atomic_exchange (&feed->current, version);
  pthread_mutex_unlock (&feed->lock);
  unref (feed, former);
}

/* Comparing bytes is valid as fleet_settings_load zeroes padding and unused
   elements.  */
static bool
is_same (const fleet_settings_t *a, const fleet_settings_t *b)
{
  return memcmp ((const char *)a, (const char *)b, sizeof *a) == 0;
}

bool
settings_feed_poll (settings_feed_t *feed, settings_poll_mode_t mode)
{
  bool changed = has_changed (feed);
  if (!changed && mode != SETTINGS_POLL_ALWAYS)
    return false;
  err_t err = { 0 };
  fleet_settings_t *next = fleet_settings_load (feed->file, &err);
  if (!next)
    {
      log_error (LOG_LEVEL_ERROR, "settings_refused", &err);
      return false;
    }
  const fleet_settings_t *running = settings_feed_acquire (feed);
  restore_fixed (next, running);
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
