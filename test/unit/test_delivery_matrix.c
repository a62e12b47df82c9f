/* The fault matrix of a non-idempotent request: every fault at every step.

   Guards against a request that runs twice, or that is reported as "not run"
   after it ran.  A request through VM 0 is brought to a step, the fault is
   injected, and all work in progress continues as far as it can.  Then the
   caller resends the same ticket through VM 1, and again after each "not
   run".  The oracle of delivery_world.h checks every step.  Each cell of the
   table holds the outcome of the first send, the outcome of the last resend
   (a: answer, n: not run, u: unknown, -: none, because its VM or its caller is
   gone) and the number of times that the request ran.  A second table covers
   a request that VM 0 forwards to VM 2.  */

#include <glib.h>

#include "../support/delivery_world.h"

enum
{
  CONTENT = 0,
  CELL_BYTES = 4,
  N_RESENDS_MAX = 3,
};

typedef enum
{
  STEP_LOOKED_UP,
  STEP_ADMITTED,
  STEP_CLAIMED,
  STEP_SENT,
  STEP_RECEIVING, /* "partly": the head of the answer has arrived */
  STEP_ANSWERED,
  STEP_RECORDED,
  N_STEPS,
} step_t;

typedef enum
{
  FAULT_NONE, /* the answer does not reach the caller */
  FAULT_KILL,
  FAULT_KILL_TWO,    /* VM 2 dies right after VM 0 */
  FAULT_FREEZE,      /* VM 0 stops until after the deadline, then resumes */
  FAULT_CUT,         /* a permanent partition between VM 0 and the others */
  FAULT_CUT_ONE_WAY, /* votes are lost, requests to replicas arrive */
  FAULT_SILENT,      /* the backend server's connection is silent */
  FAULT_CRASH,       /* of the backend server, as by a poison request */
  FAULT_DOMAIN,      /* VM 0 and its backend server */
  FAULT_CANCEL,      /* the caller closes its connection */
  FAULT_SHORT,       /* the answer is truncated */
  N_FAULTS,
} fault_t;

static const char *const step_names[]
    = { "looked-up", "admitted", "claimed", "sent",
        "partly",    "answered", "recorded" };

static const char *const fault_names[]
    = { "lost-answer", "kill",  "kill-two", "freeze", "cut",  "cut-one-way",
        "silent",      "crash", "domain",   "cancel", "short" };

/* Columns as in step_t.  */
static const char *const expected[N_FAULTS][N_STEPS] = {
  [FAULT_NONE] = { "aa1", "na1", "aa1", "aa1", "aa1", "aa1", "aa1" },
  [FAULT_KILL] = { "-a1", "-a1", "-u0", "-u1", "-u1", "au1", "aa1" },
  [FAULT_KILL_TWO] = { "-u0", "-u0", "-u0", "-u1", "-u1", "au1", "aa1" },
  [FAULT_FREEZE] = { "na1", "ua1", "na1", "uu1", "uu1", "aa1", "aa1" },
  [FAULT_CUT] = { "ua1", "ua1", "au1", "au1", "au1", "au1", "aa1" },
  [FAULT_CUT_ONE_WAY] = { "ua1", "ua1", "aa1", "aa1", "aa1", "aa1", "aa1" },
  [FAULT_SILENT] = { "na1", "ua1", "ua1", "uu1", "uu1", "aa1", "aa1" },
  [FAULT_CRASH] = { "aa1", "na1", "aa1", "uu1", "uu1", "aa1", "aa1" },
  [FAULT_DOMAIN] = { "-a1", "-a1", "-u0", "uu1", "uu1", "au1", "aa1" },
  [FAULT_CANCEL] = { "ua1", "ua1", "ua1", "ua1", "ua1", "aa1", "aa1" },
  [FAULT_SHORT] = { "aa1", "na1", "aa1", "uu1", "uu1", "aa1", "aa1" },
};

/* The steps of a forwarded request.  */
typedef enum
{
  HOP_IN_TRANSIT,
  HOP_PLACING,
  HOP_CLAIMED,
  HOP_SENT,
  HOP_ANSWERED, /* the answer is in transit to VM 0 */
  N_HOP_STEPS,
} hop_step_t;

typedef enum
{
  HOP_FAULT_LOST, /* the connection between the VMs fails; VM 2 continues */
  HOP_FAULT_KILL, /* VM 2 */
  HOP_FAULT_FREEZE,
  HOP_FAULT_CUT,    /* a partition of VM 2, after the connection failed */
  HOP_FAULT_ORIGIN, /* VM 0 dies, VM 2 continues */
  N_HOP_FAULTS,
} hop_fault_t;

static const char *const hop_step_names[]
    = { "coming", "placing", "claimed", "sent", "answered" };

static const char *const hop_fault_names[]
    = { "lost", "kill", "freeze", "cut", "origin" };

/* Columns as in hop_step_t.  */
static const char *const hop_expected[N_HOP_FAULTS][N_HOP_STEPS] = {
  [HOP_FAULT_LOST] = { "na1", "na1", "aa1", "aa1", "aa1" },
  [HOP_FAULT_KILL] = { "na1", "na1", "uu0", "uu1", "aa1" },
  [HOP_FAULT_FREEZE] = { "ua1", "ua1", "ua1", "uu1", "ua1" },
  [HOP_FAULT_CUT] = { "na1", "na1", "uu1", "uu1", "aa1" },
  [HOP_FAULT_ORIGIN] = { "-a1", "-a1", "-a1", "-a1", "-a1" },
};

/* Bring a new request at VM 0 to STEP; returns its flight.  */
static int
bring_to_step (world_t *world, step_t step)
{
  int index = world_send (world, 0, CONTENT);
  flight_t *flight = &world->flights[index];
  if (step == STEP_LOOKED_UP)
    return index;
  world->lose_votes = step == STEP_ADMITTED;
  world_place (world, index, EVENT_ADMITTED);
  world->lose_votes = false;
  if (step <= STEP_CLAIMED)
    return index;
  world_start_send (world, flight->work);
  world_run (world, flight->work);
  if (step == STEP_SENT)
    return index;
  request_event_t head
      = { .kind = EVENT_HEAD, .request_id = flight->request.send_id };
  head.as.answer.status = STATUS_BASE + CONTENT;
  head.as.answer.length = ANSWER_BYTES;
  if (step == STEP_RECEIVING)
    {
      world_event (world, index, &head);
      return index;
    }
  /* The record of an answer that was just reported has reached only VM 0's own
     replica.  */
  world->cut[0] = step == STEP_ANSWERED;
  world_finish (world, flight->work, false);
  world->cut[0] = false;
  const request_event_t recorded = { .kind = EVENT_RECORDED };
  if (step == STEP_RECORDED)
    world_event (world, index, &recorded);
  return index;
}

static void
inject (world_t *world, fault_t fault, int index)
{
  switch (fault)
    {
    case FAULT_KILL_TWO:
      world_kill_vm (world, 0);
      world_kill_vm (world, 2);
      break;
    case FAULT_DOMAIN:
      world_crash_backend (world, 0);
      world_kill_vm (world, 0);
      break;
    case FAULT_KILL:
      world_kill_vm (world, 0);
      break;
    case FAULT_FREEZE:
      world->frozen[0] = true;
      world_advance (world, 3 * request_deadline);
      world->frozen[0] = false;
      break;
    case FAULT_CUT:
      world->cut[0] = true;
      break;
    case FAULT_CUT_ONE_WAY:
      world->lose_votes = true;
      break;
    case FAULT_SILENT:
      world_advance (world, 3 * request_deadline);
      break;
    case FAULT_CRASH:
      world_crash_backend (world, 0);
      break;
    case FAULT_CANCEL:
      world_cancel (world, index);
      break;
    case FAULT_SHORT:
      if (world->flights[index].work != NO_FLIGHT)
        world_finish (world, world->flights[index].work, true);
      break;
    case FAULT_NONE:
    case N_FAULTS:
      break;
    }
}

/* Continue all work in progress as far as it can.  */
static void
run_to_completion (world_t *world)
{
  for (int round = 0; round < 8; round++)
    {
      for (int i = 0; i < N_FLIGHTS; i++)
        world_place (world, i, EVENT_ADMITTED);
      for (int i = 0; i < N_WORKS; i++)
        {
          world_start_send (world, i);
          world_run (world, i);
          world_finish (world, i, false);
        }
      for (int i = 0; i < N_FLIGHTS; i++)
        world_deliver_hop_outcome (world, i, false);
      world_advance (world, request_deadline / 6);
    }
}

static char
outcome_letter (const flight_t *flight)
{
  if (!flight->is_reported)
    return '-';
  switch (flight->outcome.kind)
    {
    case OUTCOME_ANSWER:
      return 'a';
    case OUTCOME_NOT_RUN:
      return 'n';
    case OUTCOME_UNKNOWN:
      break;
    }
  return 'u';
}

/* Complete the work in progress, let the caller resend, and fill in CELL.  */
static void
finish_cell (world_t *world, int first, char cell[CELL_BYTES])
{
  run_to_completion (world);
  cell[0] = outcome_letter (&world->flights[first]);
  world->flights[first].alive = true;
  world->lose_votes = false;
  for (int i = 0; i < N_RESENDS_MAX; i++)
    {
      int resend = world_send (world, 1, CONTENT);
      run_to_completion (world);
      cell[1] = outcome_letter (&world->flights[resend]);
      if (cell[1] != 'n')
        break;
    }
  cell[2] = (char)('0' + world->contents[CONTENT].n_runs);
  cell[3] = '\0';
  world_close (world);
}

static void
test_cell (const void *data)
{
  size_t index = GPOINTER_TO_SIZE (data);
  fault_t fault = (fault_t)(index / N_STEPS);
  step_t step = (step_t)(index % N_STEPS);
  char cell[CELL_BYTES] = "";
  static world_t world;
  world_open (&world);
  int first = bring_to_step (&world, step);
  inject (&world, fault, first);
  finish_cell (&world, first, cell);
  g_assert_cmpstr (cell, ==, expected[fault][step]);
}

/* Bring a new request that VM 0 forwards to STEP; returns the hop's
   flight.  */
static int
bring_hop_to_step (world_t *world, hop_step_t step)
{
  int origin = world_send (world, 0, CONTENT);
  world_place (world, origin, EVENT_FORWARD);
  int index = world->flights[origin].hop;
  flight_t *hop = &world->flights[index];
  if (step >= HOP_PLACING)
    world_arrive (world, index);
  if (step >= HOP_CLAIMED)
    world_place (world, index, EVENT_ADMITTED);
  if (step >= HOP_SENT)
    {
      world_start_send (world, hop->work);
      world_run (world, hop->work);
    }
  if (step >= HOP_ANSWERED)
    world_finish (world, hop->work, false);
  return index;
}

static void
inject_hop (world_t *world, hop_fault_t fault, int index)
{
  switch (fault)
    {
    case HOP_FAULT_LOST:
      world_deliver_hop_outcome (world, index, true);
      break;
    case HOP_FAULT_KILL:
      world_deliver_hop_outcome (world, index, true);
      world_kill_vm (world, 2);
      break;
    case HOP_FAULT_FREEZE:
      world->frozen[2] = true;
      world_advance (world, 3 * request_deadline);
      world->frozen[2] = false;
      break;
    case HOP_FAULT_CUT:
      world->cut[2] = true;
      world_deliver_hop_outcome (world, index, true);
      break;
    case HOP_FAULT_ORIGIN:
      world_kill_vm (world, 0);
      break;
    case N_HOP_FAULTS:
      break;
    }
}

static void
test_hop_cell (const void *data)
{
  static world_t world;
  size_t index = GPOINTER_TO_SIZE (data);
  size_t fault = index / N_HOP_STEPS;
  size_t step = index % N_HOP_STEPS;
  g_assert_cmpuint (fault, <, N_HOP_FAULTS);
  char cell[CELL_BYTES] = "";
  world_open (&world);
  int hop = bring_hop_to_step (&world, (hop_step_t)step);
  int first = world.flights[hop].parent;
  inject_hop (&world, (hop_fault_t)fault, hop);
  /* A delayed message arrives after all.  */
  if (world.flights[hop].alive)
    world_arrive (&world, hop);
  finish_cell (&world, first, cell);
  g_assert_cmpstr (cell, ==, hop_expected[fault][step]);
}

/* Guards against an overloaded backend server after its owner restarts while a
   request runs there: the owner admits nothing until that request must have
   stopped.  */
static void
test_restarted_owner (void)
{
  static world_t world;
  world_open (&world);
  bring_to_step (&world, STEP_SENT);
  world_kill_vm (&world, 0);
  for (usec_t waited = 0; waited < longest_deadline + stop_margin;
       waited += request_deadline / 2)
    {
      int index = world_send (&world, 0, N_CONTENTS - 1);
      world_place (&world, index, EVENT_ADMITTED);
      g_assert_cmpint (world.flights[index].work, ==, NO_FLIGHT);
      g_assert_cmpint (outcome_letter (&world.flights[index]), ==, 'n');
      world_advance (&world, request_deadline / 2);
    }
  int index = world_send (&world, 0, N_CONTENTS - 1);
  run_to_completion (&world);
  g_assert_cmpint (outcome_letter (&world.flights[index]), ==, 'a');
  world_close (&world);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < (size_t)N_FAULTS * N_STEPS; i++)
    {
      char path[64];
      snprintf (path, sizeof path, "/matrix/%s/%s", fault_names[i / N_STEPS],
                step_names[i % N_STEPS]);
      g_test_add_data_func (path, GSIZE_TO_POINTER (i), test_cell);
    }
  for (size_t i = 0; i < (size_t)N_HOP_FAULTS * N_HOP_STEPS; i++)
    {
      char path[64];
      snprintf (path, sizeof path, "/matrix/hop-%s/%s",
                hop_fault_names[i / N_HOP_STEPS],
                hop_step_names[i % N_HOP_STEPS]);
      g_test_add_data_func (path, GSIZE_TO_POINTER (i), test_hop_cell);
    }
  g_test_add_func ("/matrix/restarted-owner", test_restarted_owner);
  return g_test_run ();
}
