#include "control/spend_book.h"

#include <stdlib.h>
#include <string.h>

#include "admission/escrow.h"

enum
{
  PARTS_PER_UNIT = 1000, /* thousandths per smallest unit */
  ASK_BYTES = 64,        /* bound on an encoded ask */
  BOOK_BYTES_MAX = 256 * 1024,
  GRANT_DIVISOR = 4, /* one ask gets at most a quarter of the free amount */
};

struct spend_book
{
  uint64_t budget; /* number; 0: no budget yet */
  escrow_t *escrow;
};

spend_book_t *
spend_book_new (void)
{
  spend_book_t *book = calloc (1, sizeof *book);
  if (!book)
    abort ();
  return book;
}

void
spend_book_free (spend_book_t *book)
{
  escrow_free (book->escrow);
  free (book);
}

static escrow_t *
escrow_for (int64_t cap)
{
  const escrow_options_t options
      = { .kind = BUDGET_SPEND,
          .cap = cap,
          .grant_divisor = GRANT_DIVISOR,
          .n_accounts = CONTROL_SPEND_ACCOUNTS_MAX };
  escrow_t *escrow = escrow_new (&options, NULL);
  if (!escrow)
    abort ();
  return escrow;
}

void
spend_book_open (spend_book_t *book, uint64_t budget, money_t cap)
{
  int64_t parts = cap * PARTS_PER_UNIT;
  if (book->escrow && budget <= book->budget)
    {
      book->escrow->options.cap = parts;
      return;
    }
  escrow_free (book->escrow);
  book->escrow = escrow_for (parts);
  book->budget = budget;
}

uint64_t
spend_book_budget (const spend_book_t *book)
{
  return book->budget;
}

blob_t *
spend_book_encode (const control_spend_ask_t *ask)
{
  char bytes[ASK_BYTES];
  control_spend_ask_t copy = *ask;
  XDR xdr;
  xdrmem_create (&xdr, bytes, sizeof bytes, XDR_ENCODE);
  if (!xdr_control_spend_ask_t (&xdr, &copy))
    abort ();
  return blob_new (bytes, xdr_getpos (&xdr));
}

static bool
decode_ask (const blob_t *grant, control_spend_ask_t *ask)
{
  XDR xdr;
  xdrmem_create (&xdr, (char *)grant->bytes, grant->length, XDR_DECODE);
  return xdr_control_spend_ask_t (&xdr, ask)
         && xdr_getpos (&xdr) == grant->length && ask->wanted >= 0
         && ask->returned >= 0 && ask->holder < TOPOLOGY_NONE;
}

static uint64_t
newest_generation (const escrow_t *escrow, vm_id_t holder)
{
  uint64_t newest = 0;
  for (size_t i = 0; i < escrow->n_accounts; i++)
    {
      const account_id_t *id = &escrow->accounts[i].id;
      if (id->holder == holder && id->generation > newest)
        newest = id->generation;
    }
  return newest;
}

control_spend_answer_t
spend_book_apply (spend_book_t *book, const blob_t *grant)
{
  control_spend_answer_t answer
      = { .verdict = CONTROL_SPEND_STALE, .budget = book->budget };
  control_spend_ask_t ask = { 0 };
  if (!book->escrow || !decode_ask (grant, &ask))
    return answer;
  vm_id_t holder = (vm_id_t)ask.holder;
  if (ask.budget == book->budget)
    {
      const escrow_ask_t escrow_ask = { .account = { holder, ask.generation },
                                        .wanted = ask.wanted,
                                        .returned = ask.returned };
      /* Spend has no leases, so the time is not used.  */
      escrow_answer_t given = escrow_apply (book->escrow, &escrow_ask, 0);
      if (!given.stale)
        answer.verdict = CONTROL_SPEND_GRANTED;
      answer.granted = given.granted;
      answer.recall = given.recall;
    }
  answer.generation = newest_generation (book->escrow, holder);
  return answer;
}

int64_t
spend_book_granted (const spend_book_t *book)
{
  return book->escrow ? escrow_granted (book->escrow) : 0;
}

static bool
encode_book (const spend_book_t *book, char *bytes, size_t size,
             size_t *length)
{
  const escrow_t *escrow = book->escrow;
  size_t n = escrow ? escrow->n_accounts : 0;
  control_spend_account_t *accounts = calloc (n + 1, sizeof *accounts);
  if (!accounts)
    abort ();
  for (size_t i = 0; i < n; i++)
    {
      const account_t *account = &escrow->accounts[i];
      accounts[i]
          = (control_spend_account_t){ .holder = account->id.holder,
                                       .generation = account->id.generation,
                                       .granted = account->granted,
                                       .returned = account->returned,
                                       .is_open = account->open };
    }
  control_spend_book_t image
      = { .budget = book->budget,
          .cap = escrow ? escrow->options.cap : 0,
          .spent = escrow ? escrow->spent : 0,
          .accounts = { .accounts_len = (u_int)n, .accounts_val = accounts } };
  XDR xdr;
  xdrmem_create (&xdr, bytes, (u_int)size, XDR_ENCODE);
  bool ok = xdr_control_spend_book_t (&xdr, &image);
  *length = xdr_getpos (&xdr);
  free (accounts);
  return ok;
}

blob_t *
spend_book_save (const spend_book_t *book)
{
  char *bytes = malloc (BOOK_BYTES_MAX);
  size_t length = 0;
  if (!bytes || !encode_book (book, bytes, BOOK_BYTES_MAX, &length))
    abort ();
  blob_t *blob = blob_new (bytes, length);
  free (bytes);
  return blob;
}

static escrow_t *
escrow_from (const control_spend_book_t *image)
{
  escrow_t *escrow = escrow_for (image->cap);
  escrow->spent = image->spent;
  escrow->n_accounts = image->accounts.accounts_len;
  for (size_t i = 0; i < escrow->n_accounts; i++)
    {
      const control_spend_account_t *from = &image->accounts.accounts_val[i];
      escrow->accounts[i]
          = (account_t){ .id = { (vm_id_t)from->holder, from->generation },
                         .granted = from->granted,
                         .returned = from->returned,
                         .open = from->is_open };
    }
  return escrow;
}

bool
spend_book_restore (spend_book_t *book, const void *bytes, size_t length,
                    err_t *err)
{
  control_spend_book_t image = { 0 };
  XDR xdr;
  xdrmem_create (&xdr, (char *)bytes, (u_int)length, XDR_DECODE);
  if (!xdr_control_spend_book_t (&xdr, &image) || image.cap < 0)
    {
      xdr_free ((xdrproc_t)xdr_control_spend_book_t, (char *)&image);
      return err_set (err, ERR_PROTOCOL,
                      "empty this data folder; the replica then rejoins",
                      "the spend book in the snapshot can't be decoded");
    }
  escrow_free (book->escrow);
  book->escrow = image.budget ? escrow_from (&image) : NULL;
  book->budget = image.budget;
  xdr_free ((xdrproc_t)xdr_control_spend_book_t, (char *)&image);
  return true;
}
