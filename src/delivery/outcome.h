/* outcome: names of outcomes and their reasons, for the wire, logs and
   metrics.  */

#ifndef DELIVERY_OUTCOME_H
#define DELIVERY_OUTCOME_H

#include "delivery/request_defs.h"

const char *outcome_kind_name (outcome_kind_t kind);
const char *request_reason_name (request_reason_t reason);

#endif
