#include "agreement/replica_disk.h"

#include "base/log.h"

void
replica_disk_init (replica_disk_t *disk, storage_wake_t wake, void *closure)
{
  *disk = (replica_disk_t){ .wake = wake, .closure = closure };
  list_init (&disk->pending);
}

bool
replica_disk_open (replica_disk_t *disk, const char *folder,
                   replica_image_t *image, err_t *err)
{
  replica_image_init (image);
  if (!storage_make_folder (folder, err))
    return false;
  disk->storage = storage_open (folder, image, err);
  if (!disk->storage)
    return false;
  const storage_thread_options_t options = { .storage = disk->storage,
                                             .wake = disk->wake,
                                             .closure = disk->closure };
  disk->thread = storage_thread_start (&options, err);
  disk->synced = 0;
  if (disk->thread)
    return true;
  replica_image_clear (image);
  replica_disk_close (disk);
  return false;
}

bool
replica_disk_is_open (const replica_disk_t *disk)
{
  return disk->thread != NULL;
}

void
replica_disk_close (replica_disk_t *disk)
{
  list_t *link;
  while ((link = list_pop_front (&disk->pending)))
    action_free (LIST_ENTRY (link, action_t, link));
  if (disk->thread)
    storage_thread_stop (disk->thread);
  disk->thread = NULL;
  if (disk->storage)
    storage_close (disk->storage);
  disk->storage = NULL;
}

void
replica_disk_fail (replica_disk_t *disk, const char *folder, usec_t now)
{
  LOG_EVENT (
      LOG_LEVEL_ERROR, "disk_lost", LOG_S ("folder", folder),
      LOG_S ("remedy",
             "free space in the data folder, or put it on another disk"));
  replica_disk_close (disk);
  disk->next_open_at = now + REPLICA_DISK_REOPEN_INTERVAL;
  disk->has_failed = true;
}

bool
replica_disk_reopen (replica_disk_t *disk, const char *folder,
                     replica_image_t *image, usec_t now)
{
  err_t err = { 0 };
  if (disk->thread || now < disk->next_open_at)
    return false;
  disk->next_open_at = now + REPLICA_DISK_REOPEN_INTERVAL;
  if (!replica_disk_open (disk, folder, image, &err))
    {
      log_error (LOG_LEVEL_WARNING, "disk_not_regained", &err);
      return false;
    }
  LOG_EVENT (LOG_LEVEL_INFO, "disk_regained", LOG_S ("folder", folder));
  return true;
}

void
replica_disk_write (replica_disk_t *disk, action_t *action)
{
  list_push_back (&disk->pending, &action->link);
  if (disk->thread)
    storage_thread_write_all (disk->thread, &disk->pending);
}

replica_disk_change_t
replica_disk_poll (replica_disk_t *disk)
{
  if (!disk->thread)
    return REPLICA_DISK_UNCHANGED;
  storage_thread_write_all (disk->thread, &disk->pending);
  if (storage_thread_failed (disk->thread))
    return REPLICA_DISK_FAILED;
  uint64_t synced = storage_thread_synced (disk->thread);
  if (synced == disk->synced)
    return REPLICA_DISK_UNCHANGED;
  disk->synced = synced;
  return REPLICA_DISK_SYNCED;
}
