/* storage_record: the on-disk format of a log record, and its recovery.  */

#ifndef AGREEMENT_STORAGE_RECORD_H
#define AGREEMENT_STORAGE_RECORD_H

#include "agreement/replica.h"
#include "base/error.h"

enum
{
  RECORD_HEADER_BYTES = 40,
  RECORD_ALIGN_BYTES = 8,
  RECORD_PAYLOAD_BYTES_MAX = 64 * 1024 * 1024,
};

typedef struct record_header
{
  uint32_t length;     /* of the payload, without padding */
  uint64_t synced_end; /* log bytes synced when it was written */
  uint64_t payload_checksum;
} record_header_t;

/* SYNCED_END: the length of the log that was synced before this record.  */
void record_header_encode (uint8_t bytes[RECORD_HEADER_BYTES],
                           const blob_t *payload, uint64_t synced_end);
/* False if BYTES are not a valid header.  */
bool record_header_decode (record_header_t *header, const uint8_t *bytes);

/* The size on disk of a payload of LENGTH bytes: padded to a multiple of
   RECORD_ALIGN_BYTES.  The padding is not zero, so that a sector of zeros is
   one that was never written.  */
size_t record_padded_bytes (size_t length);

/* Apply the records in DATA to IMAGE.  What follows the fields of a record in
   its payload is of a later build, and is passed over.  *END is set to the end
   of the last complete record; the bytes after it were never synced.  False
   with ERR_STORAGE if a synced record is damaged.  */
bool records_read (replica_image_t *image, const uint8_t *data, size_t length,
                   size_t *end, err_t *err);

#endif
