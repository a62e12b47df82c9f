/* version_store: the version of the sheet that a VM has, and the answers to
   those who ask it for a newer one.

   A version never goes back.  The last VERSION_HISTORY texts are kept, so
   that one who is not far behind gets a delta.  Pure.  */

#ifndef MEMBERSHIP_VERSION_STORE_H
#define MEMBERSHIP_VERSION_STORE_H

#include "base/time_defs.h"
#include "membership/delta.h"

enum
{
  VERSION_HISTORY = 4,
  VERSION_TEXT_BYTES_MAX = 900 * 1024,
};

/* No statement about how new a version is.  */
#define FRESHNESS_UNKNOWN INT64_MAX

typedef enum
{
  VERSION_NOT_NEWER,
  VERSION_DELTA,
  VERSION_FULL,
} version_answer_kind_t;

typedef struct version_answer
{
  version_answer_kind_t kind;
  uint64_t version;      /* that the sender has */
  uint64_t base_version; /* of a delta */
  uint64_t checksum;
  text_t text; /* the delta or the whole */
  /* It was the newest accepted one so long ago.  */
  usec_t freshness;
} version_answer_t;

void version_answer_clear (version_answer_t *answer);

typedef struct version_store version_store_t;

version_store_t *version_store_new (void);
void version_store_free (version_store_t *store);

uint64_t version_store_version (const version_store_t *store);
/* Borrowed until the next put; NULL before the first.  */
const text_t *version_store_text (const version_store_t *store);

/* Take a whole text over; false, and TEXT released, where VERSION is not
   newer.  */
bool version_store_put (version_store_t *store, uint64_t version,
                        text_t *text);

/* The answer to one who has VERSION; its text is the caller's.  */
version_answer_t version_store_answer (const version_store_t *store,
                                       uint64_t version, usec_t freshness);

typedef enum
{
  VERSION_IGNORED, /* not newer */
  VERSION_STORED,  /* the store has it now */
  VERSION_CORRUPT, /* it does not fit: ask for the full text */
} version_store_result_t;

version_store_result_t version_store_apply (version_store_t *store,
                                            const version_answer_t *answer);

#endif
