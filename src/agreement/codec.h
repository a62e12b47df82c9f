/* codec: XDR filters of entries and blocks, for messages and for disk.

   A filter encodes or decodes by the stream's direction.  When it decodes,
   the stream's x_public must point to a size_t with the input's length, and
   what it allocates is the caller's, also where it fails half way.  */

#ifndef AGREEMENT_CODEC_H
#define AGREEMENT_CODEC_H

#include <rpc/rpc.h>
#include <stdbool.h>

#include "agreement/entry.h"
#include "agreement/message.h"

/* At most LIMIT bytes.  */
bool blob_filter (XDR *xdrs, blob_t **blob, uint32_t limit);

bool name_filter (XDR *xdrs, name_t *name);

/* On failure *ENTRY is NULL when decoding.  */
bool entry_filter (XDR *xdrs, entry_t **entry);

bool config_filter (XDR *xdrs, replica_config_t *config);

#endif
