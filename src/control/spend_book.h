/* spend_book: the shares of the shift's cost cap that are granted to the entry
   VMs.  A state machine: the log's ENTRY_GRANT entries give every replica the
   same state.

   Amounts are in thousandths of the currency's smallest unit, so that the
   price of one request (a price is for 1,000) is a whole number.  A budget
   continues over sheets with the same budget number; a sheet with a higher one
   starts a new budget.  The sum of the amounts granted and not returned never
   exceeds the cap.  When a holder restarts, the amount that it had not
   returned counts as spent.  */

#ifndef CONTROL_SPEND_BOOK_H
#define CONTROL_SPEND_BOOK_H

#include "agreement/entry.h"
#include "base/error.h"
#include "shift/sheet_defs.h"
#include "wire/generated/control.h"

typedef struct spend_book spend_book_t;

spend_book_t *spend_book_new (void);
void spend_book_free (spend_book_t *book);

/* Apply the budget number BUDGET and the cap CAP (in the currency's smallest
   unit) of a sheet that came into force.  A number below the current one does
   not reopen that budget: the current budget continues, under CAP.  */
void spend_book_open (spend_book_t *book, uint64_t budget, money_t cap);

/* The number of the current budget; 0 before the first.  An ask for another
   budget is stale and may be answered without a log entry.  */
uint64_t spend_book_budget (const spend_book_t *book);

/* Encode ASK as the body of an ENTRY_GRANT; a new block, owned by the
   caller.  */
blob_t *spend_book_encode (const control_spend_ask_t *ask);

/* Apply the body of an ENTRY_GRANT and return the answer to the ask.  A body
   that can't be decoded is answered as stale and changes nothing.  */
control_spend_answer_t spend_book_apply (spend_book_t *book,
                                         const blob_t *grant);

/* The sum of the amounts granted and not returned, in thousandths.  */
int64_t spend_book_granted (const spend_book_t *book);

/* The whole state encoded as a new block, owned by the caller.  */
blob_t *spend_book_save (const spend_book_t *book);

/* Replace the state by the LENGTH bytes at BYTES, from spend_book_save.  On
   failure, returns false with ERR_PROTOCOL and leaves BOOK unchanged.  */
bool spend_book_restore (spend_book_t *book, const void *bytes, size_t length,
                         err_t *err);

#endif
