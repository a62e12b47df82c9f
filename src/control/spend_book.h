/* spend_book: the shift's cost cap as shares of the entry VMs, a state that
   the log's ENTRY_GRANT entries build up on every replica alike.

   Amounts are in thousandths of the currency's smallest unit, so that the
   price of one request (a price is for 1,000) is a whole number.  A budget
   lasts over sheets with the same budget number; a sheet with another one
   opens it anew.  The sum of what is granted and not returned never passes
   the cap; what a holder that restarted had not returned counts as spent.  */

#ifndef CONTROL_SPEND_BOOK_H
#define CONTROL_SPEND_BOOK_H

#include "agreement/entry.h"
#include "base/error.h"
#include "shift/sheet_defs.h"
#include "wire/generated/control.h"

typedef struct spend_book spend_book_t;

spend_book_t *spend_book_new (void);
void spend_book_free (spend_book_t *book);

/* A sheet with this BUDGET and CAP (in the smallest unit) came into force.  A
   budget that has passed is not opened again: spend goes on counting on the
   newest one.  */
void spend_book_open (spend_book_t *book, uint64_t budget, money_t cap);

/* The budget that is open; 0 before the first.  An ask for another one is
   stale, which needs no entry.  */
uint64_t spend_book_budget (const spend_book_t *book);

/* The block that an ENTRY_GRANT holds for ASK; the caller's.  */
blob_t *spend_book_encode (const control_spend_ask_t *ask);

/* Apply an ENTRY_GRANT's block.  A block that is not an ask is answered as
   stale, and changes nothing.  */
control_spend_answer_t spend_book_apply (spend_book_t *book,
                                         const blob_t *grant);

/* Granted and not returned, in thousandths; never above the cap.  */
int64_t spend_book_granted (const spend_book_t *book);

/* The whole state as a new block; the caller's.  */
blob_t *spend_book_save (const spend_book_t *book);

/* Replace the state by LENGTH bytes that spend_book_save gave.  Fails with
   ERR_PROTOCOL and then leaves the book as it was.  */
bool spend_book_restore (spend_book_t *book, const void *bytes, size_t length,
                         err_t *err);

#endif
