#include "entry/version_feed.h"

#include <pthread.h>
#include <stdlib.h>
#include <time.h>

#include "base/log.h"
#include "shift/sheet.h"
#include "wire/generated/control.h"

enum
{
  NSEC_PER_USEC = 1000,
  NSEC_PER_SEC = 1000000000,
};

struct version_feed
{
  version_feed_options_t options;
  pthread_t thread;
  pthread_mutex_t lock;
  pthread_cond_t stopped;
  bool stop;
};

/* Runs on the RPC thread.  */
static void
on_pulled (void *closure, const rpc_result_t *result)
{
  version_feed_t *feed = closure;
  control_pull_result_t pulled = { 0 };
  if (!rpc_result_decode (result, (xdrproc_t)xdr_control_pull_result_t,
                          &pulled))
    return;
  if (pulled.kind == CONTROL_PULL_FULL)
    {
      const control_full_t *full = &pulled.control_pull_result_t_u.full;
      sheet_faults_t faults;
      err_t err = { 0 };
      sheet_t *sheet
          = sheet_parse (full->sheet.sheet_val, full->sheet.sheet_len,
                         &feed->options.settings->topology, &faults, &err);
      if (!sheet)
        log_error (LOG_LEVEL_ERROR, "sheet_not_understood", &err);
      else if (route_table_apply (feed->options.routes, sheet))
        LOG_EVENT (LOG_LEVEL_INFO, "sheet_in_force",
                   LOG_U ("number", full->sheet_version));
    }
  xdr_free ((xdrproc_t)xdr_control_pull_result_t, (char *)&pulled);
}

static void
pull_all (version_feed_t *feed)
{
  const settings_t *settings = feed->options.settings;
  control_pull_args_t args
      = { .sheet_version = route_table_version (feed->options.routes) };
  for (size_t i = 0; i < settings->topology.n_vms; i++)
    {
      const vm_t *vm = &settings->topology.vms[i];
      if (!vm->has_control)
        continue;
      const rpc_request_t request
          = { .address = vm->address,
              .port = settings->ports.control_peer,
              .program = MULBERRY_CONTROL,
              .version = MULBERRY_CONTROL_V1,
              .procedure = CONTROL_PULL,
              .encode = (xdrproc_t)xdr_control_pull_args_t,
              .args = &args,
              .timeout = settings->limits.pull_interval,
              .done = on_pulled,
              .closure = feed };
      rpc_send (feed->options.rpc, &request);
    }
}

static void *
feed_run (void *closure)
{
  version_feed_t *feed = closure;
  usec_t interval = feed->options.settings->limits.pull_interval;
  pthread_mutex_lock (&feed->lock);
  while (!feed->stop)
    {
      pull_all (feed);
      struct timespec until;
      clock_gettime (CLOCK_REALTIME, &until);
      until.tv_nsec += (interval % USEC_PER_SEC) * NSEC_PER_USEC;
      until.tv_sec += interval / USEC_PER_SEC + until.tv_nsec / NSEC_PER_SEC;
      until.tv_nsec %= NSEC_PER_SEC;
      pthread_cond_timedwait (&feed->stopped, &feed->lock, &until);
    }
  pthread_mutex_unlock (&feed->lock);
  return NULL;
}

version_feed_t *
version_feed_start (const version_feed_options_t *options, err_t *err)
{
  version_feed_t *feed = calloc (1, sizeof *feed);
  if (!feed)
    abort ();
  feed->options = *options;
  pthread_mutex_init (&feed->lock, NULL);
  pthread_cond_init (&feed->stopped, NULL);
  if (pthread_create (&feed->thread, NULL, feed_run, feed) == 0)
    return feed;
  err_set (err, ERR_IO, "raise the limit of threads",
           "no thread for the version feed");
  free (feed);
  return NULL;
}

void
version_feed_stop (version_feed_t *feed)
{
  pthread_mutex_lock (&feed->lock);
  feed->stop = true;
  pthread_cond_signal (&feed->stopped);
  pthread_mutex_unlock (&feed->lock);
  pthread_join (feed->thread, NULL);
}

void
version_feed_free (version_feed_t *feed)
{
  pthread_mutex_destroy (&feed->lock);
  pthread_cond_destroy (&feed->stopped);
  free (feed);
}
