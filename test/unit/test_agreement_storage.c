/* Unit tests of the storage: which records survive a crash, and which damage
   makes storage_open fail.  */

#include <fcntl.h>
#include <glib.h>
#include <signal.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include "../support/data_folder.h"
#include "agreement/storage.h"

enum
{
  CONTENT_BYTES = 700,
};

static void
image_clear (replica_image_t *image)
{
  blob_unref (image->snapshot.data);
  LIST_FOREACH (link, &image->log)
  entry_unref (LIST_ENTRY (link, entry_t, link));
  list_init (&image->log);
}

static log_index_t
image_last (const replica_image_t *image)
{
  if (list_empty (&image->log))
    return image->snapshot.index;
  return LIST_ENTRY (image->log.prev, entry_t, link)->index;
}

static bool
write_persist (storage_t *storage, const persist_t *persist, err_t *err)
{
  blob_t *record = storage_encode (persist);
  bool ok = storage_write (storage, &record, 1, persist->replaces_log, err);
  blob_unref (record);
  return ok;
}

static bool
write_snapshot (storage_t *storage, log_index_t index, err_t *err)
{
  persist_t persist = { .incarnation = 7,
                        .vote = { .term = 3, .slot = 1, .incarnation = 9 },
                        .replaces_log = true };
  persist.snapshot.index = index;
  persist.snapshot.config.n_slots = 3;
  persist.snapshot.data = blob_new ("state", 5);
  bool ok = write_persist (storage, &persist, err);
  blob_unref (persist.snapshot.data);
  return ok;
}

static bool
write_entry (storage_t *storage, log_index_t index, term_t term, err_t *err)
{
  name_t name = { "operator" };
  blob_t *content = blob_new (NULL, CONTENT_BYTES);
  memset (content->bytes, 'x', content->length);
  entry_t *entry = entry_new_sheet (index, &name, content);
  entry->index = index;
  entry->term = term;
  persist_t persist = { .incarnation = 7,
                        .vote = { .term = term, .slot = SLOT_NONE },
                        .keep_index = index - 1,
                        .n_entries = 1,
                        .entries = &entry };
  bool ok = write_persist (storage, &persist, err);
  entry_unref (entry);
  blob_unref (content);
  return ok;
}

/* A new data folder with a snapshot at index 4 and N entries after it.  */
static char *
folder_with (log_index_t n)
{
  char *folder = folder_new ();
  replica_image_t image;
  storage_t *storage = storage_open (folder, &image, NULL);
  g_assert_nonnull (storage);
  g_assert_cmpuint (image.incarnation, ==, 0);
  g_assert_true (write_snapshot (storage, 4, NULL));
  for (log_index_t i = 5; i < 5 + n; i++)
    g_assert_true (write_entry (storage, i, 3, NULL));
  storage_close (storage);
  return folder;
}

static char *
log_read (const char *folder, gsize *length)
{
  char *path = g_build_filename (folder, "log", NULL);
  char *data = NULL;
  g_assert_true (g_file_get_contents (path, &data, length, NULL));
  g_free (path);
  return data;
}

static void
log_write_bytes (const char *folder, const char *data, gsize length)
{
  char *path = g_build_filename (folder, "log", NULL);
  g_assert_true (g_file_set_contents (path, data, (gssize)length, NULL));
  g_free (path);
}

/* The last index stored in FOLDER; the test fails if it can't be opened.  */
static log_index_t
reopen (const char *folder)
{
  replica_image_t image;
  err_t err = { 0 };
  storage_t *storage = storage_open (folder, &image, &err);
  g_assert_cmpstr (err.message, ==, "");
  g_assert_cmpuint (image.incarnation, ==, 7);
  log_index_t last = image_last (&image);
  image_clear (&image);
  storage_close (storage);
  return last;
}

static void
test_written_state_is_read_back (void)
{
  char *folder = folder_with (3);
  replica_image_t image;
  storage_t *storage = storage_open (folder, &image, NULL);
  g_assert_cmpuint (image_last (&image), ==, 7);
  g_assert_cmpuint (image.snapshot.index, ==, 4);
  g_assert_cmpmem (image.snapshot.data->bytes, image.snapshot.data->length,
                   "state", 5);
  image_clear (&image);
  g_assert_true (write_entry (storage, 6, 4, NULL));
  storage_close (storage);
  g_assert_cmpuint (reopen (folder), ==, 6);
  folder_free (folder);
}

/* Two processes must not write to one data folder, and the remedy names that
   and not the disk.  */
static void
test_folder_has_one_owner (void)
{
  char *folder = folder_with (1);
  replica_image_t image;
  replica_image_t other;
  err_t err = { 0 };
  storage_t *storage = storage_open (folder, &image, NULL);
  g_assert_null (storage_open (folder, &other, &err));
  g_assert_cmpint (err.kind, ==, ERR_STORAGE);
  g_assert_nonnull (strstr (err.message, "another process"));
  g_assert_nonnull (strstr (err.remedy, "stop the other process"));
  image_clear (&image);
  storage_close (storage);
  folder_free (folder);
}

/* A crash during a write leaves the last record short, or of full length with
   sectors of zeros.  Either must be truncated, and the records before it
   kept.  */
static void
test_torn_tail_is_truncated (void)
{
  char *folder = folder_with (2);
  gsize length = 0;
  char *data = log_read (folder, &length);
  char *short_folder = folder_with (1);
  gsize before = 0;
  g_free (log_read (short_folder, &before));
  folder_free (short_folder);
  for (gsize cut = before; cut < length; cut += 7)
    {
      log_write_bytes (folder, data, cut);
      g_assert_cmpuint (reopen (folder), ==, 5);
    }
  for (gsize cut = before; cut + 512 < length; cut += 64)
    {
      char *torn = g_memdup2 (data, length);
      memset (torn + cut, 0, length - cut);
      log_write_bytes (folder, torn, length);
      g_assert_cmpuint (reopen (folder), ==, 5);
      g_free (torn);
    }
  g_free (data);
  folder_free (folder);
}

/* A flipped bit in a synced record must not be taken for an unfinished write,
   which would drop accepted entries.  */
static void
test_damaged_synced_record_fails_open (void)
{
  char *folder = folder_with (3);
  gsize length = 0;
  char *data = log_read (folder, &length);
  for (gsize at = 0; at < length; at += 5)
    {
      char *damaged = g_memdup2 (data, length);
      damaged[at] ^= 0x10;
      log_write_bytes (folder, damaged, length);
      g_free (damaged);
      replica_image_t image;
      err_t err = { 0 };
      storage_t *storage = storage_open (folder, &image, &err);
      if (storage)
        {
          /* A flip in padding or reserved bytes loses nothing.  */
          g_assert_cmpuint (image_last (&image), ==, 7);
          image_clear (&image);
          storage_close (storage);
          continue;
        }
      g_assert_cmpint (err.kind, ==, ERR_STORAGE);
      g_assert_cmpstr (err.remedy, !=, "");
    }
  log_write_bytes (folder, data, 0);
  replica_image_t image;
  g_assert_null (storage_open (folder, &image, NULL));
  g_free (data);
  folder_free (folder);
}

/* A crash while the log is replaced leaves a partial log.new.  */
static void
test_partial_new_log_is_ignored (void)
{
  char *folder = folder_with (2);
  char *path = g_build_filename (folder, "log.new", NULL);
  g_assert_true (g_file_set_contents (path, "half", 4, NULL));
  g_free (path);
  g_assert_cmpuint (reopen (folder), ==, 6);
  folder_free (folder);
}

/* After a failed write nothing more may be written, even when there is space
   again.  A file size limit simulates the full disk.  */
static void
test_full_disk_stops_all_writes (void)
{
  char *folder = folder_with (1);
  replica_image_t image;
  storage_t *storage = storage_open (folder, &image, NULL);
  image_clear (&image);
  signal (SIGXFSZ, SIG_IGN);
  struct rlimit old;
  getrlimit (RLIMIT_FSIZE, &old);
  struct rlimit full = { .rlim_cur = storage_bytes (storage) + 300,
                         .rlim_max = old.rlim_max };
  setrlimit (RLIMIT_FSIZE, &full);
  err_t err = { 0 };
  g_assert_false (write_entry (storage, 6, 3, &err));
  setrlimit (RLIMIT_FSIZE, &old);
  g_assert_cmpint (err.kind, ==, ERR_STORAGE);
  g_assert_false (write_entry (storage, 6, 3, &err));
  storage_close (storage);
  g_assert_cmpuint (reopen (folder), ==, 5);
  folder_free (folder);
}

static void
test_unusable_folder_fails (void)
{
  const char *folders[] = { "/proc/self", "/nowhere" };
  for (int i = 0; i < 2; i++)
    {
      replica_image_t image;
      err_t err = { 0 };
      storage_t *storage = storage_open (folders[i], &image, &err);
      if (storage)
        {
          g_assert_false (write_snapshot (storage, 1, &err));
          storage_close (storage);
        }
      g_assert_cmpint (err.kind, ==, ERR_STORAGE);
    }
}

/* Guards against a process that ends when it writes the snapshot of a cluster
   with the most replicas possible.  */
static void
test_snapshot_of_largest_cluster (void)
{
  char *folder = folder_new ();
  replica_image_t image;
  storage_t *storage = storage_open (folder, &image, NULL);
  persist_t persist = { .incarnation = 7, .replaces_log = true };
  persist.snapshot.index = 4;
  persist.snapshot.config.n_slots = REPLICAS_MAX;
  for (int slot = 0; slot < REPLICAS_MAX; slot++)
    persist.snapshot.config.incarnation[slot] = 1000 + (uint64_t)slot;
  g_assert_true (write_persist (storage, &persist, NULL));
  storage_close (storage);
  storage = storage_open (folder, &image, NULL);
  g_assert_nonnull (storage);
  g_assert_cmpmem (&image.snapshot.config, sizeof image.snapshot.config,
                   &persist.snapshot.config, sizeof persist.snapshot.config);
  storage_close (storage);
  image_clear (&image);
  folder_free (folder);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/agreement/storage/round-trip",
                   test_written_state_is_read_back);
  g_test_add_func ("/agreement/storage/owner", test_folder_has_one_owner);
  g_test_add_func ("/agreement/storage/torn", test_torn_tail_is_truncated);
  g_test_add_func ("/agreement/storage/damage",
                   test_damaged_synced_record_fails_open);
  g_test_add_func ("/agreement/storage/unfinished",
                   test_partial_new_log_is_ignored);
  g_test_add_func ("/agreement/storage/full", test_full_disk_stops_all_writes);
  g_test_add_func ("/agreement/storage/folder", test_unusable_folder_fails);
  g_test_add_func ("/agreement/storage/largest",
                   test_snapshot_of_largest_cluster);
  return g_test_run ();
}
