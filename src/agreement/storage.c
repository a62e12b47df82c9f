#include "agreement/storage.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include "agreement/storage_record.h"

#define LOG_NAME "log"
#define LOG_NEW_NAME "log.new"

struct storage
{
  char folder[256];
  int folder_fd;
  int log_fd;       /* -1 before the first record */
  uint64_t log_end; /* length of the synced records in bytes */
  bool has_failed;
};

static err_kind_t
error_kind (int error)
{
  return error == ENOSPC || error == EDQUOT ? ERR_NO_SPACE : ERR_STORAGE;
}

static bool
fail (storage_t *storage, const char *operation, err_t *err)
{
  int error = errno;
  storage->has_failed = true;
  return err_set (err, error_kind (error),
                  "free space on the data folder's disk or repair it",
                  "can't %s in %s: %s", operation, storage->folder,
                  strerror (error));
}

void
replica_image_init (replica_image_t *image)
{
  *image = (replica_image_t){ .vote.slot = SLOT_NONE };
  list_init (&image->log);
}

void
replica_image_clear (replica_image_t *image)
{
  blob_unref (image->snapshot.data);
  LIST_FOREACH (link, &image->log)
  entry_unref (LIST_ENTRY (link, entry_t, link));
  replica_image_init (image);
}

static bool
read_all (storage_t *storage, uint8_t *data, size_t length, err_t *err)
{
  size_t bytes_done = 0;
  while (bytes_done < length)
    {
      ssize_t n = pread (storage->log_fd, data + bytes_done,
                         length - bytes_done, (off_t)bytes_done);
      if (n < 0 && errno == EINTR)
        continue;
      if (n <= 0)
        return fail (storage, "read the log", err);
      bytes_done += (size_t)n;
    }
  return true;
}

/* The process that wrote the log may not have synced all that was read, and
   bytes that are truncated here must not reappear after a crash.  */
static bool
truncate_and_sync (storage_t *storage, size_t length, err_t *err)
{
  if (storage->log_end < length
      && ftruncate (storage->log_fd, (off_t)storage->log_end) != 0)
    return fail (storage, "truncate the log", err);
  if (fsync (storage->log_fd) != 0 || fsync (storage->folder_fd) != 0)
    return fail (storage, "sync the log", err);
  return true;
}

static bool
load_log (storage_t *storage, replica_image_t *image, err_t *err)
{
  storage->log_fd = openat (storage->folder_fd, LOG_NAME, O_RDWR | O_CLOEXEC);
  if (storage->log_fd < 0)
    return errno == ENOENT || fail (storage, "open the log", err);
  struct stat status;
  if (fstat (storage->log_fd, &status) != 0)
    return fail (storage, "read the log", err);
  size_t length = (size_t)status.st_size;
  uint8_t *data = malloc (length + 1);
  if (!data)
    abort ();
  size_t end = 0;
  bool ok = read_all (storage, data, length, err);
  if (ok && !records_read (image, data, length, &end, err))
    ok = err_prefix (err, "data folder %s", storage->folder);
  free (data);
  storage->log_end = end;
  return ok && truncate_and_sync (storage, length, err);
}

static bool
open_folder (storage_t *storage, const char *folder, err_t *err)
{
  snprintf (storage->folder, sizeof storage->folder, "%s", folder);
  storage->folder_fd = open (folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (storage->folder_fd < 0)
    return fail (storage, "open the data folder", err);
  if (flock (storage->folder_fd, LOCK_EX | LOCK_NB) == 0)
    return true;
  if (errno != EWOULDBLOCK)
    return fail (storage, "lock the data folder", err);
  return err_set (err, ERR_STORAGE,
                  "stop the other process, or give this one a data folder of "
                  "its own",
                  "another process has locked the data folder %s", folder);
}

bool
storage_make_folder (const char *folder, err_t *err)
{
  if (mkdir (folder, 0700) == 0 || errno == EEXIST)
    return true;
  return err_set (err, error_kind (errno),
                  "check the data folder's disk, its space and its owner",
                  "can't create the data folder %s: %s", folder,
                  strerror (errno));
}

storage_t *
storage_open (const char *folder, replica_image_t *image, err_t *err)
{
  storage_t *storage = calloc (1, sizeof *storage);
  if (!storage)
    abort ();
  storage->log_fd = -1;
  replica_image_init (image);
  if (open_folder (storage, folder, err) && load_log (storage, image, err))
    return storage;
  replica_image_clear (image);
  storage_close (storage);
  return NULL;
}

void
storage_close (storage_t *storage)
{
  if (storage->log_fd >= 0)
    close (storage->log_fd);
  if (storage->folder_fd >= 0)
    close (storage->folder_fd);
  free (storage);
}

static bool
write_all (int fd, uint64_t *at, const void *bytes, size_t length)
{
  size_t bytes_done = 0;
  while (bytes_done < length)
    {
      ssize_t n = pwrite (fd, (const uint8_t *)bytes + bytes_done,
                          length - bytes_done, (off_t)(*at + bytes_done));
      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0)
        return false;
      bytes_done += (size_t)n;
    }
  *at += length;
  return true;
}

static bool
write_record (int fd, uint64_t *at, const blob_t *payload, uint64_t synced_end)
{
  uint8_t padding[RECORD_ALIGN_BYTES];
  memset (padding, 0xff, sizeof padding);
  uint8_t header[RECORD_HEADER_BYTES];
  record_header_encode (header, payload, synced_end);
  return write_all (fd, at, header, sizeof header)
         && write_all (fd, at, payload->bytes, payload->length)
         && write_all (fd, at, padding,
                       record_padded_bytes (payload->length)
                           - payload->length);
}

static bool
append_records (storage_t *storage, blob_t *const *records, size_t n,
                err_t *err)
{
  uint64_t at = storage->log_end;
  for (size_t i = 0; i < n; i++)
    if (!write_record (storage->log_fd, &at, records[i], storage->log_end))
      return fail (storage, "write the log", err);
  if (fdatasync (storage->log_fd) != 0)
    return fail (storage, "sync the log", err);
  storage->log_end = at;
  return true;
}

static bool
replace_log (storage_t *storage, const blob_t *record, err_t *err)
{
  int fd = openat (storage->folder_fd, LOG_NEW_NAME,
                   O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (fd < 0)
    return fail (storage, "create a new log", err);
  uint64_t at = 0;
  if (!write_record (fd, &at, record, 0) || fsync (fd) != 0
      || renameat (storage->folder_fd, LOG_NEW_NAME, storage->folder_fd,
                   LOG_NAME)
             != 0
      || fsync (storage->folder_fd) != 0)
    {
      fail (storage, "write a new log", err);
      close (fd);
      return false;
    }
  if (storage->log_fd >= 0)
    close (storage->log_fd);
  storage->log_fd = fd;
  storage->log_end = at;
  return true;
}

bool
storage_write (storage_t *storage, blob_t *const *records, size_t n,
               bool replaces, err_t *err)
{
  if (storage->has_failed)
    return err_set (
        err, ERR_STORAGE, "free space on the data folder's disk or repair it",
        "not writing to %s: an earlier write or sync failed", storage->folder);
  if (replaces)
    return replace_log (storage, records[0], err);
  return append_records (storage, records, n, err);
}

uint64_t
storage_bytes (const storage_t *storage)
{
  return storage->log_end;
}
