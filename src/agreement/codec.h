/* codec: XDR filters for entries and blocks, in messages and on disk.

   A filter encodes or decodes, depending on the stream's direction.  For
   decoding, the stream's x_public must point to a size_t that holds the
   input's length in bytes.  The caller owns what a filter allocates, also
   after a failure.  Filters return false on malformed input.  */

#ifndef AGREEMENT_CODEC_H
#define AGREEMENT_CODEC_H

#include <rpc/rpc.h>
#include <stdbool.h>

#include "agreement/entry.h"
#include "agreement/message.h"

/* A block of up to LIMIT bytes; a longer one is malformed.  */
bool blob_filter (XDR *xdrs, blob_t **blob, uint32_t limit);

bool name_filter (XDR *xdrs, name_t *name);

/* After a failure to decode, *ENTRY is NULL.  */
bool entry_filter (XDR *xdrs, entry_t **entry);

/* The encoded size in bytes of the largest configuration.  */
#define CONFIG_BYTES_MAX ((size_t)(16 + 8 * REPLICAS_MAX))

bool config_filter (XDR *xdrs, replica_config_t *config);

#endif
