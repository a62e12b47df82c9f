#include "delivery/slots.h"

#include <stdlib.h>
#include <xxhash.h>

typedef struct slot
{
  uint64_t serial; /* 0: not in use */
  usec_t deadline;
  bool cancelled;
} slot_t;

typedef struct backend_state
{
  slot_backend_t caps;
  bool known;
  bool owned;
  bool draining;
  uint32_t n_used;
  uint32_t n_connections;
  slot_t slots[SLOTS_PER_BACKEND_MAX];
} backend_state_t;

struct slots
{
  slots_options_t options;
  backend_state_t *backends;
  uint64_t last_serial;
};

slots_t *
slots_new (const slots_options_t *options, err_t *err)
{
  if (options->n_owners == 0 || options->n_owners > SLOT_OWNERS_MAX
      || options->max_backends == 0 || options->max_time_to_deadline <= 0)
    {
      err_set (
          err, ERR_SETTINGS,
          "name the failure domain's entry VMs, and set the limit of "
          "backend servers and the longest deadline above 0",
          "slot options out of range: %zu entry VMs (1 to %d), limit of %u "
          "backend servers, longest deadline %lld us",
          options->n_owners, SLOT_OWNERS_MAX, options->max_backends,
          (long long)options->max_time_to_deadline);
      return NULL;
    }
  slots_t *slots = calloc (1, sizeof *slots);
  backend_state_t *backends = calloc (options->max_backends, sizeof *backends);
  if (!slots || !backends)
    {
      free (slots);
      free (backends);
      err_set (err, ERR_LIMIT,
               "lower the limit of backend servers, or free memory",
               "out of memory for the slots of %u backend servers",
               options->max_backends);
      return NULL;
    }
  slots->options = *options;
  slots->backends = backends;
  return slots;
}

void
slots_free (slots_t *slots)
{
  if (!slots)
    return;
  free (slots->backends);
  free (slots);
}

vm_id_t
slots_owner (const vm_id_t *owners, size_t n_owners, uint64_t key)
{
  vm_id_t best = TOPOLOGY_NONE;
  uint64_t best_weight = 0;
  for (size_t i = 0; i < n_owners; i++)
    {
      const uint64_t words[2] = { owners[i], key };
      uint64_t weight = XXH3_64bits (words, sizeof words);
      if (best != TOPOLOGY_NONE && weight <= best_weight)
        continue;
      best = owners[i];
      best_weight = weight;
    }
  return best;
}

bool
slots_set_backend (slots_t *slots, uint32_t backend,
                   const slot_backend_t *caps, err_t *err)
{
  if (backend >= slots->options.max_backends)
    return err_set (err, ERR_LIMIT, "raise the limit of backend servers",
                    "backend server index %u is not below the limit of %u",
                    backend, slots->options.max_backends);
  if (caps->max_slots > SLOTS_PER_BACKEND_MAX)
    return err_set (err, ERR_LIMIT, "give the service fewer slots",
                    "%u slots exceed the limit of %d for one backend server",
                    (unsigned)caps->max_slots, SLOTS_PER_BACKEND_MAX);
  backend_state_t *state = &slots->backends[backend];
  state->caps = *caps;
  state->known = true;
  state->owned
      = slots_owner (slots->options.owners, slots->options.n_owners, caps->key)
        == slots->options.self;
  return true;
}

static backend_state_t *
find_backend (const slots_t *slots, uint32_t backend)
{
  if (backend >= slots->options.max_backends
      || !slots->backends[backend].known)
    return NULL;
  return &slots->backends[backend];
}

void
slots_set_draining (slots_t *slots, uint32_t backend, bool draining)
{
  backend_state_t *state = find_backend (slots, backend);
  if (state)
    state->draining = draining;
}

static bool
is_startup_wait (const slots_t *slots, usec_t now)
{
  const slots_options_t *options = &slots->options;
  return now < options->started_at + options->max_time_to_deadline
                   + options->stop_margin;
}

static slot_result_t
check_backend (const slots_t *slots, const backend_state_t *state, usec_t now)
{
  if (!state)
    return SLOT_NO_BACKEND;
  if (!state->owned)
    return SLOT_NOT_OWNER;
  if (state->draining)
    return SLOT_DRAINING;
  if (is_startup_wait (slots, now))
    return SLOT_STARTUP_WAIT;
  return state->n_used < state->caps.max_slots ? SLOT_GRANTED : SLOT_FULL;
}

slot_result_t
slots_admit (slots_t *slots, uint32_t backend, usec_t deadline, usec_t now,
             slot_token_t *token)
{
  *token = (slot_token_t){ 0 };
  backend_state_t *state = find_backend (slots, backend);
  slot_result_t result = check_backend (slots, state, now);
  if (result != SLOT_GRANTED)
    return result;
  if (deadline <= now || deadline - now > slots->options.max_time_to_deadline)
    return SLOT_DEADLINE;
  uint32_t slot = 0;
  while (state->slots[slot].serial != 0)
    slot++;
  slots->last_serial++;
  state->slots[slot]
      = (slot_t){ .serial = slots->last_serial, .deadline = deadline };
  state->n_used++;
  *token = (slot_token_t){ .backend = backend,
                           .slot = slot,
                           .serial = slots->last_serial };
  return SLOT_GRANTED;
}

/* The slot that TOKEN holds; NULL where it was released.  */
static slot_t *
find_slot (const slots_t *slots, const slot_token_t *token)
{
  backend_state_t *state = find_backend (slots, token->backend);
  if (!state || token->serial == 0 || token->slot >= SLOTS_PER_BACKEND_MAX
      || state->slots[token->slot].serial != token->serial)
    return NULL;
  return &state->slots[token->slot];
}

bool
slots_may_send (const slots_t *slots, const slot_token_t *token, usec_t now)
{
  const slot_t *slot = find_slot (slots, token);
  return slot && !slot->cancelled && now < slot->deadline;
}

bool
slots_release (slots_t *slots, const slot_token_t *token)
{
  slot_t *slot = find_slot (slots, token);
  if (!slot)
    return false;
  *slot = (slot_t){ 0 };
  slots->backends[token->backend].n_used--;
  return true;
}

bool
slots_cancel (slots_t *slots, const slot_token_t *token)
{
  slot_t *slot = find_slot (slots, token);
  if (!slot)
    return false;
  slot->cancelled = true;
  return true;
}

size_t
slots_tick (slots_t *slots, usec_t now)
{
  size_t n_released = 0;
  for (uint32_t i = 0; i < slots->options.max_backends; i++)
    {
      backend_state_t *state = &slots->backends[i];
      for (uint32_t j = 0; state->n_used > 0 && j < SLOTS_PER_BACKEND_MAX; j++)
        {
          slot_t *slot = &state->slots[j];
          if (slot->serial == 0 || !slot->cancelled
              || now < slot->deadline + slots->options.stop_margin)
            continue;
          *slot = (slot_t){ 0 };
          state->n_used--;
          n_released++;
        }
    }
  return n_released;
}

uint32_t
slots_used (const slots_t *slots, uint32_t backend)
{
  const backend_state_t *state = find_backend (slots, backend);
  return state ? state->n_used : 0;
}

uint32_t
slots_available (const slots_t *slots, uint32_t backend, usec_t now)
{
  const backend_state_t *state = find_backend (slots, backend);
  if (check_backend (slots, state, now) != SLOT_GRANTED)
    return 0;
  return state->caps.max_slots - state->n_used;
}

bool
slots_open_connection (slots_t *slots, uint32_t backend, usec_t now)
{
  backend_state_t *state = find_backend (slots, backend);
  if (!state || !state->owned || is_startup_wait (slots, now)
      || state->n_connections >= state->caps.max_connections)
    return false;
  state->n_connections++;
  return true;
}

void
slots_close_connection (slots_t *slots, uint32_t backend)
{
  backend_state_t *state = find_backend (slots, backend);
  if (state && state->n_connections > 0)
    state->n_connections--;
}
