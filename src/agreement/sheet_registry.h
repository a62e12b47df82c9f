/* sheet_registry: the state machine of the accepted sheets, by number.

   Applying the log's entries gives every replica the same registry.  The first
   content applied under a number is accepted under it, and no other content
   ever is; accepted numbers only increase.  The digests of the newest
   SHEET_HISTORY accepted sheets are kept, so that a submission that is sent
   again gets the same answer (the number is its idempotency key).  Only the
   newest sheet's content is kept.  The answer for a number that is not above
   the newest is final, so any replica may give it.  */

#ifndef AGREEMENT_SHEET_REGISTRY_H
#define AGREEMENT_SHEET_REGISTRY_H

#include <stdbool.h>

#include "agreement/entry.h"
#include "base/error.h"

enum
{
  SHEET_DIGEST_BYTES = 32, /* SHA-256 */
  SHEET_HISTORY = 2048,
};

/* An accepted sheet.  */
typedef struct sheet_record
{
  uint64_t number;
  name_t operator_name;
  uint8_t digest[SHEET_DIGEST_BYTES];
  log_index_t index; /* of the entry that was accepted */
} sheet_record_t;

typedef enum
{
  SHEET_ACCEPTED,
  SHEET_CONFLICT, /* other content was accepted under this number */
  SHEET_STALE,    /* a higher number was accepted; no record is kept */
} sheet_verdict_t;

typedef struct sheet_outcome
{
  sheet_verdict_t verdict;
  sheet_record_t record; /* of this number; if stale, the newest */
} sheet_outcome_t;

typedef struct sheet_registry sheet_registry_t;

sheet_registry_t *sheet_registry_new (void);
void sheet_registry_free (sheet_registry_t *registry);

/* The final answer to SUBMISSION.  False if its number is above the newest, so
   that it has to be proposed to the log.  */
bool sheet_registry_find (const sheet_registry_t *registry,
                          const sheet_submission_t *submission,
                          sheet_outcome_t *outcome);

/* Apply SUBMISSION, from the entry at INDEX.  */
sheet_outcome_t sheet_registry_apply (sheet_registry_t *registry,
                                      log_index_t index,
                                      const sheet_submission_t *submission);

/* The newest accepted sheet, borrowed; NULL before the first.  */
const sheet_record_t *sheet_registry_newest (const sheet_registry_t *registry);
/* The newest sheet's content, borrowed; NULL before the first.  */
blob_t *sheet_registry_content (const sheet_registry_t *registry);

/* The whole state encoded as a new block, owned by the caller.  */
blob_t *sheet_registry_save (const sheet_registry_t *registry);

/* Replace the state by SAVED.  On failure, returns false with ERR_PROTOCOL and
   leaves the registry unchanged.  */
bool sheet_registry_restore (sheet_registry_t *registry, const blob_t *saved,
                             err_t *err);

/* Write the digest as 64 hexadecimal digits and a terminating NUL.  */
void sheet_digest_text (const sheet_record_t *record,
                        char text[2 * SHEET_DIGEST_BYTES + 1]);

#endif
