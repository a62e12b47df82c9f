/* bench-ledger: what claims cost, and which requests still run.

   On the users' places (3 regions of 2 failure domains, 9 entry VMs) it
   compares three ways to place a claim: at one home VM, at a fixed quorum,
   and at the quorum that each ticket carries.  All run the same claim code
   on the same ledgers; only the replicas that a ticket names differ.  The
   network is simulated: 0.5 ms between domains, 20 ms between regions.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "ledger/claim.h"
#include "ledger/ledger.h"

enum
{
  N_VMS = 9,
  N_DOMAINS = 6,
  N_EVENTS = 256,
  N_TRIALS = 4000,
  N_CONTESTS = 20000,
  REMEMBERED = 10000,
  BODY_BYTES = 256,
  N_CLAIMS = 200000,
  PERCENT = 100,
};

static const domain_id_t domain_of[N_VMS] = { 0, 0, 1, 2, 2, 3, 4, 4, 5 };

typedef enum
{
  DESIGN_HOME,
  DESIGN_FIXED,
  DESIGN_TICKET,
  N_DESIGNS,
} design_t;

static const char *const design_names[]
    = { "single home", "fixed quorum", "ticket quorum" };

/* A vote or an ask under way.  */
typedef struct event
{
  bool used;
  bool is_vote;
  bool is_failure;
  usec_t at;
  int attempt;
  size_t replica;
  ledger_request_t ask;
  ledger_vote_t vote;
} event_t;

typedef struct bench
{
  random_state_t random;
  usec_t now;
  uint64_t n_numbers;
  ledger_t *ledgers[N_VMS];
  uint64_t incarnation[N_VMS];
  bool lost[N_VMS];
  int cut_domain; /* -1: none */
  event_t events[N_EVENTS];
  claim_t claims[2];
  usec_t settled_at[2];
} bench_t;

static void
start_vm (bench_t *bench, vm_id_t vm)
{
  ledger_free (bench->ledgers[vm]);
  bench->incarnation[vm]++;
  const ledger_options_t options = { .self = vm,
                                     .incarnation = bench->incarnation[vm],
                                     .max_vms = N_VMS,
                                     .max_claims = 64,
                                     .max_total_body_bytes = 4096,
                                     .max_body_bytes = BODY_BYTES,
                                     .ticket_lifetime = 600 * USEC_PER_SEC };
  bench->ledgers[vm] = ledger_new (&options, bench->now, NULL);
}

static void
reset (bench_t *bench)
{
  memset (bench->lost, 0, sizeof bench->lost);
  memset (bench->events, 0, sizeof bench->events);
  bench->cut_domain = -1;
  for (size_t i = 0; i < N_VMS; i++)
    start_vm (bench, (vm_id_t)i);
}

static region_id_t
region_of (vm_id_t vm)
{
  return domain_of[vm] / 2;
}

static bool
reaches (const bench_t *bench, vm_id_t from, vm_id_t to)
{
  if (bench->lost[to])
    return false;
  bool from_cut = domain_of[from] == bench->cut_domain;
  bool to_cut = domain_of[to] == bench->cut_domain;
  return from_cut == to_cut;
}

/* One way.  */
static usec_t
delay (vm_id_t from, vm_id_t to)
{
  if (from == to)
    return 0;
  if (domain_of[from] == domain_of[to])
    return 100;
  return region_of (from) == region_of (to) ? 500 : 20 * USEC_PER_MSEC;
}

static vm_id_t
pick_vm (bench_t *bench, int domain)
{
  for (;;)
    {
      vm_id_t vm = (vm_id_t)random_below (&bench->random, N_VMS);
      if (!bench->lost[vm] && (domain < 0 || domain_of[vm] == domain))
        return vm;
    }
}

static ticket_t
issue (bench_t *bench, design_t design, vm_id_t issuer)
{
  ticket_candidate_t candidates[N_VMS];
  for (size_t i = 0; i < N_VMS; i++)
    candidates[i] = (ticket_candidate_t){ .incarnation = bench->incarnation[i],
                                          .vm = (vm_id_t)i,
                                          .domain = domain_of[i],
                                          .region = region_of ((vm_id_t)i),
                                          .reachable = reaches (bench, issuer,
                                                                (vm_id_t)i) };
  const ticket_issue_options_t options
      = { .issuer = issuer,
          .incarnation = bench->incarnation[issuer],
          .sequence = ++bench->n_numbers,
          .now = bench->now,
          .candidates = candidates,
          .n_candidates = N_VMS };
  ticket_t ticket;
  ticket_issue (&ticket, &options, &bench->random, NULL);
  if (design == DESIGN_TICKET)
    return ticket;
  /* The same VMs for all: one in each region, or the hash's choice.  */
  static const vm_id_t fixed[TICKET_REPLICAS_MAX] = { 0, 3, 6 };
  ticket.n_replicas = design == DESIGN_FIXED ? TICKET_REPLICAS_MAX : 1;
  for (size_t i = 0; i < ticket.n_replicas; i++)
    {
      vm_id_t vm = design == DESIGN_FIXED
                       ? fixed[i]
                       : (vm_id_t)(bench->n_numbers % N_VMS);
      ticket.replicas[i]
          = (ticket_replica_t){ .vm = vm,
                                .incarnation = bench->incarnation[vm] };
    }
  return ticket;
}

static event_t *
add_event (bench_t *bench, usec_t at)
{
  for (size_t i = 0; i < N_EVENTS; i++)
    if (!bench->events[i].used)
      {
        bench->events[i] = (event_t){ .used = true, .at = at };
        return &bench->events[i];
      }
  fprintf (stderr, "too many events\n");
  exit (EXIT_FAILURE);
}

/* Nobody says that a VM is lost or cut: its asks time out.  */
static void
send_asks (bench_t *bench, int attempt, const claim_requests_t *asks)
{
  const claim_t *claim = &bench->claims[attempt];
  vm_id_t from = claim->options.attempt.vm;
  for (size_t i = 0; i < asks->n; i++)
    {
      size_t replica = asks->items[i].replica;
      vm_id_t to = claim->options.ticket.replicas[replica].vm;
      if (!reaches (bench, from, to))
        continue;
      event_t *event = add_event (bench, bench->now + delay (from, to));
      event->attempt = attempt;
      event->replica = replica;
      event->ask = claim_make_request (claim, asks->items[i].op);
    }
}

static void
handle (bench_t *bench, event_t *event)
{
  event_t copy = *event;
  event->used = false;
  claim_t *claim = &bench->claims[copy.attempt];
  vm_id_t replica = copy.ask.ticket.replicas[copy.replica].vm;
  if (!copy.is_vote)
    {
      usec_t at = bench->now + delay (replica, claim->options.attempt.vm);
      event_t *answer = add_event (bench, at);
      *answer = copy;
      answer->at = at;
      answer->is_vote = true;
      answer->vote
          = ledger_on_request (bench->ledgers[replica], &copy.ask, bench->now);
      return;
    }
  claim_requests_t asks;
  claim_on_vote (claim, copy.replica, &copy.vote, bench->now, &asks);
  send_asks (bench, copy.attempt, &asks);
}

static event_t *
next_event (bench_t *bench)
{
  event_t *next = NULL;
  for (size_t i = 0; i < N_EVENTS; i++)
    {
      event_t *event = &bench->events[i];
      if (event->used && (!next || event->at < next->at))
        next = event;
    }
  return next;
}

static void
start (bench_t *bench, int attempt, vm_id_t vm, const ticket_t *ticket,
       claim_order_t order)
{
  const claim_options_t options
      = { .order = order,
          .ticket = *ticket,
          .attempt = { .vm = vm,
                       .incarnation = bench->incarnation[vm],
                       .number = ++bench->n_numbers },
          .vote_timeout = 100 * USEC_PER_MSEC,
          .contention_backoff = 50 * USEC_PER_MSEC,
          .poll_interval = 100 * USEC_PER_MSEC,
          .deadline = bench->now + 2 * USEC_PER_SEC };
  claim_requests_t asks;
  bench->settled_at[attempt] = 0;
  claim_start (&bench->claims[attempt], &options, bench->now, &asks);
  send_asks (bench, attempt, &asks);
}

/* Run the first N claims to their ends.  */
static void
run (bench_t *bench, int n)
{
  for (;;)
    {
      usec_t due = INT64_MAX;
      for (int i = 0; i < n; i++)
        {
          const claim_t *claim = &bench->claims[i];
          if (claim_is_settled (claim) && bench->settled_at[i] == 0)
            bench->settled_at[i] = bench->now;
          if (claim_wakeup (claim) < due)
            due = claim_wakeup (claim);
        }
      if (due == INT64_MAX)
        return;
      event_t *event = next_event (bench);
      if (event && event->at <= due)
        {
          bench->now = event->at;
          handle (bench, event);
          continue;
        }
      bench->now = due;
      for (int i = 0; i < n; i++)
        {
          claim_requests_t asks;
          claim_tick (&bench->claims[i], bench->now, &asks);
          send_asks (bench, i, &asks);
        }
    }
}

typedef struct scenario
{
  const char *name;
  int n_lost;
  bool cut; /* one domain from all others */
  bool inside;
  bool old_tickets; /* issued before the fault */
  bool region_lost; /* one, with its VMs */
} scenario_t;

static void
inject (bench_t *bench, const scenario_t *scenario)
{
  for (int i = 0; i < scenario->n_lost; i++)
    bench->lost[pick_vm (bench, -1)] = true;
  if (scenario->cut)
    bench->cut_domain = (int)random_below (&bench->random, N_DOMAINS);
  if (!scenario->region_lost)
    return;
  region_id_t region = region_of (pick_vm (bench, -1));
  for (size_t i = 0; i < N_VMS; i++)
    if (region_of ((vm_id_t)i) == region)
      bench->lost[i] = true;
}

/* The VM that a caller uses: reachable for it, in or out of the cut.  */
static vm_id_t
pick_entry (bench_t *bench, const scenario_t *scenario)
{
  if (scenario->cut && scenario->inside)
    return pick_vm (bench, bench->cut_domain);
  for (;;)
    {
      vm_id_t vm = pick_vm (bench, -1);
      if (domain_of[vm] != bench->cut_domain)
        return vm;
    }
}

static double
share_that_runs (bench_t *bench, design_t design, const scenario_t *scenario)
{
  int n_won = 0;
  for (int i = 0; i < N_TRIALS; i++)
    {
      reset (bench);
      ticket_t old = { 0 };
      scenario_t where = *scenario;
      vm_id_t issuer = pick_vm (bench, -1);
      if (scenario->old_tickets)
        old = issue (bench, design, issuer);
      inject (bench, scenario);
      /* A caller inside a cut was there before, too.  */
      if (scenario->old_tickets && scenario->cut && scenario->inside)
        {
          int cut = bench->cut_domain;
          bench->cut_domain = -1;
          old = issue (bench, design, pick_vm (bench, cut));
          bench->cut_domain = cut;
        }
      vm_id_t vm = pick_entry (bench, &where);
      ticket_t ticket
          = scenario->old_tickets ? old : issue (bench, design, vm);
      start (bench, 0, vm, &ticket, CLAIM_ORDER_SEQUENTIAL);
      run (bench, 1);
      n_won += bench->claims[0].phase == CLAIM_WON;
    }
  return (double)n_won * PERCENT / N_TRIALS;
}

static void
measure_availability (bench_t *bench)
{
  static const scenario_t scenarios[] = {
    { "none lost", 0, false, false, false, false },
    { "1 VM lost, new tickets", 1, false, false, false, false },
    { "1 VM lost, old tickets", 1, false, false, true, false },
    { "2 VMs lost, new tickets", 2, false, false, false, false },
    { "2 VMs lost, old tickets", 2, false, false, true, false },
    { "domain cut off, inside, new", 0, true, true, false, false },
    { "domain cut off, inside, old", 0, true, true, true, false },
    { "domain cut off, outside, new", 0, true, false, false, false },
    { "domain cut off, outside, old", 0, true, false, true, false },
    { "region lost, new", 0, false, false, false, true },
    { "region lost, old", 0, false, false, true, true },
  };
  printf ("%-30s", "share that runs, %");
  for (int d = 0; d < N_DESIGNS; d++)
    printf (" %14s", design_names[d]);
  printf ("\n");
  for (size_t i = 0; i < sizeof scenarios / sizeof *scenarios; i++)
    {
      printf ("%-30s", scenarios[i].name);
      for (int d = 0; d < N_DESIGNS; d++)
        printf (" %14.1f",
                share_that_runs (bench, (design_t)d, &scenarios[i]));
      printf ("\n");
    }
}

static int
compare_usec (const void *a, const void *b)
{
  usec_t x = *(const usec_t *)a;
  usec_t y = *(const usec_t *)b;
  return (x > y) - (x < y);
}

static double
milliseconds (usec_t span)
{
  return (double)span / (double)USEC_PER_MSEC;
}

static void
measure_latency (bench_t *bench)
{
  static usec_t spans[N_TRIALS];
  printf ("\nclaim, ms (p50, p99)\n");
  for (int design = 0; design < N_DESIGNS; design++)
    for (int order = 0; order < 2; order++)
      {
        for (int i = 0; i < N_TRIALS; i++)
          {
            reset (bench);
            vm_id_t vm = pick_vm (bench, -1);
            ticket_t ticket = issue (bench, (design_t)design, vm);
            usec_t began = bench->now;
            start (bench, 0, vm, &ticket, (claim_order_t)order);
            run (bench, 1);
            spans[i] = bench->settled_at[0] - began;
          }
        qsort (spans, N_TRIALS, sizeof *spans, compare_usec);
        printf ("  %-14s %-9s %6.1f %6.1f\n", design_names[design],
                order == CLAIM_ORDER_SEQUENTIAL ? "in order" : "parallel",
                milliseconds (spans[N_TRIALS / 2]),
                milliseconds (spans[N_TRIALS - N_TRIALS / PERCENT]));
      }
}

/* Two sends of one ticket through different VMs, up to 5 ms apart.  */
static void
measure_contests (bench_t *bench, claim_order_t order, bool one_lost)
{
  int n_won = 0;
  int n_both_refused = 0;
  int n_split = 0;
  for (int i = 0; i < N_CONTESTS; i++)
    {
      reset (bench);
      ticket_t ticket = issue (bench, DESIGN_TICKET, pick_vm (bench, -1));
      if (one_lost)
        bench->lost[ticket.replicas[random_below (&bench->random, 3)].vm]
            = true;
      vm_id_t first = pick_vm (bench, -1);
      vm_id_t second = first;
      while (second == first)
        second = pick_vm (bench, -1);
      bench->claims[1].phase = CLAIM_UNKNOWN;
      start (bench, 0, first, &ticket, order);
      bench->now += (usec_t)random_below (&bench->random, 5 * USEC_PER_MSEC);
      start (bench, 1, second, &ticket, order);
      run (bench, 2);
      claim_phase_t a = bench->claims[0].phase;
      claim_phase_t b = bench->claims[1].phase;
      if (a == CLAIM_WON && b == CLAIM_WON)
        {
          fprintf (stderr, "two attempts won\n");
          exit (EXIT_FAILURE);
        }
      n_won += a == CLAIM_WON || b == CLAIM_WON;
      n_both_refused += a == CLAIM_REFUSED && b == CLAIM_REFUSED;
      n_split += a == CLAIM_UNKNOWN && b == CLAIM_UNKNOWN;
    }
  printf ("  %-9s %-16s %8.2f %14.2f %14.2f\n",
          order == CLAIM_ORDER_SEQUENTIAL ? "in order" : "parallel",
          one_lost ? "1 replica lost" : "none lost",
          (double)n_won * PERCENT / N_CONTESTS,
          (double)n_both_refused * PERCENT / N_CONTESTS,
          (double)n_split * PERCENT / N_CONTESTS);
}

static void
measure_memory (void)
{
  static char body[BODY_BYTES];
  const ledger_options_t options
      = { .incarnation = 1,
          .max_vms = N_VMS,
          .max_claims = REMEMBERED,
          .max_total_body_bytes = REMEMBERED * BODY_BYTES,
          .max_body_bytes = BODY_BYTES,
          .ticket_lifetime = 600 * USEC_PER_SEC };
  ledger_t *ledger = ledger_new (&options, 0, NULL);
  ledger_request_t ask = { .op = LEDGER_RECORD };
  ask.ticket = (ticket_t){ .id.issuer_incarnation = 1,
                           .generation = 1,
                           .n_replicas = 1,
                           .replicas = { { .incarnation = 1 } } };
  ask.outcome = (outcome_t){
    .status = 200, .body_kept = true, .n_body = BODY_BYTES, .body = body
  };
  for (uint64_t i = 0; i < REMEMBERED; i++)
    {
      ask.ticket.id.sequence = i;
      ledger_on_request (ledger, &ask, 0);
    }
  ledger_stats_t stats = ledger_stats (ledger);
  printf ("\nmemory for %zu remembered tickets: %zu KB, and %zu KB of bodies "
          "(%d bytes each)\n",
          stats.claims, stats.fixed_bytes / 1024, stats.body_bytes / 1024,
          BODY_BYTES);
  ledger_free (ledger);
}

/* Claims in order on three ledgers, and their records, without a network. */
static void
measure_speed (bench_t *bench)
{
  reset (bench);
  ledger_t *ledgers[TICKET_REPLICAS_MAX];
  for (size_t i = 0; i < TICKET_REPLICAS_MAX; i++)
    {
      const ledger_options_t options = { .self = (vm_id_t)i,
                                         .incarnation = 1,
                                         .max_vms = N_VMS,
                                         .max_claims = N_CLAIMS,
                                         .max_total_body_bytes = 1,
                                         .max_body_bytes = 1,
                                         .ticket_lifetime = USEC_PER_SEC };
      ledgers[i] = ledger_new (&options, 0, NULL);
    }
  claim_options_t options = { .vote_timeout = 1, .deadline = 2 };
  options.ticket = (ticket_t){ .id.issuer_incarnation = 1,
                               .generation = 1,
                               .n_replicas = TICKET_REPLICAS_MAX };
  for (size_t i = 0; i < TICKET_REPLICAS_MAX; i++)
    options.ticket.replicas[i]
        = (ticket_replica_t){ .vm = (vm_id_t)i, .incarnation = 1 };
  usec_t began = clock_monotonic ();
  int n_won = 0;
  for (int i = 0; i < N_CLAIMS; i++)
    {
      options.ticket.id.sequence = (uint64_t)i;
      claim_t claim;
      claim_requests_t asks;
      claim_start (&claim, &options, 0, &asks);
      while (asks.n > 0 && !claim_is_settled (&claim))
        {
          size_t replica = asks.items[0].replica;
          ledger_request_t ask = claim_make_request (&claim, asks.items[0].op);
          ledger_vote_t vote = ledger_on_request (ledgers[replica], &ask, 0);
          claim_on_vote (&claim, replica, &vote, 0, &asks);
        }
      n_won += claim.phase == CLAIM_WON;
      ledger_request_t record = claim_make_request (&claim, LEDGER_RECORD);
      for (size_t j = 0; j < TICKET_REPLICAS_MAX; j++)
        ledger_on_request (ledgers[j], &record, 0);
    }
  usec_t span = clock_monotonic () - began;
  printf ("claims with their records on one core: %.0f a second (%d of %d "
          "won)\n",
          (double)N_CLAIMS * USEC_PER_SEC / (double)span, n_won, N_CLAIMS);
  for (size_t i = 0; i < TICKET_REPLICAS_MAX; i++)
    ledger_free (ledgers[i]);
}

int
main (void)
{
  static bench_t bench;
  bench.now = USEC_PER_SEC;
  random_seed (&bench.random, 1);
  measure_availability (&bench);
  measure_latency (&bench);
  printf ("\ntwo sends of one ticket at once, %%: one runs, both \"not run\", "
          "both \"unknown\"\n");
  for (int order = 0; order < 2; order++)
    for (int lost = 0; lost < 2; lost++)
      measure_contests (&bench, (claim_order_t)order, lost == 1);
  measure_memory ();
  measure_speed (&bench);
  for (size_t i = 0; i < N_VMS; i++)
    ledger_free (bench.ledgers[i]);
  return EXIT_SUCCESS;
}
