#include "director/core_internal.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"

/* Until the caller has moved on to another director.  */
#define ORDER_WAIT (900 * USEC_PER_MSEC)
#define ORDER_PROPOSED_WAIT (3500 * USEC_PER_MSEC)

static const char *
end_name (order_end_t end)
{
  switch (end)
    {
    case ORDER_DONE:
      return "done";
    case ORDER_ELSEWHERE:
      return "elsewhere";
    case ORDER_UNAVAILABLE:
      return "unavailable";
    case ORDER_UNKNOWN:
      return "unknown";
    }
  return "unknown";
}

static const char *
kind_name (order_kind_t kind)
{
  switch (kind)
    {
    case ORDER_PUT_CONFIG:
      return "put_config";
    case ORDER_GET_CONFIG:
      return "get_config";
    case ORDER_EVACUATE:
      return "evacuate";
    case ORDER_TAKE_BACK:
      return "take_back";
    case ORDER_SHOW:
      return "show";
    }
  return "unknown";
}

static void
finish (director_core_t *core, director_order_t *order, order_end_t end)
{
  list_remove (&order->link);
  order->end = end;
  LOG_EVENT (LOG_LEVEL_INFO, "order_ended",
             LOG_S ("order", kind_name (order->kind)),
             LOG_S ("end", end_name (end)), LOG_U ("version", order->version),
             LOG_S ("domain", order->domain.text),
             LOG_U ("in_force", core->state.version),
             LOG_I ("usec", clock_monotonic () - order->begun_at));
  order->done (order);
}

/* The address of the leader, as far as this director knows it; 0: none.  */
static uint32_t
leader_address (const director_core_t *core)
{
  slot_t leader = core->leader;
  if (!core->replica || leader >= core->roster.n_slots
      || core->roster.addresses[leader] == core->self)
    return 0;
  return core->roster.addresses[leader];
}

static void
propose (director_core_t *core, director_order_t *order)
{
  blob_t *command = order->kind == ORDER_PUT_CONFIG
                        ? director_command_config (order->version, order->text,
                                                   order->length)
                        : director_command_evacuate (
                            &order->domain, order->kind == ORDER_EVACUATE);
  entry_t *entry = entry_new_command (command);
  blob_unref (command);
  order->id = ++core->next_id;
  event_t event = { .kind = EVENT_PROPOSE };
  event.body.propose.id = order->id;
  event.body.propose.entry = entry;
  core_step (core, &event);
  entry_unref (entry);
}

static void
answer_read (director_core_t *core, director_order_t *order)
{
  const blob_t *config = core->state.config;
  if (!config)
    {
      finish (core, order, ORDER_UNAVAILABLE);
      return;
    }
  order->text = malloc (config->length + 1);
  if (!order->text)
    abort ();
  memcpy (order->text, config->bytes, config->length);
  order->text[config->length] = '\0';
  order->length = config->length;
  order->version = core->state.version;
  finish (core, order, ORDER_DONE);
}

static void
answer_view (director_core_t *core, director_order_t *order)
{
  order->text = core_view_text (core);
  order->length = strlen (order->text);
  finish (core, order, ORDER_DONE);
}

/* An order that the applied state answers already, or that others have to
   answer.  True where it has ended.  */
static bool
settle (director_core_t *core, director_order_t *order)
{
  if (order->kind == ORDER_SHOW)
    {
      answer_view (core, order);
      return true;
    }
  bool is_current = core->replica
                    && replica_is_current (core->replica, clock_monotonic ());
  if (is_current && order->kind == ORDER_GET_CONFIG)
    {
      answer_read (core, order);
      return true;
    }
  /* A later version is on a majority's disks, so this one changes nothing. */
  if (is_current && order->kind == ORDER_PUT_CONFIG
      && order->version <= core->state.version)
    {
      finish (core, order, ORDER_DONE);
      return true;
    }
  order->leader = leader_address (core);
  if (order->leader == 0)
    return false;
  finish (core, order, ORDER_ELSEWHERE);
  return true;
}

static void
attempt (director_core_t *core, director_order_t *order)
{
  if (settle (core, order))
    return;
  if (core->replica && core->role == ROLE_LEADER
      && order->kind != ORDER_GET_CONFIG)
    propose (core, order);
}

void
core_orders_take (director_core_t *core, director_order_t *order)
{
  list_push_back (&core->orders, &order->link);
  attempt (core, order);
}

static director_order_t *
find (director_core_t *core, proposal_id_t id)
{
  LIST_FOREACH (link, &core->orders)
  {
    director_order_t *order = LIST_ENTRY (link, director_order_t, link);
    if (id != 0 && order->id == id)
      return order;
  }
  return NULL;
}

void
core_orders_applied (director_core_t *core, proposal_id_t id)
{
  director_order_t *order = find (core, id);
  if (order)
    finish (core, order, ORDER_DONE);
}

void
core_orders_refused (director_core_t *core, proposal_id_t id,
                     refuse_reason_t reason)
{
  director_order_t *order = find (core, id);
  if (!order)
    return;
  order->id = 0;
  /* All orders may be repeated, so an unknown outcome is no harm.  */
  if (reason == REFUSE_HALTED)
    finish (core, order, ORDER_UNAVAILABLE);
}

void
core_orders_tick (director_core_t *core, usec_t now)
{
  LIST_FOREACH (link, &core->orders)
  {
    director_order_t *order = LIST_ENTRY (link, director_order_t, link);
    usec_t wait = order->id != 0 ? ORDER_PROPOSED_WAIT : ORDER_WAIT;
    if (now >= order->begun_at + wait || now == INT64_MAX)
      finish (core, order,
              order->kind == ORDER_GET_CONFIG ? ORDER_UNAVAILABLE
                                              : ORDER_UNKNOWN);
    else if (order->id == 0)
      attempt (core, order);
  }
}
