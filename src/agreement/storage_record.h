/* storage_record: the bytes of one record on disk, and reading them back.  */

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
  uint64_t synced_end; /* all bytes before were synced when it was written */
  uint64_t payload_checksum;
} record_header_t;

void record_header_encode (uint8_t bytes[RECORD_HEADER_BYTES],
                           const blob_t *payload, uint64_t synced_end);
/* False where BYTES are no header.  */
bool record_header_decode (record_header_t *header, const uint8_t *bytes);

/* The payload's bytes on disk: with 1 to RECORD_ALIGN_BYTES of padding, which
   is not zero, so that a sector of zeros was never written.  */
size_t record_padded (size_t length);

/* Apply the records of DATA to IMAGE.  *END is where the last whole one
   ends: what follows was not yet synced.  Fails with ERR_STORAGE where a
   synced record is damaged.  */
bool records_read (replica_image_t *image, const uint8_t *data, size_t length,
                   size_t *end, err_t *err);

#endif
