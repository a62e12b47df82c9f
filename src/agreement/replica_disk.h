/* replica_disk: the data folder of a replica, on a disk that may refuse writes
   for a while.

   A write or sync that fails leaves unknown what is on the disk.  The owner
   then halts its replica, closes the disk, and opens it anew after
   REPLICA_DISK_REOPEN_INTERVAL.  The new replica has to be created with
   must_rewrite_image, and continues from what the folder holds, as after a
   restart: a replica sends its term, vote and acknowledgements only once they
   are on disk.

   All functions belong to the owner's thread.  */

#ifndef AGREEMENT_REPLICA_DISK_H
#define AGREEMENT_REPLICA_DISK_H

#include "agreement/storage_thread.h"
#include "base/time_defs.h"

#define REPLICA_DISK_REOPEN_INTERVAL USEC_PER_SEC

typedef enum
{
  REPLICA_DISK_UNCHANGED,
  REPLICA_DISK_SYNCED, /* pass EVENT_SYNCED to the replica */
  REPLICA_DISK_FAILED, /* halt the replica and call replica_disk_fail */
} replica_disk_change_t;

/* Zero, with WAKE, CLOSURE and the empty list PENDING set, is a disk that is
   not open.  */
typedef struct replica_disk
{
  storage_wake_t wake; /* as in storage_thread_options_t */
  void *closure;
  storage_t *storage;       /* NULL while not open */
  storage_thread_t *thread; /* NULL while not open */
  list_t pending;           /* persist actions that found the queue full */
  uint64_t synced;          /* the last sequence number reported */
  usec_t next_open_at;      /* after a failure */
  bool has_failed;          /* at any time */
} replica_disk_t;

void replica_disk_init (replica_disk_t *disk, storage_wake_t wake,
                        void *closure);

/* Create FOLDER unless it exists, read it into IMAGE, whose references become
   the caller's, and start the storage thread.  False with ERR_STORAGE,
   ERR_NO_SPACE or ERR_IO; DISK is then closed and IMAGE empty.  */
bool replica_disk_open (replica_disk_t *disk, const char *folder,
                        replica_image_t *image, err_t *err);

bool replica_disk_is_open (const replica_disk_t *disk);

/* Write what is queued, if the disk takes it, and close it.  Permitted also
   while DISK is not open.  */
void replica_disk_close (replica_disk_t *disk);

/* Close DISK after a failed write, or where it was full when it was to be
   opened; it is due again after the interval.  Logs disk_lost with FOLDER.  */
void replica_disk_fail (replica_disk_t *disk, const char *folder, usec_t now);

/* While DISK is not open and an attempt is due, open it as replica_disk_open
   does.  True where it is open now; logs disk_regained or
   disk_not_regained.  */
bool replica_disk_reopen (replica_disk_t *disk, const char *folder,
                          replica_image_t *image, usec_t now);

/* Queue the persist action ACTION, which passes to DISK.  */
void replica_disk_write (replica_disk_t *disk, action_t *action);

/* What has happened since the last call; SYNCED is then the number to
   report.  */
replica_disk_change_t replica_disk_poll (replica_disk_t *disk);

#endif
