#include "delivery/quarantine.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/list.h"

typedef struct mark
{
  vm_id_t seen_by;
  uint64_t incarnation;
  uint64_t number;
  usec_t at; /* time of the crash, on this VM's clock */
  bool cleared;
  bool correlated;
  uint64_t written_in_message; /* number of the message that last held the mark
                                  unchanged; 0: none */
} mark_t;

typedef struct suspect
{
  list_t bucket_link;
  list_t age_link;       /* in by_age or in unused */
  list_t in_flight_link; /* in in_flight, while a request of it runs */
  fingerprint_t fingerprint;
  uint32_t backend; /* that its request was last sent to */
  size_t n_marks;
  mark_t marks[QUARANTINE_MARKS_MAX];
} suspect_t;

struct quarantine
{
  quarantine_options_t options;
  suspect_t *suspects;
  list_t *buckets;
  size_t n_buckets; /* a power of two */
  /* Suspects in use, oldest first, except that quarantine_write moves the ones
     that it wrote to the end.  */
  list_t by_age;
  list_t unused;
  list_t in_flight;
  uint64_t n_crashes;
  /* Ring buffer: the times of the last crashes.  */
  usec_t crashed_at[QUARANTINE_CORRELATED_CRASHES];
  uint64_t n_messages;
};

fingerprint_t
quarantine_fingerprint (const char *service, const char *method,
                        const char *path, const void *body, size_t n_body)
{
  const XXH128_hash_t parts[4]
      = { XXH3_128bits (service, strlen (service)),
          XXH3_128bits (method, strlen (method)),
          XXH3_128bits (path, strlen (path)), XXH3_128bits (body, n_body) };
  XXH128_hash_t hash = XXH3_128bits (parts, sizeof parts);
  return (fingerprint_t){ .low = hash.low64, .high = hash.high64 };
}

quarantine_t *
quarantine_new (const quarantine_options_t *options, err_t *err)
{
  size_t n_buckets = 1;
  while (n_buckets < options->max_fingerprints)
    n_buckets *= 2;
  quarantine_t *quarantine = calloc (1, sizeof *quarantine);
  suspect_t *suspects = calloc (options->max_fingerprints, sizeof *suspects);
  list_t *buckets = calloc (n_buckets, sizeof *buckets);
  if (!quarantine || !suspects || !buckets || options->max_fingerprints == 0)
    {
      free (quarantine);
      free (suspects);
      free (buckets);
      err_set (err, ERR_SETTINGS,
               "set the number of fingerprints above 0 and within the "
               "free memory",
               "can't allocate a quarantine of %zu fingerprints",
               options->max_fingerprints);
      return NULL;
    }
  *quarantine = (quarantine_t){ .options = *options,
                                .suspects = suspects,
                                .buckets = buckets,
                                .n_buckets = n_buckets };
  list_init (&quarantine->by_age);
  list_init (&quarantine->unused);
  list_init (&quarantine->in_flight);
  for (size_t i = 0; i < n_buckets; i++)
    list_init (&buckets[i]);
  for (size_t i = 0; i < options->max_fingerprints; i++)
    {
      list_init (&suspects[i].bucket_link);
      list_init (&suspects[i].in_flight_link);
      list_push_back (&quarantine->unused, &suspects[i].age_link);
    }
  return quarantine;
}

void
quarantine_free (quarantine_t *quarantine)
{
  if (!quarantine)
    return;
  free (quarantine->suspects);
  free (quarantine->buckets);
  free (quarantine);
}

static list_t *
bucket_of (const quarantine_t *quarantine, fingerprint_t fingerprint)
{
  return &quarantine->buckets[fingerprint.low & (quarantine->n_buckets - 1)];
}

static suspect_t *
find_suspect (const quarantine_t *quarantine, fingerprint_t fingerprint)
{
  LIST_FOREACH (link, bucket_of (quarantine, fingerprint))
  {
    suspect_t *suspect = LIST_ENTRY (link, suspect_t, bucket_link);
    if (suspect->fingerprint.low == fingerprint.low
        && suspect->fingerprint.high == fingerprint.high)
      return suspect;
  }
  return NULL;
}

static void
drop_suspect (quarantine_t *quarantine, suspect_t *suspect)
{
  list_remove (&suspect->bucket_link);
  list_remove (&suspect->in_flight_link);
  list_remove (&suspect->age_link);
  list_push_front (&quarantine->unused, &suspect->age_link);
}

/* The number of marks that aren't cleared and are younger than TTL.  */
static size_t
count_marks (const suspect_t *suspect, usec_t ttl, bool with_correlated,
             usec_t now)
{
  size_t n = 0;
  for (size_t i = 0; i < suspect->n_marks; i++)
    {
      const mark_t *mark = &suspect->marks[i];
      if (!mark->cleared && now - mark->at < ttl
          && (with_correlated || !mark->correlated))
        n++;
    }
  return n;
}

static bool
is_quarantined (const quarantine_t *quarantine, const suspect_t *suspect,
                usec_t now)
{
  usec_t ttl = quarantine->options.quarantine_ttl;
  return count_marks (suspect, ttl, false, now) >= QUARANTINE_CRASH_THRESHOLD;
}

static bool
is_suspect (const quarantine_t *quarantine, const suspect_t *suspect,
            usec_t now)
{
  usec_t ttl = quarantine->options.suspect_ttl;
  return count_marks (suspect, ttl, true, now) > 0;
}

/* The suspect for FINGERPRINT, added where it is missing.  A full table evicts
   the oldest suspect that isn't quarantined, or the oldest where all are.  */
static suspect_t *
get_suspect (quarantine_t *quarantine, fingerprint_t fingerprint, usec_t now)
{
  suspect_t *suspect = find_suspect (quarantine, fingerprint);
  if (suspect)
    return suspect;
  if (list_empty (&quarantine->unused))
    {
      suspect_t *evicted
          = LIST_ENTRY (quarantine->by_age.next, suspect_t, age_link);
      LIST_FOREACH (link, &quarantine->by_age)
      {
        suspect_t *candidate = LIST_ENTRY (link, suspect_t, age_link);
        if (is_quarantined (quarantine, candidate, now))
          continue;
        evicted = candidate;
        break;
      }
      drop_suspect (quarantine, evicted);
    }
  suspect
      = LIST_ENTRY (list_pop_front (&quarantine->unused), suspect_t, age_link);
  suspect->fingerprint = fingerprint;
  suspect->n_marks = 0;
  list_push_back (bucket_of (quarantine, fingerprint), &suspect->bucket_link);
  list_push_back (&quarantine->by_age, &suspect->age_link);
  return suspect;
}

static mark_t *
find_mark (suspect_t *suspect, const quarantine_mark_t *received)
{
  for (size_t i = 0; i < suspect->n_marks; i++)
    {
      mark_t *mark = &suspect->marks[i];
      if (mark->seen_by == received->seen_by
          && mark->number == received->number
          && mark->incarnation == received->incarnation)
        return mark;
    }
  return NULL;
}

/* Space for a new mark: unused, else that of a cleared mark, else that of
   the oldest mark.  */
static mark_t *
allocate_mark (suspect_t *suspect)
{
  if (suspect->n_marks < QUARANTINE_MARKS_MAX)
    return &suspect->marks[suspect->n_marks++];
  mark_t *place = &suspect->marks[0];
  for (size_t i = 0; i < QUARANTINE_MARKS_MAX; i++)
    {
      mark_t *mark = &suspect->marks[i];
      if (mark->cleared)
        return mark;
      if (mark->at < place->at)
        place = mark;
    }
  return place;
}

static bool
has_suspect_in_flight (const quarantine_t *quarantine, uint32_t backend)
{
  LIST_FOREACH (link, &quarantine->in_flight)
  {
    if (LIST_ENTRY (link, suspect_t, in_flight_link)->backend == backend)
      return true;
  }
  return false;
}

quarantine_verdict_t
quarantine_check (const quarantine_t *quarantine, fingerprint_t fingerprint,
                  uint32_t backend, usec_t now)
{
  const suspect_t *suspect = find_suspect (quarantine, fingerprint);
  if (!suspect)
    return QUARANTINE_ALLOW;
  if (is_quarantined (quarantine, suspect, now))
    return QUARANTINE_REFUSE;
  if (!is_suspect (quarantine, suspect, now))
    return QUARANTINE_ALLOW;
  if (!list_empty (&suspect->in_flight_link)
      || has_suspect_in_flight (quarantine, backend))
    return QUARANTINE_TRY_ELSEWHERE;
  return QUARANTINE_ALLOW_ALONE;
}

void
quarantine_on_send (quarantine_t *quarantine, fingerprint_t fingerprint,
                    uint32_t backend, usec_t now)
{
  suspect_t *suspect = find_suspect (quarantine, fingerprint);
  if (!suspect || !is_suspect (quarantine, suspect, now))
    return;
  suspect->backend = backend;
  list_remove (&suspect->in_flight_link);
  list_push_back (&quarantine->in_flight, &suspect->in_flight_link);
}

void
quarantine_on_end (quarantine_t *quarantine, fingerprint_t fingerprint,
                   uint32_t backend, bool complete, usec_t now)
{
  suspect_t *suspect = find_suspect (quarantine, fingerprint);
  if (!suspect)
    return;
  if (suspect->backend == backend)
    list_remove (&suspect->in_flight_link);
  if (!complete || is_quarantined (quarantine, suspect, now))
    return;
  for (size_t i = 0; i < suspect->n_marks; i++)
    {
      mark_t *mark = &suspect->marks[i];
      if (mark->cleared)
        continue;
      mark->cleared = true;
      mark->written_in_message = 0;
    }
}

/* Count a crash.  Returns true where it is correlated: as many crashes as
   QUARANTINE_CORRELATED_CRASHES lie within the window.  */
static bool
count_crash (quarantine_t *quarantine, usec_t now)
{
  size_t at = quarantine->n_crashes % QUARANTINE_CORRELATED_CRASHES;
  quarantine->crashed_at[at] = now;
  quarantine->n_crashes++;
  if (quarantine->n_crashes < QUARANTINE_CORRELATED_CRASHES)
    return false;
  size_t oldest = quarantine->n_crashes % QUARANTINE_CORRELATED_CRASHES;
  return now - quarantine->crashed_at[oldest]
         < quarantine->options.correlation_window;
}

/* Mark this VM's own crash records within the window as correlated.  */
static void
mark_as_correlated (quarantine_t *quarantine, usec_t now)
{
  LIST_FOREACH (link, &quarantine->by_age)
  {
    suspect_t *suspect = LIST_ENTRY (link, suspect_t, age_link);
    for (size_t i = 0; i < suspect->n_marks; i++)
      {
        mark_t *mark = &suspect->marks[i];
        bool is_own = mark->seen_by == quarantine->options.self
                      && mark->incarnation == quarantine->options.incarnation;
        if (!is_own || mark->correlated
            || now - mark->at >= quarantine->options.correlation_window)
          continue;
        mark->correlated = true;
        mark->written_in_message = 0;
      }
  }
}

bool
quarantine_on_crash (quarantine_t *quarantine, uint32_t backend,
                     const fingerprint_t *in_flight, size_t n_in_flight,
                     usec_t now)
{
  bool is_correlated = count_crash (quarantine, now);
  for (size_t i = 0; i < n_in_flight; i++)
    {
      suspect_t *suspect = get_suspect (quarantine, in_flight[i], now);
      if (suspect->backend == backend)
        list_remove (&suspect->in_flight_link);
      quarantine_mark_t seen
          = { .seen_by = quarantine->options.self,
              .incarnation = quarantine->options.incarnation,
              .number = quarantine->n_crashes };
      if (find_mark (suspect, &seen))
        continue;
      *allocate_mark (suspect)
          = (mark_t){ .seen_by = quarantine->options.self,
                      .incarnation = quarantine->options.incarnation,
                      .number = quarantine->n_crashes,
                      .at = now };
    }
  if (is_correlated)
    mark_as_correlated (quarantine, now);
  return n_in_flight > 0;
}

static void
write_mark (quarantine_t *quarantine, quarantine_message_t *message,
            const suspect_t *suspect, mark_t *mark, usec_t now)
{
  mark->written_in_message = quarantine->n_messages;
  message->marks[message->n++]
      = (quarantine_mark_t){ .fingerprint = suspect->fingerprint,
                             .seen_by = mark->seen_by,
                             .incarnation = mark->incarnation,
                             .number = mark->number,
                             .age = now - mark->at,
                             .cleared = mark->cleared,
                             .correlated = mark->correlated };
}

/* Write all marks that this message doesn't hold yet (where ALL is set), or
   only those that are new or changed since they were last written.  */
static void
write_suspect (quarantine_t *quarantine, quarantine_message_t *message,
               suspect_t *suspect, bool all, usec_t now)
{
  for (size_t i = 0; i < suspect->n_marks; i++)
    {
      mark_t *mark = &suspect->marks[i];
      bool is_due = all ? mark->written_in_message != quarantine->n_messages
                        : mark->written_in_message == 0;
      if (is_due && message->n < QUARANTINE_MESSAGE_MARKS_MAX)
        write_mark (quarantine, message, suspect, mark, now);
    }
}

void
quarantine_write (quarantine_t *quarantine, quarantine_message_t *message,
                  usec_t now)
{
  message->n = 0;
  quarantine->n_messages++;
  LIST_FOREACH (link, &quarantine->by_age)
  {
    suspect_t *suspect = LIST_ENTRY (link, suspect_t, age_link);
    write_suspect (quarantine, message, suspect, false, now);
  }
  for (size_t i = 0; i < quarantine->options.max_fingerprints
                     && message->n < QUARANTINE_MESSAGE_MARKS_MAX;
       i++)
    {
      list_t *link = list_pop_front (&quarantine->by_age);
      if (!link)
        return;
      list_push_back (&quarantine->by_age, link);
      write_suspect (quarantine, message,
                     LIST_ENTRY (link, suspect_t, age_link), true, now);
    }
}

static void
merge_mark (quarantine_t *quarantine, const quarantine_mark_t *received,
            usec_t now)
{
  usec_t ttl = quarantine->options.quarantine_ttl;
  if (ttl < quarantine->options.suspect_ttl)
    ttl = quarantine->options.suspect_ttl;
  if (received->age < 0 || received->age >= ttl)
    return;
  suspect_t *suspect = get_suspect (quarantine, received->fingerprint, now);
  mark_t *mark = find_mark (suspect, received);
  if (!mark)
    {
      mark = allocate_mark (suspect);
      *mark = (mark_t){ .seen_by = received->seen_by,
                        .incarnation = received->incarnation,
                        .number = received->number,
                        .at = now - received->age };
    }
  if (now - received->age < mark->at)
    mark->at = now - received->age;
  if ((received->cleared && !mark->cleared)
      || (received->correlated && !mark->correlated))
    mark->written_in_message = 0;
  mark->cleared = mark->cleared || received->cleared;
  mark->correlated = mark->correlated || received->correlated;
}

void
quarantine_merge (quarantine_t *quarantine,
                  const quarantine_message_t *message, usec_t now)
{
  for (size_t i = 0; i < message->n && i < QUARANTINE_MESSAGE_MARKS_MAX; i++)
    merge_mark (quarantine, &message->marks[i], now);
}

bool
quarantine_has_unsent (const quarantine_t *quarantine)
{
  LIST_FOREACH (link, &quarantine->by_age)
  {
    const suspect_t *suspect = LIST_ENTRY (link, suspect_t, age_link);
    for (size_t i = 0; i < suspect->n_marks; i++)
      if (suspect->marks[i].written_in_message == 0)
        return true;
  }
  return false;
}

size_t
quarantine_count (const quarantine_t *quarantine, usec_t now)
{
  size_t n = 0;
  LIST_FOREACH (link, &quarantine->by_age)
  {
    if (is_quarantined (quarantine, LIST_ENTRY (link, suspect_t, age_link),
                        now))
      n++;
  }
  return n;
}
