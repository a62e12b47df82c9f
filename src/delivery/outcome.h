/* outcome: names of the reasons of outcomes, for the wire, logs and
   metrics.  */

#ifndef DELIVERY_OUTCOME_H
#define DELIVERY_OUTCOME_H

#include "delivery/request_defs.h"

const char *request_reason_name (request_reason_t reason);

#endif
