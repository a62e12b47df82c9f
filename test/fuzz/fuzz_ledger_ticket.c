/* fuzz-runs: 300000 */
/* Guards against malformed or forged idempotency keys: the parser accepts any
   text without a memory error, and a text is a valid ticket only where
   formatting the ticket with the key gives the same text.  */

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
      char formatted[TICKET_TEXT_BYTES];
      ticket_format (formatted, &ticket, &shared_key);
      require (strcmp (formatted, text) == 0,
               "a ticket was accepted that differs from its text");
    }
  else
    require (err.kind == ERR_PROTOCOL || err.kind == ERR_AUTH,
             "a ticket was refused with an unexpected error kind");
  free (text);
  return 0;
}
