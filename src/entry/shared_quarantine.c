#include "entry/shared_quarantine.h"

#include <pthread.h>
#include <stdlib.h>

#include "base/clock.h"
#include "base/log.h"
#include "wire/generated/entry.h"

enum
{
  FINGERPRINTS_MAX = 4096,
  SUSPECT_SECONDS = 60,
  QUARANTINE_SECONDS = 600,
  WIDE_WINDOW_MSEC = 100,
  BROADCAST_TIMEOUT_MSEC = 1000,
};

struct shared_quarantine
{
  shared_quarantine_options_t options;
  pthread_mutex_t lock; /* guards the quarantine */
  quarantine_t *quarantine;
};

static void
encode_marks (entry_mark_t to[QUARANTINE_MESSAGE_MARKS_MAX],
              const quarantine_message_t *from)
{
  for (size_t i = 0; i < from->n; i++)
    {
      const quarantine_mark_t *mark = &from->marks[i];
      to[i] = (entry_mark_t){ .fingerprint_low = mark->fingerprint.low,
                              .fingerprint_high = mark->fingerprint.high,
                              .seen_by = mark->seen_by,
                              .incarnation = mark->incarnation,
                              .number = mark->number,
                              .age = mark->age,
                              .cleared = mark->cleared,
                              .wide = mark->correlated };
    }
}

static void
decode_marks (quarantine_message_t *to, const entry_marks_t *from)
{
  to->n = from->marks.marks_len;
  for (size_t i = 0; i < to->n; i++)
    {
      const entry_mark_t *mark = &from->marks.marks_val[i];
      to->marks[i] = (quarantine_mark_t){ .fingerprint
                                          = { .low = mark->fingerprint_low,
                                              .high = mark->fingerprint_high },
                                          .seen_by = (vm_id_t)mark->seen_by,
                                          .incarnation = mark->incarnation,
                                          .number = mark->number,
                                          .age = mark->age,
                                          .cleared = mark->cleared,
                                          .correlated = mark->wide };
    }
}

/* Runs on the RPC thread.  */
static void
serve_marks (void *closure, rpc_call_t *call)
{
  shared_quarantine_t *shared = closure;
  entry_marks_t args = { 0 };
  if (!rpc_call_args (call, (xdrproc_t)xdr_entry_marks_t, &args))
    return;
  quarantine_message_t message;
  decode_marks (&message, &args);
  pthread_mutex_lock (&shared->lock);
  quarantine_merge (shared->quarantine, &message, clock_monotonic ());
  pthread_mutex_unlock (&shared->lock);
  rpc_reply_void (call);
  xdr_free ((xdrproc_t)xdr_entry_marks_t, (char *)&args);
}

/* Lost messages are not repeated here; the next broadcast covers them.  */
static void
on_broadcast_done (void *closure, const rpc_result_t *result)
{
  (void)closure;
  (void)result;
}

/* Send the present marks to all other entry VMs.  */
static void
broadcast_marks (shared_quarantine_t *shared)
{
  const settings_t *settings = shared->options.settings;
  quarantine_message_t message;
  pthread_mutex_lock (&shared->lock);
  quarantine_write (shared->quarantine, &message, clock_monotonic ());
  pthread_mutex_unlock (&shared->lock);
  if (message.n == 0)
    return;
  entry_mark_t marks[QUARANTINE_MESSAGE_MARKS_MAX];
  encode_marks (marks, &message);
  entry_marks_t args
      = { .marks = { .marks_len = (u_int)message.n, .marks_val = marks } };
  for (size_t i = 0; i < settings->topology.n_vms; i++)
    {
      if (i == shared->options.self)
        continue;
      const rpc_request_t request
          = { .address = settings->topology.vms[i].address,
              .port = settings->ports.entry_peer,
              .program = MULBERRY_ENTRY,
              .version = MULBERRY_ENTRY_V1,
              .procedure = ENTRY_QUARANTINE,
              .encode = (xdrproc_t)xdr_entry_marks_t,
              .args = &args,
              .timeout = BROADCAST_TIMEOUT_MSEC * USEC_PER_MSEC,
              .done = on_broadcast_done };
      rpc_send (shared->options.rpc, &request);
    }
}

shared_quarantine_t *
shared_quarantine_new (const shared_quarantine_options_t *options, err_t *err)
{
  shared_quarantine_t *shared = calloc (1, sizeof *shared);
  if (!shared)
    abort ();
  shared->options = *options;
  const quarantine_options_t quarantine_options
      = { .self = options->self,
          .incarnation = options->incarnation,
          .max_fingerprints = FINGERPRINTS_MAX,
          .suspect_ttl = SUSPECT_SECONDS * USEC_PER_SEC,
          .quarantine_ttl = QUARANTINE_SECONDS * USEC_PER_SEC,
          .correlation_window = WIDE_WINDOW_MSEC * USEC_PER_MSEC };
  shared->quarantine = quarantine_new (&quarantine_options, err);
  if (!shared->quarantine)
    {
      free (shared);
      return NULL;
    }
  pthread_mutex_init (&shared->lock, NULL);
  rpc_register (options->rpc, MULBERRY_ENTRY, MULBERRY_ENTRY_V1,
                ENTRY_QUARANTINE, serve_marks, shared);
  return shared;
}

void
shared_quarantine_free (shared_quarantine_t *shared)
{
  quarantine_free (shared->quarantine);
  pthread_mutex_destroy (&shared->lock);
  free (shared);
}

quarantine_verdict_t
shared_quarantine_check (shared_quarantine_t *shared,
                         fingerprint_t fingerprint, uint32_t backend)
{
  pthread_mutex_lock (&shared->lock);
  quarantine_verdict_t verdict = quarantine_check (
      shared->quarantine, fingerprint, backend, clock_monotonic ());
  pthread_mutex_unlock (&shared->lock);
  return verdict;
}

void
shared_quarantine_on_send (shared_quarantine_t *shared,
                           fingerprint_t fingerprint, uint32_t backend)
{
  pthread_mutex_lock (&shared->lock);
  quarantine_on_send (shared->quarantine, fingerprint, backend,
                      clock_monotonic ());
  pthread_mutex_unlock (&shared->lock);
}

void
shared_quarantine_on_end (shared_quarantine_t *shared,
                          fingerprint_t fingerprint, uint32_t backend,
                          bool whole)
{
  pthread_mutex_lock (&shared->lock);
  quarantine_on_end (shared->quarantine, fingerprint, backend, whole,
                     clock_monotonic ());
  pthread_mutex_unlock (&shared->lock);
}

void
shared_quarantine_on_crash (shared_quarantine_t *shared, uint32_t backend,
                            const fingerprint_t *in_flight, size_t n_in_flight)
{
  pthread_mutex_lock (&shared->lock);
  quarantine_on_crash (shared->quarantine, backend, in_flight, n_in_flight,
                       clock_monotonic ());
  pthread_mutex_unlock (&shared->lock);
  LOG_EVENT (LOG_LEVEL_WARNING, "backend_crashed", LOG_U ("backend", backend),
             LOG_U ("in_flight", n_in_flight));
  broadcast_marks (shared);
}

void
shared_quarantine_rebroadcast (shared_quarantine_t *shared)
{
  pthread_mutex_lock (&shared->lock);
  bool has_marks
      = quarantine_has_unsent (shared->quarantine)
        || quarantine_count (shared->quarantine, clock_monotonic ());
  pthread_mutex_unlock (&shared->lock);
  if (has_marks)
    broadcast_marks (shared);
}
