#include "fleet/cold_wire.h"

static usec_t
limit_left (usec_t left)
{
  if (left < 0)
    return 0;
  return left < COLD_LEFT_MAX ? left : COLD_LEFT_MAX;
}

void
cold_wire_write (const cold_report_t *reports, size_t n, fleet_cold_t *wire,
                 usec_t now)
{
  for (size_t i = 0; i < n; i++)
    wire[i] = (fleet_cold_t){
      .server = reports[i].server,
      .left = (uint32_t)(limit_left (reports[i].until - now) / USEC_PER_MSEC),
    };
}

void
cold_wire_read (const fleet_cold_t *wire, size_t n, cold_report_t *reports,
                usec_t sent_at)
{
  for (size_t i = 0; i < n; i++)
    reports[i] = (cold_report_t){
      .server = wire[i].server,
      .until = sent_at + limit_left ((usec_t)wire[i].left * USEC_PER_MSEC),
    };
}
