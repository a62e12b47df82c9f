#include "routing/account.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/name.h"
#include "base/sorted_array.h"

static uint64_t
hash_of (const char *text)
{
  return XXH3_64bits (text, strlen (text));
}

uint64_t
account_id (const char *name)
{
  return hash_of (name);
}

void
account_index_keys (route_config_t *config)
{
  size_t n = 0;
  for (size_t i = 0; i < config->n_accounts; i++)
    n += config->accounts[i].n_keys;
  config->key_index = calloc (n + 1, sizeof *config->key_index);
  if (!config->key_index)
    abort ();
  for (size_t i = 0; i < config->n_accounts; i++)
    {
      const client_account_t *account = &config->accounts[i];
      for (size_t j = 0; j < account->n_keys; j++)
        config->key_index[config->n_keys++]
            = (account_key_t){ .hash = hash_of (account->keys[j]),
                               .text = account->keys[j],
                               .account = account };
    }
  qsort (config->key_index, n, sizeof *config->key_index,
         sorted_array_compare);
}

void
accounts_clear (route_config_t *config)
{
  for (size_t i = 0; i < config->n_accounts; i++)
    {
      client_account_t *account = &config->accounts[i];
      for (size_t j = 0; j < account->n_keys; j++)
        free (account->keys[j]);
      free (account->keys);
      free (account->home_region_names);
    }
  free (config->accounts);
  free (config->key_index);
}

static bool
check_rates (const client_account_t *account, err_t *err)
{
  bool ok = account->rate >= 0 && !isinf (account->rate) && account->burst >= 0
            && !isinf (account->burst);
  return ok
         || err_set (err, ERR_USAGE,
                     "set finite numbers of 0 or more; 0 means no limit",
                     "account %s has an invalid rate or burst",
                     account->name.text);
}

bool
accounts_check (const route_config_t *config, err_t *err)
{
  for (size_t i = 0; i < config->n_accounts; i++)
    if (!check_rates (&config->accounts[i], err))
      return false;
  for (size_t i = 0; i + 1 < config->n_keys; i++)
    {
      const account_key_t *key = &config->key_index[i];
      for (size_t j = i + 1;
           j < config->n_keys && config->key_index[j].hash == key->hash; j++)
        if (config->key_index[j].account != key->account
            && strcmp (config->key_index[j].text, key->text) == 0)
          return err_set (err, ERR_USAGE, "give each account keys of its own",
                          "accounts %s and %s share a key",
                          key->account->name.text,
                          config->key_index[j].account->name.text);
    }
  return true;
}

/* Compares in a time that depends on the lengths only.  */
static bool
texts_equal (const char *a, const char *b)
{
  size_t length = strlen (a);
  unsigned char difference = 0;
  if (strlen (b) != length)
    return false;
  for (size_t i = 0; i < length; i++)
    difference |= (unsigned char)(a[i] ^ b[i]);
  return difference == 0;
}

const client_account_t *
account_by_key (const route_config_t *config, const char *key)
{
  uint64_t hash = hash_of (key);
  size_t at = sorted_array_position (config->key_index, config->n_keys,
                                     sizeof *config->key_index, hash);
  for (; at < config->n_keys && config->key_index[at].hash == hash; at++)
    if (texts_equal (config->key_index[at].text, key))
      return config->key_index[at].account;
  return NULL;
}

bool
account_allows_region (const client_account_t *account, const char *region)
{
  size_t n = account->n_home_regions;
  return n == 0 || name_find (account->home_region_names, n, region) < n;
}
