/* Tests of the spend book: the amounts granted stay within the cap when
   holders restart, answers are lost and asks repeated, a newer sheet comes
   into force, or a replica restores a snapshot.  */

#include <glib.h>

#include "control/spend_book.h"

enum
{
  CAP = 1000,
  CAP_PARTS = CAP * 1000,
  HOLDERS = 9,
};

static control_spend_answer_t
ask (spend_book_t *book, uint64_t budget, uint32_t holder, uint64_t generation,
     int64_t wanted, int64_t returned)
{
  const control_spend_ask_t message = { .budget = budget,
                                        .holder = holder,
                                        .generation = generation,
                                        .wanted = wanted,
                                        .returned = returned };
  blob_t *grant = spend_book_encode (&message);
  control_spend_answer_t answer = spend_book_apply (book, grant);
  blob_unref (grant);
  g_assert_cmpint (spend_book_granted (book), <=, CAP_PARTS);
  return answer;
}

/* Holders that always ask for more, restart often and never return anything:
   the sum of all grants must not exceed the cap, as each restart's unreturned
   amount counts as spent.  */
static void
test_cap_holds_over_restarts (void)
{
  spend_book_t *book = spend_book_new ();
  spend_book_open (book, 7, CAP);
  int64_t granted[HOLDERS] = { 0 };
  int64_t total = 0;
  for (uint64_t round = 1; round < 200; round++)
    for (uint32_t holder = 0; holder < HOLDERS; holder++)
      {
        uint64_t generation = 1 + round / 10;
        if (round % 10 == 0)
          granted[holder] = 0;
        control_spend_answer_t answer = ask (
            book, 7, holder, generation, granted[holder] + CAP_PARTS / 20, 0);
        g_assert_cmpint (answer.verdict, ==, CONTROL_SPEND_GRANTED);
        total += answer.granted - granted[holder];
        granted[holder] = answer.granted;
      }
  g_assert_cmpint (total, <=, CAP_PARTS);
  g_assert_cmpint (total, >, CAP_PARTS * 9 / 10);
  spend_book_free (book);
}

/* Repeating an ask grants and returns nothing more; an ask from before the
   holder's restart (of a lower generation) is stale.  */
static void
test_resend_and_return (void)
{
  spend_book_t *book = spend_book_new ();
  spend_book_open (book, 7, CAP);
  g_assert_cmpint (ask (book, 7, 0, 5, 100, 0).granted, ==, 100);
  g_assert_cmpint (ask (book, 7, 0, 5, 100, 0).granted, ==, 100);
  g_assert_cmpint (spend_book_granted (book), ==, 100);
  ask (book, 7, 0, 5, 100, 60);
  g_assert_cmpint (spend_book_granted (book), ==, 40);
  ask (book, 7, 0, 5, 100, 60);
  g_assert_cmpint (spend_book_granted (book), ==, 40);
  control_spend_answer_t former_generation = ask (book, 7, 0, 4, 100, 100);
  g_assert_cmpint (former_generation.verdict, ==, CONTROL_SPEND_STALE);
  g_assert_cmpuint (former_generation.generation, ==, 5);
  g_assert_cmpint (spend_book_granted (book), ==, 40);
  spend_book_free (book);
}

/* A sheet with the same budget number keeps the granted amounts, one with a
   higher number starts at zero, one with a lower number doesn't reopen the
   former budget; an ask for a former budget is stale.  */
static void
test_budget_lasts_over_sheets (void)
{
  spend_book_t *book = spend_book_new ();
  g_assert_cmpint (ask (book, 7, 0, 1, 100, 0).verdict, ==,
                   CONTROL_SPEND_STALE);
  spend_book_open (book, 7, CAP);
  ask (book, 7, 0, 1, 500, 0);
  spend_book_open (book, 7, CAP / 2);
  g_assert_cmpint (spend_book_granted (book), ==, 500);
  spend_book_open (book, 8, CAP);
  g_assert_cmpint (spend_book_granted (book), ==, 0);
  control_spend_answer_t former_budget = ask (book, 7, 0, 1, 600, 0);
  g_assert_cmpint (former_budget.verdict, ==, CONTROL_SPEND_STALE);
  g_assert_cmpuint (former_budget.budget, ==, 8);
  ask (book, 8, 0, 1, 600, 0);
  spend_book_open (book, 7, CAP);
  g_assert_cmpint (spend_book_granted (book), ==, 600);
  spend_book_free (book);
}

/* A restored snapshot has the same accounts and generations; a truncated one
   is refused and leaves the book unchanged.  */
static void
test_snapshot_keeps_everything (void)
{
  spend_book_t *book = spend_book_new ();
  spend_book_t *copy = spend_book_new ();
  spend_book_open (book, 7, CAP);
  ask (book, 7, 0, 1, 500, 100);
  ask (book, 7, 0, 2, 300, 0);
  ask (book, 7, 3, 1, 900, 0);
  blob_t *saved = spend_book_save (book);
  err_t err = { 0 };
  g_assert_true (spend_book_restore (copy, saved->bytes, saved->length, &err));
  g_assert_cmpint (spend_book_granted (copy), ==, spend_book_granted (book));
  g_assert_cmpint (ask (copy, 7, 0, 1, 900, 0).verdict, ==,
                   CONTROL_SPEND_STALE);
  g_assert_cmpint (ask (copy, 7, 3, 1, 900, 0).granted, ==, 900);
  g_assert_false (
      spend_book_restore (copy, saved->bytes, saved->length / 2, &err));
  g_assert_cmpint (err.kind, ==, ERR_PROTOCOL);
  g_assert_cmpint (spend_book_granted (copy), ==, spend_book_granted (book));
  blob_unref (saved);
  spend_book_free (book);
  spend_book_free (copy);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/control/spend/restarts", test_cap_holds_over_restarts);
  g_test_add_func ("/control/spend/resend", test_resend_and_return);
  g_test_add_func ("/control/spend/sheets", test_budget_lasts_over_sheets);
  g_test_add_func ("/control/spend/snapshot", test_snapshot_keeps_everything);
  return g_test_run ();
}
