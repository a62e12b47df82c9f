/* storage: a replica's state on disk, in one data folder.

   The file `log` holds checksummed records.  The first one is whole: a
   snapshot and the entries after it; each later one adds to it.  A snapshot
   is written to `log.new`, synced, and takes the place of `log` by rename;
   the folder is synced after it.  A record that was being written at a crash
   is cut off at the next start.  A damaged record that had been synced stops
   the start with ERR_STORAGE.

   After the first failed write or sync nothing is written any more, because
   what is on the disk is not known.  */

#ifndef AGREEMENT_STORAGE_H
#define AGREEMENT_STORAGE_H

#include "agreement/replica.h"
#include "base/error.h"

typedef struct storage storage_t;

/* Make FOLDER where there is none; false with ERR_STORAGE.  */
bool storage_make_folder (const char *folder, err_t *err);

/* Open FOLDER, which must exist, for this process alone, and fill in IMAGE
   (its incarnation is 0 where the folder is empty); the references are the
   caller's.  Returns NULL with ERR_STORAGE.  */
storage_t *storage_open (const char *folder, replica_image_t *image,
                         err_t *err);
void storage_close (storage_t *storage);

/* The record of PERSIST as a new block; pure.  */
blob_t *storage_encode (const persist_t *persist);

/* Write N encoded records in order and sync once, before it returns.
   REPLACES is their persist actions' flag; such a record goes alone.  */
bool storage_write (storage_t *storage, blob_t *const *records, size_t n,
                    bool replaces, err_t *err);

/* Bytes of `log`.  */
uint64_t storage_bytes (const storage_t *storage);

#endif
