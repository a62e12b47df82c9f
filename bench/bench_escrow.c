/* bench-escrow: the cost of grants.  Nine holders spend at a steady rate
   through a shift; one is lost, one is cut off.  For several sizes of a step:
   the part of the cap that a lost VM strands, how long a cut-off VM goes on,
   what is left unspent at the end and the messages a second.  */

#include <stdio.h>

#include "admission/escrow.h"

enum
{
  N_HOLDERS = 9,
  SHIFT_SECONDS = 28800,
  ASK_SECONDS = 1,
  EVENT_SECOND = 14400, /* when one is lost and another cut off */
  PRICE = 100,
  REQUESTS_A_SECOND = 500, /* of each VM */
  LOST = 3,
  CUT = 5,
};

/* The cap is a tenth over what the load costs.  */
static const int64_t cap
    = (int64_t)SHIFT_SECONDS * N_HOLDERS * REQUESTS_A_SECOND * PRICE / 10 * 11;

typedef struct run
{
  escrow_t *escrow;
  escrow_holder_t holders[N_HOLDERS];
  int64_t stranded;
  int64_t cut_lasted; /* seconds */
  int64_t refused;
  int64_t spent;
} run_t;

static void
run_open (run_t *run, int64_t step)
{
  escrow_options_t options = { .kind = BUDGET_SPEND,
                               .cap = cap,
                               .grant_divisor = N_HOLDERS,
                               .n_accounts = N_HOLDERS };
  *run = (run_t){ .escrow = escrow_new (&options, NULL), .cut_lasted = -1 };
  for (uint32_t v = 0; v < N_HOLDERS; v++)
    {
      escrow_holder_options_t holder = {
        .kind = BUDGET_SPEND, .self = v, .generation = 1, .increase_min = step
      };
      escrow_holder_init (&run->holders[v], &holder, 0);
    }
}

static void
exchange (run_t *run, escrow_holder_t *holder, usec_t now)
{
  escrow_ask_t ask = escrow_holder_ask (holder, now);
  escrow_answer_t answer = escrow_apply (run->escrow, &ask, now);
  escrow_holder_answer (holder, &answer, now);
}

static void
spend_second (run_t *run, vm_id_t v, int64_t second)
{
  usec_t now = second * USEC_PER_SEC;
  for (int i = 0; i < REQUESTS_A_SECOND; i++)
    if (escrow_holder_charge (&run->holders[v], PRICE, now, now))
      run->spent += PRICE;
    else if (v == CUT && second >= EVENT_SECOND)
      {
        if (run->cut_lasted < 0)
          run->cut_lasted = second - EVENT_SECOND;
      }
    else
      run->refused++;
}

static void
run_shift (run_t *run)
{
  for (int64_t second = 0; second < SHIFT_SECONDS; second++)
    for (uint32_t v = 0; v < N_HOLDERS; v++)
      {
        escrow_holder_t *holder = &run->holders[v];
        bool away = second >= EVENT_SECOND && (v == LOST || v == CUT);
        if (!away && second % ASK_SECONDS == 0)
          exchange (run, holder, second * USEC_PER_SEC);
        if (v == LOST && second == EVENT_SECOND)
          run->stranded = escrow_holder_available (holder, 0);
        if (v != LOST || second < EVENT_SECOND)
          spend_second (run, v, second);
      }
}

int
main (void)
{
  static const int64_t divisors[]
      = { 50000, 10000, 5000, 2000, 1000, 500, 200, 100, 50, 20, 10 };
  printf ("| step, part of the cap | stranded by a lost VM %% | a cut-off VM "
          "goes on, s | refused for spend, others | over cap |\n"
          "|--:|--:|--:|--:|--:|\n");
  for (size_t i = 0; i < sizeof divisors / sizeof divisors[0]; i++)
    {
      run_t run;
      run_open (&run, cap / divisors[i]);
      run_shift (&run);
      printf (
          "| 1/%lld | %.3f | %lld%s | %lld | %lld |\n", (long long)divisors[i],
          100.0 * (double)run.stranded / (double)cap,
          (long long)(run.cut_lasted < 0 ? SHIFT_SECONDS - EVENT_SECOND
                                         : run.cut_lasted),
          run.cut_lasted < 0 ? " (to the end)" : "", (long long)run.refused,
          (long long)(run.spent > cap ? run.spent - cap : 0));
      escrow_free (run.escrow);
    }
  return 0;
}
