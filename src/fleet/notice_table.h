/* notice_table: what backend servers have said of themselves to routers: that
   they leave, and until when they want a rest.  A director collects it from
   the routers that report to it, for operators; no decision uses it.

   Each router tells all its notices about once a second; what it told last
   replaces what it told before.  A router that has told none for
   NOTICE_LIFETIME is forgotten.

   No I/O and no clock.  Times are usec of the local monotonic clock.  */

#ifndef FLEET_NOTICE_TABLE_H
#define FLEET_NOTICE_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time_defs.h"

enum
{
  NOTICE_TABLE_MAX = 2048,
};

/* A few reports may be lost.  */
#define NOTICE_LIFETIME (4 * USEC_PER_SEC)

typedef struct told_notice
{
  uint64_t boot; /* backend_record_boot of the backend server */
  bool is_leaving;
  usec_t said_at;    /* when it said that it leaves, or else the rest */
  usec_t rest_until; /* 0: it does not rest */
} told_notice_t;

typedef struct router_notice
{
  uint32_t router; /* IPv4 address */
  usec_t told_at;
  told_notice_t notice;
} router_notice_t;

/* All zero at first.  */
typedef struct notice_table
{
  size_t n;
  router_notice_t items[NOTICE_TABLE_MAX];
} notice_table_t;

/* Replace what the router at the address ROUTER has told by the N NOTICES,
   told at NOW.  Returns false if the table has no room for all of them.  */
bool notice_table_put (notice_table_t *table, uint32_t router,
                       const told_notice_t *notices, size_t n, usec_t now);

/* Remove what was told NOTICE_LIFETIME or more before NOW.  */
void notice_table_expire (notice_table_t *table, usec_t now);

/* What one start of a backend server has said to routers.  */
typedef struct notice_summary
{
  size_t n_leaving;     /* routers that it told that it leaves */
  usec_t leaving_since; /* the earliest; valid if n_leaving > 0 */
  size_t n_resting;     /* routers that it told a rest that holds */
  usec_t resting_since; /* the earliest; valid if n_resting > 0 */
  usec_t rest_until;    /* the latest; valid if n_resting > 0 */
} notice_summary_t;

notice_summary_t notice_table_summary (const notice_table_t *table,
                                       uint64_t boot, usec_t now);

#endif
