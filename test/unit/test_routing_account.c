/* Client accounts of a configuration.  Guards against a key that two accounts
   share or that is found for another account, and against homes that do not
   bind.  */

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "routing/account.h"
#include "routing/route_config.h"

static client_account_t
account_of (const char *name, const char *first_key, const char *second_key)
{
  client_account_t account = { .id = account_id (name), .n_keys = 2 };
  g_strlcpy (account.name.text, name, sizeof account.name.text);
  account.keys = calloc (2, sizeof *account.keys);
  account.keys[0] = strdup (first_key);
  account.keys[1] = strdup (second_key);
  return account;
}

static route_config_t *
config_of (const client_account_t *accounts, size_t n)
{
  route_config_t *config = calloc (1, sizeof *config);
  config->has_accounts = true;
  config->accounts = calloc (n, sizeof *accounts);
  memcpy (config->accounts, accounts, n * sizeof *accounts);
  config->n_accounts = n;
  account_index_keys (config);
  return config;
}

static const char *
owner (const route_config_t *config, const char *key)
{
  const client_account_t *account = account_by_key (config, key);
  return account ? account->name.text : "";
}

static void
test_keys (void)
{
  const client_account_t accounts[]
      = { account_of ("a", "k-1", "k-2"), account_of ("b", "k-3", "k-4") };
  route_config_t *config = config_of (accounts, 2);
  g_assert_true (route_config_check (config, NULL));
  g_assert_cmpstr (owner (config, "k-1"), ==, "a");
  g_assert_cmpstr (owner (config, "k-2"), ==, "a");
  g_assert_cmpstr (owner (config, "k-4"), ==, "b");
  g_assert_cmpstr (owner (config, "k-"), ==, "");
  g_assert_cmpstr (owner (config, "k-11"), ==, "");
  g_assert_cmpstr (owner (config, ""), ==, "");
  route_config_free (config);
}

/* The message names the accounts and holds no key.  */
static void
test_shared_key (void)
{
  const client_account_t accounts[] = { account_of ("a", "k-1", "secret-2"),
                                        account_of ("b", "secret-2", "k-4") };
  route_config_t *config = config_of (accounts, 2);
  err_t err = { 0 };
  g_assert_false (route_config_check (config, &err));
  g_assert_cmpint (err.kind, ==, ERR_USAGE);
  g_assert_nonnull (strstr (err.message, "accounts"));
  g_assert_null (strstr (err.message, "secret-2"));
  route_config_free (config);
}

static void
test_same_key_twice (void)
{
  const client_account_t accounts[] = { account_of ("a", "k-1", "k-1") };
  route_config_t *config = config_of (accounts, 1);
  g_assert_true (route_config_check (config, NULL));
  route_config_free (config);
}

static void
test_rates (void)
{
  client_account_t account = account_of ("a", "k-1", "k-2");
  account.rate = -1;
  route_config_t *config = config_of (&account, 1);
  g_assert_false (route_config_check (config, NULL));
  config->accounts[0].rate = G_MAXDOUBLE * 2;
  g_assert_false (route_config_check (config, NULL));
  config->accounts[0].rate = 0;
  config->accounts[0].burst = -0.5;
  g_assert_false (route_config_check (config, NULL));
  config->accounts[0].burst = 0;
  g_assert_true (route_config_check (config, NULL));
  route_config_free (config);
}

static void
test_home_regions (void)
{
  name_t homes[1];
  g_strlcpy (homes[0].text, "north", sizeof homes[0].text);
  const client_account_t anywhere = { 0 };
  const client_account_t north
      = { .n_home_regions = 1, .home_region_names = homes };
  g_assert_true (account_allows_region (&anywhere, "east"));
  g_assert_true (account_allows_region (&north, "north"));
  g_assert_false (account_allows_region (&north, "east"));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/account/keys", test_keys);
  g_test_add_func ("/account/shared-key", test_shared_key);
  g_test_add_func ("/account/same-key-twice", test_same_key_twice);
  g_test_add_func ("/account/rates", test_rates);
  g_test_add_func ("/account/home-regions", test_home_regions);
  return g_test_run ();
}
