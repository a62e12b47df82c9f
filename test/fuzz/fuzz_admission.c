/* fuzz-runs: 300000 */
/* Escrow checked against three plain sums.  The input is a schedule of events:
   asks that are lost, late, repeated or reordered, charges, ends of charges,
   restarts of a holder, a change of the granter's leader, and clocks that
   drift within the bound.  After every event the holders' real use must be
   within the cap, for spend, requests in flight and rate.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admission/admit.h"

enum
{
  N_HOLDERS = 3,
  N_MESSAGES = 12,
  N_CHARGES = 120,
  CAP = 100,
  FLOOR = 5,
  PRICE_MAX = 20,
  DRIFT_PPM = 100000, /* 10 percent, so that an error shows in few events */
  CHARGE_USEC = 150000,
  LEASE_USEC = 200000,
  PASS_USEC = 20000,
  PASS_STEPS = 10,
  CHARGES_AT_ONCE = 12,
};

typedef struct charge
{
  reservation_t reservation;
  int64_t amount;
  usec_t until; /* by the holder's clock: its latest end */
  uint8_t holder;
  bool live;
  bool lost; /* its holder restarted; the request still runs */
} charge_t;

typedef struct message
{
  bool full;
  bool is_answer;
  uint8_t holder;
  escrow_ask_t ask;
  escrow_answer_t answer;
} message_t;

typedef struct world
{
  budget_kind_t kind;
  escrow_t *granter;
  escrow_holder_t holders[N_HOLDERS];
  uint64_t generations[N_HOLDERS];
  usec_t holder_now[N_HOLDERS];
  usec_t granter_now;
  uint8_t skew;  /* rate of each clock, as digits to base 3 */
  int64_t spent; /* by all holders, with those before restarts */
  message_t messages[N_MESSAGES];
  charge_t charges[N_CHARGES];
} world_t;

typedef struct input
{
  const uint8_t *data;
  size_t size;
} input_t;

static uint8_t
take (input_t *input)
{
  if (input->size == 0)
    return 0;
  input->size--;
  return *input->data++;
}

static void
holder_start (world_t *world, uint8_t h)
{
  world->generations[h] += 1000;
  escrow_holder_options_t options
      = { .kind = world->kind,
          .self = h,
          .generation = world->generations[h],
          .floor = world->kind == BUDGET_SPEND ? 0 : FLOOR,
          .increase_min = 10 + h * 15,
          .burst = USEC_PER_SEC,
          .terms = { .duration = LEASE_USEC, .drift_ppm = DRIFT_PPM } };
  escrow_holder_init (&world->holders[h], &options, world->holder_now[h]);
}

static void
world_open (world_t *world, input_t *input)
{
  memset (world, 0, sizeof *world);
  world->kind = (budget_kind_t)(take (input) % 3);
  world->skew = take (input);
  world->granter_now = USEC_PER_SEC;
  escrow_options_t options
      = { .kind = world->kind,
          .cap = CAP,
          .reserved = world->kind == BUDGET_SPEND ? 0 : FLOOR * N_HOLDERS,
          .grant_divisor = 1 + take (input) % 4,
          .n_accounts = (size_t)N_HOLDERS * 3,
          .terms = { .duration = LEASE_USEC, .drift_ppm = DRIFT_PPM } };
  world->granter = escrow_new (&options, NULL);
  for (int h = 0; h < N_HOLDERS; h++)
    {
      world->holder_now[h] = (h + 1) * 7 * USEC_PER_SEC;
      holder_start (world, (uint8_t)h);
    }
}

static message_t *
message_place (world_t *world)
{
  for (int i = 0; i < N_MESSAGES; i++)
    if (!world->messages[i].full)
      return &world->messages[i];
  return &world->messages[0]; /* the oldest is lost */
}

static void
send_ask (world_t *world, uint8_t h, bool closing)
{
  escrow_holder_t *holder = &world->holders[h];
  usec_t now = world->holder_now[h];
  message_t *message = message_place (world);
  *message = (message_t){ .full = true, .holder = h };
  message->ask = closing ? escrow_holder_close (holder, now)
                         : escrow_holder_ask (holder, now);
}

/* Deliver a message; KEEP leaves it in the network, to be delivered again.  */
static void
deliver (world_t *world, uint8_t index, bool keep)
{
  message_t message = world->messages[index % N_MESSAGES];
  if (!message.full)
    return;
  world->messages[index % N_MESSAGES].full = keep;
  uint8_t h = message.holder;
  if (message.is_answer)
    {
      escrow_holder_answer (&world->holders[h], &message.answer,
                            world->holder_now[h]);
      return;
    }
  message_t *answer = message_place (world);
  *answer = (message_t){ .full = true, .is_answer = true, .holder = h };
  answer->answer
      = escrow_apply (world->granter, &message.ask, world->granter_now);
}

/* An ask and its answer, with nothing lost.  */
static void
exchange (world_t *world, uint8_t h)
{
  escrow_holder_t *holder = &world->holders[h];
  escrow_ask_t ask = escrow_holder_ask (holder, world->holder_now[h]);
  escrow_answer_t answer
      = escrow_apply (world->granter, &ask, world->granter_now);
  escrow_holder_answer (holder, &answer, world->holder_now[h]);
}

static admit_budgets_t
budgets_of (world_t *world, uint8_t h)
{
  admit_budgets_t budgets = { 0 };
  switch (world->kind)
    {
    case BUDGET_SPEND:
      budgets.spend = &world->holders[h];
      break;
    case BUDGET_CAPACITY:
      budgets.capacity = &world->holders[h];
      break;
    case BUDGET_RATE:
      budgets.answer_link = &world->holders[h];
      break;
    }
  return budgets;
}

static void
charge (world_t *world, uint8_t h, int64_t amount)
{
  charge_t *place = NULL;
  for (int i = 0; i < N_CHARGES && !place; i++)
    if (!world->charges[i].live)
      place = &world->charges[i];
  if (!place)
    return;
  usec_t now = world->holder_now[h];
  admit_budgets_t budgets = budgets_of (world, h);
  refusal_t refusal;
  *place = (charge_t){ .holder = h, .until = now + CHARGE_USEC };
  place->amount = world->kind == BUDGET_SPEND ? amount : 1;
  admit_needs_t needs = { .price = amount, .answer_bytes = amount };
  place->live = reservation_take (&place->reservation, &budgets, &needs, 0,
                                  place->until, now, &refusal);
  if (place->live && world->kind == BUDGET_SPEND)
    world->spent += amount;
}

/* One charge by its amount, or several of one each.  */
static void
charge_many (world_t *world, uint8_t h, uint8_t amount)
{
  if (world->kind != BUDGET_CAPACITY)
    charge (world, h, 1 + amount % PRICE_MAX);
  else
    for (int i = 0; i <= amount % CHARGES_AT_ONCE; i++)
      charge (world, h, 1);
}

static void
end_charge (world_t *world, charge_t *charge, bool ran)
{
  if (!charge->live)
    return;
  charge->live = false;
  if (charge->lost)
    return;
  reservation_end (&charge->reservation, ran);
  reservation_end (&charge->reservation, ran);
  if (!ran && world->kind == BUDGET_SPEND)
    world->spent -= charge->amount;
}

static void
restart (world_t *world, uint8_t h)
{
  for (int i = 0; i < N_CHARGES; i++)
    world->charges[i].lost |= world->charges[i].holder == h;
  holder_start (world, (uint8_t)h);
}

/* Let true time pass; each clock drifts by up to the bound, always in the same
   direction, which is the worst case.  */
static void
pass_time (world_t *world, input_t *input)
{
  usec_t span = (1 + take (input) % PASS_STEPS) * PASS_USEC;
  uint8_t skew = world->skew;
  static const int64_t rates[] = { 90, 100, 110 };
  world->granter_now += span * rates[skew % 3] / 100;
  for (int h = 0; h < N_HOLDERS; h++)
    {
      skew /= 3;
      world->holder_now[h] += span * rates[skew % 3] / 100;
    }
  for (int i = 0; i < N_CHARGES; i++)
    {
      charge_t *charge = &world->charges[i];
      if (charge->live && world->holder_now[charge->holder] >= charge->until)
        end_charge (world, charge, true);
    }
}

/* The amount that the holders use, or may use without another message.  */
static int64_t
in_use (world_t *world)
{
  int64_t sum = 0;
  switch (world->kind)
    {
    case BUDGET_SPEND:
      return world->spent;
    case BUDGET_CAPACITY:
      for (int i = 0; i < N_CHARGES; i++)
        sum += world->charges[i].live && !world->charges[i].lost;
      for (int h = 0; h < N_HOLDERS; h++)
        sum += escrow_holder_available (&world->holders[h],
                                        world->holder_now[h]);
      return sum;
    case BUDGET_RATE:
      for (int h = 0; h < N_HOLDERS; h++)
        sum += escrow_holder_share (&world->holders[h], world->holder_now[h]);
      return sum;
    }
  return sum;
}

static void
check (world_t *world)
{
  int64_t used = in_use (world);
  int64_t granted
      = escrow_granted (world->granter) + world->granter->options.reserved;
  int64_t could = used;
  if (world->kind == BUDGET_SPEND)
    for (int h = 0; h < N_HOLDERS; h++)
      could += escrow_holder_available (&world->holders[h],
                                        world->holder_now[h]);
  if (used <= CAP && could <= CAP && granted <= CAP)
    return;
  fprintf (stderr, "kind %d: used %lld, could use %lld, granted %lld of %d\n",
           (int)world->kind, (long long)used, (long long)could,
           (long long)granted, CAP);
  abort ();
}

static void
step (world_t *world, input_t *input)
{
  uint8_t event = take (input);
  uint8_t h = (event >> 4) % N_HOLDERS;
  switch (event % 14)
    {
    case 0:
    case 1:
      send_ask (world, h, false);
      break;
    case 2:
    case 3:
      deliver (world, take (input), false);
      break;
    case 4:
      deliver (world, take (input), true);
      break;
    case 5:
      world->messages[take (input) % N_MESSAGES].full = false;
      break;
    case 6:
    case 7:
      charge_many (world, h, take (input));
      break;
    case 8:
      end_charge (world, &world->charges[take (input) % N_CHARGES],
                  event & 0x40);
      break;
    case 9:
      pass_time (world, input);
      break;
    case 10:
      if (event & 0x80)
        restart (world, h);
      else
        send_ask (world, h, true);
      break;
    case 12:
    case 13:
      exchange (world, h);
      break;
    case 11:
      /* Another leader, whose clock is unrelated to the old leader's.  */
      world->granter_now
          += (int64_t)take (input) * USEC_PER_SEC - 100 * USEC_PER_SEC;
      escrow_rebase (world->granter, world->granter_now);
      break;
    }
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  input_t input = { .data = data, .size = size };
  static world_t world;
  world_open (&world, &input);
  while (input.size > 0)
    {
      step (&world, &input);
      check (&world);
    }
  escrow_free (world.granter);
  return 0;
}
