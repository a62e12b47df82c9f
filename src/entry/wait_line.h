/* wait_line: requests that wait for a slot, a line for each service, in turn
   by tenant (admission/fair_share), so that a burst of one tenant waits behind
   itself.  A tenant is the text of X-Tenant; beyond TENANTS_NAMED at once the
   others share one account.  One thread's.  */

#ifndef ENTRY_WAIT_LINE_H
#define ENTRY_WAIT_LINE_H

#include "admission/fair_share.h"
#include "base/time_defs.h"
#include "placement/topology_defs.h"

enum
{
  TENANTS_NAMED = FAIR_SHARE_TENANTS_MAX - 1,
  TENANT_BYTES = 64, /* of its name that count, with the closing NUL */
};

typedef struct wait_line wait_line_t;

typedef enum
{
  WAIT_OUT, /* not in the line */
  WAIT_QUEUED,
  WAIT_FIRST, /* its turn has come */
} wait_place_t;

/* In the request's own struct; zeroed before wait_line_enter.  */
typedef struct wait_item
{
  fair_item_t fair;
  service_id_t service;
  tenant_id_t tenant;
  wait_place_t place;
  bool runs; /* counts as its tenant's running work */
} wait_item_t;

wait_line_t *wait_line_new (size_t n_services);
void wait_line_free (wait_line_t *line);

/* A request of TENANT for SERVICE begins; it isn't in the line yet.  */
void wait_line_enter (wait_line_t *line, wait_item_t *item,
                      service_id_t service, const char *tenant);

/* It is over: out of the line and off its tenant's account.  */
void wait_line_leave (wait_line_t *line, wait_item_t *item);

bool wait_line_is_empty (const wait_line_t *line, service_id_t service);

/* Put ITEM into the line where it isn't in it; take it out.  */
void wait_line_push (wait_line_t *line, wait_item_t *item);
void wait_line_remove (wait_line_t *line, wait_item_t *item);

/* Whose turn it is; NULL where nobody waits.  It stays the first until it
   runs or is taken out.  */
wait_item_t *wait_line_first (wait_line_t *line, service_id_t service);

/* ITEM has its slot at NOW, with or without having waited.  */
void wait_line_run (wait_line_t *line, wait_item_t *item, usec_t now);

/* How long ITEM, not in the line yet, would wait for its turn, by the pace at
   which the line has moved since it was last empty; 0 while that is not
   known.  */
usec_t wait_line_expected (const wait_line_t *line, const wait_item_t *item);

#endif
