#include "delivery/outcome.h"

const char *
request_reason_name (request_reason_t reason)
{
  static const char *const names[] = {
    [REASON_NONE] = "none",
    [REASON_BAD_REQUEST] = "bad_request",
    [REASON_NO_CAPACITY] = "no_capacity",
    [REASON_COST_CAP] = "cost_cap",
    [REASON_LINK_FULL] = "link_full",
    [REASON_DEADLINE] = "deadline",
    [REASON_QUARANTINED] = "quarantined",
    [REASON_DRAINING] = "draining",
    [REASON_RETRY_BUDGET] = "retry_budget",
    [REASON_BACKEND_FAILED] = "backend_failed",
    [REASON_SHORT_ANSWER] = "short_answer",
    [REASON_CALLER_GONE] = "caller_gone",
    [REASON_CLAIMED] = "claimed",
    [REASON_LEDGER] = "ledger",
    [REASON_TICKET_EXPIRED] = "ticket_expired",
    [REASON_TICKET_CONFLICT] = "ticket_conflict",
    [REASON_ANSWER_NOT_KEPT] = "answer_not_kept",
  };
  return names[reason];
}
