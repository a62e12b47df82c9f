#include "wire/rpc_metrics.h"

bool
rpc_metrics_register (const rpc_t *rpc, metrics_t *metrics, err_t *err)
{
  const rpc_counters_t *counters = rpc_counters (rpc);
  const struct
  {
    const char *name;
    const char *help;
    const _Atomic uint64_t *source;
  } rows[] = {
    { "mulberry_rpc_calls_sent_total", "Calls to other VMs",
      &counters->calls_sent },
    { "mulberry_rpc_calls_served_total", "Calls from other VMs",
      &counters->calls_served },
    { "mulberry_rpc_timeouts_total", "Calls without an answer in time",
      &counters->timeouts },
    { "mulberry_rpc_reconnects_total",
      "Connections opened anew, as the opening packet was not answered",
      &counters->reconnects },
    { "mulberry_rpc_bad_records_total", "Garbled, too long or cut records",
      &counters->bad_records },
    { "mulberry_rpc_bad_auth_total", "Messages with a wrong key",
      &counters->bad_auth },
    { "mulberry_rpc_replays_total", "Messages that were sent again",
      &counters->replays },
    { "mulberry_rpc_in_bytes_total", "Bytes read", &counters->bytes_in },
    { "mulberry_rpc_out_bytes_total", "Bytes written", &counters->bytes_out },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      const metric_options_t options
          = { .name = rows[i].name, .help = rows[i].help };
      if (!metrics_counter_at (metrics, &options, rows[i].source, err))
        return false;
    }
  return true;
}
