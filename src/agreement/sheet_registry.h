/* sheet_registry: which sheet was accepted under which number.

   The state that the log's entries build up on every replica alike.  The
   first content that is applied under a number has won it for ever; numbers
   only rise.  The newest SHEET_HISTORY accepted sheets are remembered by
   digest, so that a resend gets the answer that the first sending got; the
   newest one is kept whole.  An answer about a number that is not above the
   newest is final, so any replica may give it.  */

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

typedef struct sheet_record
{
  uint64_t number;
  name_t operator_name;
  uint8_t digest[SHEET_DIGEST_BYTES];
  log_index_t index;
} sheet_record_t;

typedef enum
{
  SHEET_ACCEPTED,
  SHEET_CONFLICT, /* the number has other content */
  SHEET_STALE,    /* the number has passed */
} sheet_verdict_t;

typedef struct sheet_outcome
{
  sheet_verdict_t verdict;
  sheet_record_t record; /* of the number; the newest where stale */
} sheet_outcome_t;

typedef struct sheet_registry sheet_registry_t;

sheet_registry_t *sheet_registry_new (void);
void sheet_registry_free (sheet_registry_t *registry);

/* The answer to SUBMISSION as far as it is settled; false where its number is
   above the newest, so that it must go through the log.  */
bool sheet_registry_find (const sheet_registry_t *registry,
                          const sheet_submission_t *submission,
                          sheet_outcome_t *outcome);

/* Apply the entry at INDEX.  */
sheet_outcome_t sheet_registry_apply (sheet_registry_t *registry,
                                      log_index_t index,
                                      const sheet_submission_t *submission);

/* The newest accepted sheet; NULL before the first.  */
const sheet_record_t *sheet_registry_newest (const sheet_registry_t *registry);
/* Its content, borrowed; NULL before the first.  */
blob_t *sheet_registry_content (const sheet_registry_t *registry);

/* The whole state as a new block; the caller's.  */
blob_t *sheet_registry_save (const sheet_registry_t *registry);

/* Replace the state.  Fails with ERR_PROTOCOL and then leaves the registry as
   it was.  */
bool sheet_registry_restore (sheet_registry_t *registry, const blob_t *saved,
                             err_t *err);

/* Write the digest's 64 hexadecimal digits and a NUL.  */
void sheet_digest_text (const sheet_record_t *record,
                        char text[2 * SHEET_DIGEST_BYTES + 1]);

#endif
