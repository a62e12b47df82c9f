/* outcome: the names of outcome reasons as they appear on the wire, in logs
   and in metric labels.  */

#ifndef DELIVERY_OUTCOME_H
#define DELIVERY_OUTCOME_H

#include "delivery/request_defs.h"

/* The name of REASON, for example "no_capacity"; a static string.  */
const char *request_reason_name (request_reason_t reason);

#endif
