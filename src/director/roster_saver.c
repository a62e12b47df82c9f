#include "director/roster_saver.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"
#include "base/log.h"
#include "director/roster_file.h"
#include "settings/settings_defs.h"

struct roster_saver
{
  pthread_t thread;
  pthread_mutex_t lock; /* guards what follows */
  pthread_cond_t changed;
  bool is_stopping;
  roster_saver_state_t state;
  /* Of the save in progress; not changed meanwhile.  */
  char folder[SETTINGS_PATH_BYTES];
  roster_t roster;
};

/* A save that takes longer is logged.  */
#define SLOW_SAVE_TIME USEC_PER_SEC

static roster_saver_state_t
save (const roster_saver_t *saver)
{
  err_t err = { 0 };
  usec_t started_at = clock_monotonic ();
  bool is_saved = roster_file_save (saver->folder, &saver->roster, &err);
  usec_t taken = clock_monotonic () - started_at;
  if (taken >= SLOW_SAVE_TIME)
    LOG_EVENT (LOG_LEVEL_WARNING, "roster_save_slow",
               LOG_I ("ms", taken / USEC_PER_MSEC));
  if (is_saved)
    return ROSTER_SAVER_SAVED;
  log_error (LOG_LEVEL_ERROR, "roster_not_saved", &err);
  return ROSTER_SAVER_FAILED;
}

static void *
saver_run (void *closure)
{
  roster_saver_t *saver = closure;
  pthread_mutex_lock (&saver->lock);
  for (;;)
    {
      while (saver->state != ROSTER_SAVER_BUSY && !saver->is_stopping)
        pthread_cond_wait (&saver->changed, &saver->lock);
      if (saver->state != ROSTER_SAVER_BUSY)
        break;
      pthread_mutex_unlock (&saver->lock);
      roster_saver_state_t state = save (saver);
      pthread_mutex_lock (&saver->lock);
      saver->state = state;
    }
  pthread_mutex_unlock (&saver->lock);
  return NULL;
}

roster_saver_t *
roster_saver_start (err_t *err)
{
  roster_saver_t *saver = calloc (1, sizeof *saver);
  if (!saver)
    abort ();
  pthread_mutex_init (&saver->lock, NULL);
  pthread_cond_init (&saver->changed, NULL);
  if (pthread_create (&saver->thread, NULL, saver_run, saver) == 0)
    return saver;
  err_set (err, ERR_IO, "raise the limit on threads",
           "cannot create the thread that stores the roster");
  pthread_cond_destroy (&saver->changed);
  pthread_mutex_destroy (&saver->lock);
  free (saver);
  return NULL;
}

void
roster_saver_stop (roster_saver_t *saver)
{
  pthread_mutex_lock (&saver->lock);
  saver->is_stopping = true;
  pthread_cond_signal (&saver->changed);
  pthread_mutex_unlock (&saver->lock);
  pthread_join (saver->thread, NULL);
  pthread_cond_destroy (&saver->changed);
  pthread_mutex_destroy (&saver->lock);
  free (saver);
}

bool
roster_saver_save (roster_saver_t *saver, const char *folder,
                   const roster_t *roster)
{
  pthread_mutex_lock (&saver->lock);
  bool is_idle = saver->state == ROSTER_SAVER_IDLE;
  if (is_idle)
    {
      snprintf (saver->folder, sizeof saver->folder, "%s", folder);
      saver->roster = *roster;
      saver->state = ROSTER_SAVER_BUSY;
      pthread_cond_signal (&saver->changed);
    }
  pthread_mutex_unlock (&saver->lock);
  return is_idle;
}

roster_saver_state_t
roster_saver_poll (roster_saver_t *saver)
{
  pthread_mutex_lock (&saver->lock);
  roster_saver_state_t state = saver->state;
  if (state != ROSTER_SAVER_BUSY)
    saver->state = ROSTER_SAVER_IDLE;
  pthread_mutex_unlock (&saver->lock);
  return state;
}
