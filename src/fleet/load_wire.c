#include "fleet/load_wire.h"

static uint32_t
pack_halves (uint32_t high, uint32_t low)
{
  return high << 16 | (low & UINT16_MAX);
}

enum
{
  FLAG_FAILED = 1 << 0,
  FLAG_LACKS_LOAD = 1 << 1,
  LIMIT_SHIFT = 2, /* the other bits of the half */
};

static uint32_t
pack_flags (const load_report_t *report)
{
  return (report->has_failed ? FLAG_FAILED : 0)
         | (report->lacks_load ? FLAG_LACKS_LOAD : 0)
         | (uint32_t)report->limit << LIMIT_SHIFT;
}

void
load_wire_write (const load_report_t *reports, size_t n, fleet_load_t *wire,
                 usec_t now)
{
  for (size_t i = 0; i < n; i++)
    {
      usec_t age = (now - reports[i].at) / USEC_PER_MSEC;
      age = age < 0 ? 0 : age;
      wire[i] = (fleet_load_t){
        .server = (uint32_t)reports[i].server,
        .counts = pack_halves (reports[i].running, reports[i].waiting),
        .pace_and_age = pack_halves (
            reports[i].pace, age > UINT16_MAX ? UINT16_MAX : (uint32_t)age),
        .duration_and_flags
        = pack_halves (reports[i].duration, pack_flags (&reports[i])),
      };
    }
}

void
load_wire_read (const fleet_load_t *wire, size_t n, load_report_t *reports,
                usec_t sent_at)
{
  for (size_t i = 0; i < n; i++)
    {
      usec_t age = (usec_t)(wire[i].pace_and_age & UINT16_MAX) * USEC_PER_MSEC;
      reports[i] = (load_report_t){
        .server = wire[i].server,
        .running = (uint16_t)(wire[i].counts >> 16),
        .waiting = (uint16_t)(wire[i].counts & UINT16_MAX),
        .pace = (uint16_t)(wire[i].pace_and_age >> 16),
        .duration = (uint16_t)(wire[i].duration_and_flags >> 16),
        .has_failed = (wire[i].duration_and_flags & FLAG_FAILED) != 0,
        .lacks_load = (wire[i].duration_and_flags & FLAG_LACKS_LOAD) != 0,
        .limit = (load_limit_t)((wire[i].duration_and_flags & UINT16_MAX)
                                >> LIMIT_SHIFT),
        .at = sent_at - age,
      };
    }
}
