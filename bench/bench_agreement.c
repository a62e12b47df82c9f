/* bench-agreement: the replicated log apart from the network: how long a
   cluster is without a leader, what its messages cost, what the disk costs
   and how fast a replica starts again.  Writes under the folder that is its
   only argument.  */

#include <stdio.h>
#include <sys/stat.h>

#include "../test/support/agreement_cluster.h"
#include "agreement/storage.h"
#include "base/clock.h"

enum
{
  KILLS = 200,
  IDLE_SECONDS = 60,
  CHANGES = 500,
  SHEET_BYTES = 8 * 1024,
  TICKS_PER_SECOND = 40,
};

static int
compare_usec (const void *a, const void *b)
{
  usec_t x = *(const usec_t *)a;
  usec_t y = *(const usec_t *)b;
  return x < y ? -1 : x > y;
}

static void
print_quantiles (const char *what, usec_t *spans, size_t n)
{
  qsort (spans, n, sizeof spans[0], compare_usec);
  printf ("%s p50_us=%lld p99_us=%lld max_us=%lld n=%zu\n", what,
          (long long)spans[n / 2], (long long)spans[n * 99 / 100],
          (long long)spans[n - 1], n);
}

static cluster_t *
settled (uint64_t seed)
{
  cluster_t *cluster = malloc (sizeof *cluster);
  if (!cluster)
    abort ();
  cluster_init (cluster, seed);
  cluster_settle (cluster);
  return cluster;
}

static void
release (cluster_t *cluster)
{
  cluster_free (cluster);
  free (cluster);
}

/* In the cluster's own time; a message takes no time.  */
static void
bench_leaderless (void)
{
  usec_t spans[KILLS];
  for (size_t i = 0; i < KILLS; i++)
    {
      cluster_t *cluster = settled (i + 1);
      cluster_crash (cluster, cluster_leader (cluster), 0);
      usec_t start = cluster->now;
      while (cluster_leader (cluster) == SLOT_NONE)
        cluster_round (cluster);
      spans[i] = cluster->now - start;
      release (cluster);
    }
  print_quantiles ("without_leader", spans, KILLS);
}

static void
bench_bytes (const char *what, int changes)
{
  cluster_t *cluster = settled (1);
  uint64_t bytes = cluster->n_bytes;
  uint64_t messages = cluster->n_messages;
  int rounds = IDLE_SECONDS * TICKS_PER_SECOND;
  for (int i = 0; i < rounds; i++)
    {
      if (changes > 0 && i % (rounds / changes) == 0)
        cluster_submit (cluster, cluster_leader (cluster),
                        cluster->highest + 1, LARGE_CONTENT);
      cluster_round (cluster);
    }
  printf (
      "%s bytes_s_replica=%llu messages_s_replica=%llu changes=%d "
      "seconds=%d\n",
      what,
      (unsigned long long)((cluster->n_bytes - bytes) / IDLE_SECONDS / NODES),
      (unsigned long long)((cluster->n_messages - messages) / IDLE_SECONDS
                           / NODES),
      changes, IDLE_SECONDS);
  release (cluster);
}

static void
write_record (storage_t *storage, const persist_t *persist)
{
  blob_t *record = storage_encode (persist);
  err_t err = { 0 };
  if (!storage_write (storage, &record, 1, persist->replaces_log, &err))
    {
      fprintf (stderr, "%s; %s\n", err.message, err.remedy);
      exit (EXIT_FAILURE);
    }
  blob_unref (record);
}

static storage_t *
open_storage (const char *folder, usec_t *took, size_t *n_entries)
{
  replica_image_t image;
  err_t err = { 0 };
  usec_t start = clock_monotonic ();
  storage_t *storage = storage_open (folder, &image, &err);
  *took = clock_monotonic () - start;
  if (!storage)
    {
      fprintf (stderr, "%s; %s\n", err.message, err.remedy);
      exit (EXIT_FAILURE);
    }
  *n_entries = 0;
  LIST_FOREACH (link, &image.log)
  {
    entry_unref (LIST_ENTRY (link, entry_t, link));
    ++*n_entries;
  }
  blob_unref (image.snapshot.data);
  return storage;
}

static entry_t *
sheet_entry (log_index_t index)
{
  name_t name = { "operator" };
  blob_t *content = blob_new (NULL, SHEET_BYTES);
  memset (content->bytes, 'x', content->length);
  entry_t *entry = entry_new_sheet (index, &name, content);
  entry->index = index;
  blob_unref (content);
  return entry;
}

/* CHANGES synced one by one, with a snapshot after every EVERY.  */
static void
bench_disk (const char *root, const char *name, log_index_t every)
{
  char folder[512];
  snprintf (folder, sizeof folder, "%s/%s", root, name);
  mkdir (folder, 0700);
  usec_t took = 0;
  size_t n_entries = 0;
  storage_t *storage = open_storage (folder, &took, &n_entries);
  sheet_registry_t *registry = sheet_registry_new ();
  persist_t first = { .incarnation = 1, .replaces_log = true };
  write_record (storage, &first);
  usec_t spans[CHANGES];
  for (log_index_t i = 1; i <= CHANGES; i++)
    {
      entry_t *entry = sheet_entry (i);
      persist_t persist = { .incarnation = 1,
                            .keep_index = i - 1,
                            .n_entries = 1,
                            .entries = &entry };
      usec_t start = clock_monotonic ();
      write_record (storage, &persist);
      spans[i - 1] = clock_monotonic () - start;
      sheet_registry_apply (registry, i, &entry->body.sheet);
      entry_unref (entry);
      if (every == 0 || i % every != 0)
        continue;
      persist_t snapshot = { .incarnation = 1, .replaces_log = true };
      snapshot.snapshot.index = i;
      snapshot.snapshot.data = sheet_registry_save (registry);
      write_record (storage, &snapshot);
      blob_unref (snapshot.snapshot.data);
    }
  uint64_t bytes = storage_bytes (storage);
  storage_close (storage);
  sheet_registry_free (registry);
  print_quantiles ("write_and_sync", spans, CHANGES);
  storage_close (open_storage (folder, &took, &n_entries));
  printf ("restart snapshots=%s changes=%d log_bytes=%llu entries=%zu "
          "open_us=%lld\n",
          name, CHANGES, (unsigned long long)bytes, n_entries,
          (long long)took);
}

int
main (int argc, char **argv)
{
  if (argc != 2)
    {
      fprintf (stderr, "usage: bench-agreement FOLDER\n");
      return 2;
    }
  bench_leaderless ();
  bench_bytes ("idle", 0);
  bench_bytes ("changing", IDLE_SECONDS / 2);
  bench_disk (argv[1], "with", 64);
  bench_disk (argv[1], "without", 0);
  return EXIT_SUCCESS;
}
