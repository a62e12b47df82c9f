#include "router/dispatcher_internal.h"

#include <string.h>
#include <strings.h>

#include "base/log.h"
#include "platform_api.h"
#include "routing/account.h"

#define QUOTA_EXPIRY_INTERVAL USEC_PER_SEC

/* The key that EXCHANGE's caller sent, or NULL.  */
static const char *
key_of (const exchange_t *exchange)
{
  static const size_t scheme_length = sizeof KEY_SCHEME - 1;
  const char *value = request_head_field (&exchange->head, HEADER_KEY);
  if (!value || strncasecmp (value, KEY_SCHEME, scheme_length) != 0
      || value[scheme_length] != ' ')
    return NULL;
  value += scheme_length;
  return value + strspn (value, " ");
}

bool
dispatcher_check_account (dispatcher_t *dispatcher, exchange_t *exchange,
                          usec_t now)
{
  const route_config_t *config = exchange->snapshot->config;
  exchange->priority = exchange->route->priority;
  if (!config->has_accounts)
    return true;
  const char *key = key_of (exchange);
  exchange->account = key ? account_by_key (config, key) : NULL;
  exchange->query.account = exchange->account;
  if (!exchange->account)
    {
      if (exchange->route->is_anonymous)
        return true;
      dispatcher_finish (dispatcher, exchange, REASON_NO_ACCOUNT);
      return false;
    }
  if (exchange->account->has_priority)
    exchange->priority = exchange->account->priority;
  exchange->is_in_quota = limiter_admit (
      &dispatcher->limiter, exchange->account, dispatcher->snapshot->n_routers,
      now, &exchange->retry_after);
  router_metrics_account (dispatcher->options.metrics,
                          exchange->account->name.text, exchange->is_in_quota);
  if (!exchange->is_in_quota)
    dispatcher_finish (dispatcher, exchange, REASON_QUOTA);
  return exchange->is_in_quota;
}

void
dispatcher_settle_quota (dispatcher_t *dispatcher, const exchange_t *exchange,
                         exchange_reason_t reason)
{
  bool has_not_run = reason != REASON_NONE && !exchange->may_have_run
                     && exchange->n_transmitted == 0;
  if (exchange->is_in_quota && has_not_run)
    limiter_give_back (&dispatcher->limiter, exchange->account);
}

void
dispatcher_expire_quotas (dispatcher_t *dispatcher, usec_t now)
{
  if (now < dispatcher->next_quota_expiry_at)
    return;
  dispatcher->next_quota_expiry_at = now + QUOTA_EXPIRY_INTERVAL;
  limiter_expire (&dispatcher->limiter, now);
}
