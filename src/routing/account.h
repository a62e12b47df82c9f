/* account: the client accounts of a routing configuration, and which of them a
   key belongs to.  No I/O.  */

#ifndef ROUTING_ACCOUNT_H
#define ROUTING_ACCOUNT_H

#include "base/error.h"
#include "routing/route_defs.h"

enum
{
  ACCOUNT_KEY_BYTES = 256, /* of a key, with the closing NUL */
};

/* The id of the account NAME.  */
uint64_t account_id (const char *name);

/* Fill in the index of CONFIG's keys, which must not change after this.  */
void account_index_keys (route_config_t *config);

/* Free CONFIG's accounts and index.  */
void accounts_clear (route_config_t *config);

/* Returns whether the accounts of CONFIG, whose keys are indexed, are valid:
   no key belongs to two of them, and rates are finite and not negative.  If
   not, sets ERR to ERR_USAGE with a message that names the account, but no
   key.  */
bool accounts_check (const route_config_t *config, err_t *err);

/* Returns the account that KEY belongs to, which CONFIG owns; NULL if there is
   none.  */
const client_account_t *account_by_key (const route_config_t *config,
                                        const char *key);

/* Returns whether backend servers in REGION may serve ACCOUNT's requests.  */
bool account_allows_region (const client_account_t *account,
                            const char *region);

#endif
