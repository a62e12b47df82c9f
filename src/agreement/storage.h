/* storage: a replica's persistent state, in one data folder.

   The file `log` holds checksummed records.  The first record holds a
   snapshot and the entries after it; each later record is a change to that
   state.  To replace the log, a new first record is written to `log.new` and
   synced, `log.new` is renamed to `log`, and the folder is synced.  A record
   that was only partly written at a crash is truncated at the next start.  A
   damaged record that had been synced makes storage_open fail with
   ERR_STORAGE.

   After the first failed write or sync nothing more is written, because the
   contents of the disk are then unknown.  */

#ifndef AGREEMENT_STORAGE_H
#define AGREEMENT_STORAGE_H

#include "agreement/replica.h"
#include "base/error.h"

typedef struct storage storage_t;

/* Create FOLDER unless it exists.  False with ERR_STORAGE or ERR_NO_SPACE.  */
bool storage_make_folder (const char *folder, err_t *err);

/* Open and lock FOLDER, which must exist, and read its state into IMAGE
   (incarnation 0 if the folder is empty).  The caller owns IMAGE's
   references.  Returns NULL with ERR_STORAGE on failure, also if another
   process holds the lock, and with ERR_NO_SPACE on a full disk.  */
storage_t *storage_open (const char *folder, replica_image_t *image,
                         err_t *err);
void storage_close (storage_t *storage);

/* Make IMAGE that of an empty folder.  */
void replica_image_init (replica_image_t *image);

/* Drop IMAGE's references; it is then that of an empty folder.  */
void replica_image_clear (replica_image_t *image);

/* The record of PERSIST as a new block, owned by the caller.  Does no I/O.  */
blob_t *storage_encode (const persist_t *persist);

/* Write N encoded records in order, and sync once before returning.  REPLACES
   is the replaces_log of their persist actions; if it is true, N must be 1.
   False with ERR_STORAGE or ERR_NO_SPACE on failure.  */
bool storage_write (storage_t *storage, blob_t *const *records, size_t n,
                    bool replaces, err_t *err);

/* The size of `log` in bytes.  */
uint64_t storage_bytes (const storage_t *storage);

#endif
