/* director_order: one call of an operator, from the HTTP port to the core
   thread and back.  */

#ifndef DIRECTOR_DIRECTOR_ORDER_H
#define DIRECTOR_DIRECTOR_ORDER_H

#include "agreement/entry.h"
#include "base/inet.h"
#include "base/list.h"
#include "base/name_defs.h"
#include "base/time_defs.h"

typedef enum
{
  ORDER_PUT_CONFIG,
  ORDER_GET_CONFIG,
  ORDER_EVACUATE,
  ORDER_TAKE_BACK,
  ORDER_SHOW, /* what this director knows, newest or not */
} order_kind_t;

typedef enum
{
  ORDER_DONE,        /* accepted by a majority; or read, and TEXT is it */
  ORDER_ELSEWHERE,   /* LEADER knows */
  ORDER_UNAVAILABLE, /* surely not accepted; nobody can tell now */
  ORDER_UNKNOWN,     /* may yet be accepted: send the same again */
} order_end_t;

typedef struct director_order director_order_t;

/* Called on the core thread, once; ORDER is the callee's again.  */
typedef void (*order_done_t) (director_order_t *order);

struct director_order
{
  list_t link;
  order_kind_t kind;
  uint64_t version; /* of the configuration to put */
  char *text;       /* malloc'd: to put, or read */
  size_t length;
  name_t domain;
  usec_t begun_at;
  proposal_id_t id; /* 0: not proposed */
  order_end_t end;
  uint32_t leader; /* address, where it is elsewhere */
  order_done_t done;
  void *closure;
};

#endif
