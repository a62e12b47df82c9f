#include "router/dispatcher_internal.h"

/* A backend server that shares its machine with others tells its pace; what is
   known of its load is outdated soon, so that the routers share it whatever
   the settings say.  */
static bool
is_shared (const dispatcher_t *dispatcher, const backend_load_t *load)
{
  return load->is_known
         && (dispatcher->options.settings->shares_load || load->pace > 0);
}

static uint16_t
to_count (uint32_t n)
{
  return n < LOAD_COUNT_MAX ? (uint16_t)n : LOAD_COUNT_MAX;
}

void
dispatcher_hear_load (dispatcher_t *dispatcher, const exchange_t *exchange,
                      const backend_response_t *response, usec_t now)
{
  const backend_load_t *load = &response->load;
  if (!is_shared (dispatcher, load))
    return;
  const load_report_t report = { .server = exchange->backend->load_id,
                                 .running = to_count (load->running),
                                 .waiting = to_count (load->waiting),
                                 .pace = to_count (load->pace),
                                 .at = now };
  load_table_put (&dispatcher->heard_loads, &report);
}
