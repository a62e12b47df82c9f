/* Unit tests of a data folder on a full disk.  Guards against records that
   were synced and are gone, or a folder that can't be opened, once there is
   room. The linker puts the functions below in the place of libc's.  */

#include <apr_general.h>
#include <errno.h>
#include <glib.h>
#include <string.h>
#include <sys/types.h>

#include "../support/data_folder.h"
#include "agreement/replica_disk.h"

enum
{
  INCARNATION = 7,
  LAST_INDEX = 12,
  SNAPSHOT_EACH = 4, /* entries */
  CALLS_MAX = 400,
};

typedef enum
{
  FAULT_ONCE,  /* that call alone fails */
  FAULT_STAYS, /* that call and all later ones fail */
  FAULT_SHORT, /* as FAULT_STAYS; a write takes half of its bytes before */
  FAULT_KINDS,
} fault_kind_t;

static struct
{
  fault_kind_t kind;
  int at; /* the number of the call that fails; 0: none */
  int n;  /* calls so far */
} fault;

/* The names that the linker's --wrap knows the functions by.  */
ssize_t real_pwrite (int fd, const void *bytes, size_t n,
                     off_t at) __asm__("__real_pwrite");
int real_fsync (int fd) __asm__("__real_fsync");
int real_fdatasync (int fd) __asm__("__real_fdatasync");
int real_ftruncate (int fd, off_t length) __asm__("__real_ftruncate");
int real_renameat (int from_folder, const char *from, int to_folder,
                   const char *to) __asm__("__real_renameat");
ssize_t wrap_pwrite (int fd, const void *bytes, size_t n,
                     off_t at) __asm__("__wrap_pwrite");
int wrap_fsync (int fd) __asm__("__wrap_fsync");
int wrap_fdatasync (int fd) __asm__("__wrap_fdatasync");
int wrap_ftruncate (int fd, off_t length) __asm__("__wrap_ftruncate");
int wrap_renameat (int from_folder, const char *from, int to_folder,
                   const char *to) __asm__("__wrap_renameat");

static bool
call_fails (void)
{
  fault.n++;
  bool fails = fault.at > 0
               && (fault.kind == FAULT_ONCE ? fault.n == fault.at
                                            : fault.n >= fault.at);
  if (fails)
    errno = ENOSPC;
  return fails;
}

ssize_t
wrap_pwrite (int fd, const void *bytes, size_t n, off_t at)
{
  if (!call_fails ())
    return real_pwrite (fd, bytes, n, at);
  if (fault.kind != FAULT_SHORT || fault.n > fault.at || n < 2)
    return -1;
  return real_pwrite (fd, bytes, n / 2, at);
}

int
wrap_fsync (int fd)
{
  return call_fails () ? -1 : real_fsync (fd);
}

int
wrap_fdatasync (int fd)
{
  return call_fails () ? -1 : real_fdatasync (fd);
}

int
wrap_ftruncate (int fd, off_t length)
{
  return call_fails () ? -1 : real_ftruncate (fd, length);
}

int
wrap_renameat (int from_folder, const char *from, int to_folder,
               const char *to)
{
  return call_fails () ? -1 : real_renameat (from_folder, from, to_folder, to);
}

static void
fault_set (fault_kind_t kind, int at)
{
  fault.kind = kind;
  fault.at = at;
  fault.n = 0;
}

static bool
write_record (storage_t *storage, const persist_t *persist)
{
  blob_t *record = storage_encode (persist);
  bool ok = storage_write (storage, &record, 1, persist->replaces_log, NULL);
  blob_unref (record);
  return ok;
}

static bool
write_snapshot (storage_t *storage, log_index_t index)
{
  persist_t persist = { .incarnation = INCARNATION,
                        .vote = { .term = index, .slot = SLOT_NONE },
                        .replaces_log = true };
  persist.snapshot.index = index;
  persist.snapshot.config.n_slots = 3;
  persist.snapshot.data = blob_new ("state", 5);
  bool ok = write_record (storage, &persist);
  blob_unref (persist.snapshot.data);
  return ok;
}

static bool
write_entry (storage_t *storage, log_index_t index)
{
  entry_t *entry = entry_new (ENTRY_NOOP);
  entry->index = index;
  entry->term = index;
  persist_t persist = { .incarnation = INCARNATION,
                        .vote = { .term = index, .slot = SLOT_NONE },
                        .keep_index = index - 1,
                        .n_entries = 1,
                        .entries = &entry };
  bool ok = write_record (storage, &persist);
  entry_unref (entry);
  return ok;
}

/* Write entries, and a snapshot now and then, until one is refused; the last
   index, and the term of the vote, that were reported as written.  */
static log_index_t
write_until_refused (storage_t *storage)
{
  log_index_t written = 0;
  for (log_index_t index = 1; index <= LAST_INDEX; index++)
    {
      if (index % SNAPSHOT_EACH == 1 && !write_snapshot (storage, index - 1))
        return written;
      if (!write_entry (storage, index))
        return written;
      written = index;
    }
  return written;
}

static log_index_t
image_last (const replica_image_t *image)
{
  if (list_empty (&image->log))
    return image->snapshot.index;
  return LIST_ENTRY (image->log.prev, entry_t, link)->index;
}

/* There is room in FOLDER again: it holds all that was written, and perhaps
   one more, and takes more.  */
static void
check_folder (const char *folder, log_index_t written)
{
  replica_image_t image;
  err_t err = { 0 };
  storage_t *storage = storage_open (folder, &image, &err);
  g_assert_cmpstr (err.message, ==, "");
  log_index_t last = image_last (&image);
  g_assert_cmpuint (last, >=, written);
  g_assert_cmpuint (last, <=, written + 1);
  if (written > 0)
    {
      g_assert_cmpuint (image.incarnation, ==, INCARNATION);
      g_assert_cmpuint (image.vote.term, >=, written);
    }
  replica_image_clear (&image);
  g_assert_true (write_snapshot (storage, last));
  g_assert_true (write_entry (storage, last + 1));
  storage_close (storage);
  storage = storage_open (folder, &image, &err);
  g_assert_cmpuint (image_last (&image), ==, last + 1);
  replica_image_clear (&image);
  storage_close (storage);
}

/* Each call in turn is the first that fails.  */
static void
test_each_call_refused (void)
{
  for (fault_kind_t kind = FAULT_ONCE; kind < FAULT_KINDS; kind++)
    for (int at = 1;; at++)
      {
        g_assert_cmpint (at, <, CALLS_MAX);
        char *folder = folder_new ();
        replica_image_t image;
        storage_t *storage = storage_open (folder, &image, NULL);
        g_assert_nonnull (storage);
        fault_set (kind, at);
        log_index_t written = write_until_refused (storage);
        bool all_done = fault.n < at;
        storage_close (storage);
        fault_set (kind, 0);
        check_folder (folder, written);
        folder_free (folder);
        if (all_done)
          {
            g_assert_cmpuint (written, ==, LAST_INDEX);
            break;
          }
      }
}

/* The calls that open the folder fail as well, for as long as it is full.  */
static void
test_opening_refused (void)
{
  for (int at = 1;; at++)
    {
      char *folder = folder_new ();
      replica_image_t image;
      storage_t *storage = storage_open (folder, &image, NULL);
      g_assert_true (write_snapshot (storage, 1));
      fault_set (FAULT_SHORT, 2);
      g_assert_false (write_entry (storage, 2));
      storage_close (storage);
      fault_set (FAULT_STAYS, at);
      storage = storage_open (folder, &image, NULL);
      bool is_open = storage != NULL;
      g_assert_true (is_open == (fault.n < at));
      replica_image_clear (&image);
      if (storage)
        storage_close (storage);
      fault_set (FAULT_ONCE, 0);
      check_folder (folder, 1);
      folder_free (folder);
      if (is_open)
        break;
    }
}

static void
on_disk_event (void *closure)
{
  (void)closure;
}

static action_t *
persist_new (log_index_t index)
{
  action_t *action = calloc (1, sizeof *action);
  g_assert_nonnull (action);
  action->kind = ACTION_PERSIST;
  action->body.persist.sequence = index;
  action->body.persist.incarnation = INCARNATION;
  action->body.persist.vote.slot = SLOT_NONE;
  action->body.persist.replaces_log = true;
  action->body.persist.snapshot.index = index;
  action->body.persist.snapshot.config.n_slots = 3;
  return action;
}

static replica_disk_change_t
wait_for_change (replica_disk_t *disk)
{
  replica_disk_change_t change;
  while ((change = replica_disk_poll (disk)) == REPLICA_DISK_UNCHANGED)
    g_usleep (100);
  return change;
}

/* A full disk is opened anew when that is due, and then used again.  */
static void
test_disk_is_regained (void)
{
  char *folder = folder_new ();
  replica_disk_t disk;
  replica_image_t image;
  usec_t now = USEC_PER_SEC;
  replica_disk_init (&disk, on_disk_event, NULL);
  g_assert_true (replica_disk_open (&disk, folder, &image, NULL));
  replica_disk_write (&disk, persist_new (1));
  g_assert_cmpint (wait_for_change (&disk), ==, REPLICA_DISK_SYNCED);
  for (log_index_t index = 2; index < 5; index++)
    {
      fault_set (FAULT_STAYS, 1);
      replica_disk_write (&disk, persist_new (index));
      g_assert_cmpint (wait_for_change (&disk), ==, REPLICA_DISK_FAILED);
      replica_disk_fail (&disk, folder, now);
      g_assert_false (replica_disk_is_open (&disk));
      g_assert_false (replica_disk_reopen (&disk, folder, &image, now));
      now += REPLICA_DISK_REOPEN_INTERVAL;
      g_assert_false (replica_disk_reopen (&disk, folder, &image, now));
      fault_set (FAULT_ONCE, 0);
      now += REPLICA_DISK_REOPEN_INTERVAL;
      g_assert_true (replica_disk_reopen (&disk, folder, &image, now));
      g_assert_cmpuint (image.snapshot.index, ==, index - 1);
      replica_image_clear (&image);
      g_assert_true (disk.has_failed);
      replica_disk_write (&disk, persist_new (index));
      g_assert_cmpint (wait_for_change (&disk), ==, REPLICA_DISK_SYNCED);
      g_assert_cmpuint (disk.synced, ==, index);
    }
  replica_disk_close (&disk);
  folder_free (folder);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  apr_initialize ();
  g_test_add_func ("/agreement/storage-full/each-call",
                   test_each_call_refused);
  g_test_add_func ("/agreement/storage-full/opening", test_opening_refused);
  g_test_add_func ("/agreement/storage-full/regained", test_disk_is_regained);
  return g_test_run ();
}
