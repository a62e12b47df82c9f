/* fuzz-runs: 300000 */
/* Callers' idempotency keys: any text is read without harm, and what is taken
   for a ticket was written with the key, to the letter.  */

#include <string.h>

#include "../support/fuzz_input.h"
#include "ledger/ticket.h"

/* The name is libFuzzer's.  */
/* NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static const ticket_key_t shared_key = { .bytes = "fuzz" };
  char *text = calloc (1, size + 1);
  memcpy (text, data, size);
  ticket_t ticket;
  err_t err = { 0 };
  if (ticket_parse (&ticket, text, &shared_key, &err))
    {
      char again[TICKET_TEXT_BYTES];
      ticket_format (again, &ticket, &shared_key);
      require (strcmp (again, text) == 0, "a ticket that nobody wrote");
    }
  else
    require (err.kind == ERR_PROTOCOL || err.kind == ERR_AUTH,
             "a refusal without a kind");
  free (text);
  return 0;
}
