/* backend_quality: how much slower a backend server is than others, and which
   part of its requests it fails.  Pure.

   Load pattern: backend servers that turn slow, or fail part of their requests
   while their health check is good.  They get less of the load, not none, so
   that it shows when they are well again; what is known fades with time.  */

#ifndef BALANCE_BACKEND_QUALITY_H
#define BALANCE_BACKEND_QUALITY_H

#include <stdbool.h>

#include "base/time_defs.h"

typedef struct backend_quality
{
  double slowness;     /* runs of it over expected ones, smoothed, less 1 */
  double failure_rate; /* the part that failed, smoothed */
  usec_t updated_at;   /* when that was worked out */
} backend_quality_t;

/* A request took SPAN where EXPECTED was expected (0: not known).  */
void backend_quality_update (backend_quality_t *quality, bool failed,
                             usec_t span, usec_t expected, usec_t now);

/* How many times longer than expected it runs: 1 or more.  */
double backend_quality_slowness (const backend_quality_t *quality, usec_t now);

/* What its weight is multiplied with: 1 where nothing is wrong, and for slight
   differences.  */
double backend_quality_weight_factor (const backend_quality_t *quality,
                                      usec_t now);

#endif
