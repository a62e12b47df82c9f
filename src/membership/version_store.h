/* version_store: the newest version of the sheet that a VM has received, and
   the answers to VMs that ask for a newer one.

   The stored version never decreases.  The last VERSION_HISTORY texts are
   kept, so that a VM that is only a few versions behind gets a delta.  Does no
   input or output.  */

#ifndef MEMBERSHIP_VERSION_STORE_H
#define MEMBERSHIP_VERSION_STORE_H

#include "base/time_defs.h"
#include "membership/delta.h"

enum
{
  VERSION_HISTORY = 4,
  VERSION_TEXT_BYTES_MAX = 900 * 1024,
};

/* The sender does not know when its version was the newest.  */
#define FRESHNESS_UNKNOWN INT64_MAX

typedef enum
{
  VERSION_NOT_NEWER, /* the sender has no newer version */
  VERSION_DELTA,
  VERSION_FULL,
} version_answer_kind_t;

typedef struct version_answer
{
  version_answer_kind_t kind;
  uint64_t version;      /* that the sender has */
  uint64_t base_version; /* that a delta applies to; else 0 */
  uint64_t checksum;     /* of the full text */
  text_t text;           /* the delta or the full text */
  usec_t freshness; /* how long ago VERSION was last known to be the newest
                       accepted version */
} version_answer_t;

/* Free the text of ANSWER.  */
void version_answer_clear (version_answer_t *answer);

typedef struct version_store version_store_t;

/* The caller releases the result with version_store_free.  */
version_store_t *version_store_new (void);
void version_store_free (version_store_t *store);

/* The newest version; 0 before the first.  */
uint64_t version_store_version (const version_store_t *store);
/* The text of the newest version, borrowed until the next change of STORE;
   NULL before the first.  */
const text_t *version_store_text (const version_store_t *store);

/* Store the full TEXT of VERSION; takes ownership of TEXT.  Returns false, and
   frees TEXT, if VERSION is not newer than the stored one.  */
bool version_store_put (version_store_t *store, uint64_t version,
                        text_t *text);

/* The answer to a VM that has VERSION.  The caller releases it with
   version_answer_clear.  */
version_answer_t version_store_answer (const version_store_t *store,
                                       uint64_t version, usec_t freshness);

typedef enum
{
  VERSION_IGNORED, /* the answer has no newer version */
  VERSION_STORED,
  VERSION_CORRUPT, /* the delta does not apply or the checksum is wrong:
                      request the full text */
} version_store_result_t;

/* Store the version of ANSWER, which stays the caller's.  */
version_store_result_t version_store_apply (version_store_t *store,
                                            const version_answer_t *answer);

#endif
