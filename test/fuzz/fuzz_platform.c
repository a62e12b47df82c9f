/* fuzz-runs: 60000 */
/* Fuzz target: a configuration, or a page of the list of backend servers, as
   another program may have written it.  What is read must keep to the limits
   of its types; a page that is cut short must be refused.  */

#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "../../platform/backend_list_codec.h"
#include "../../platform/config_codec.h"
#include "fleet/backend_list.h"
#include "routing/route_config.h"

static void
check (bool condition)
{
  if (!condition)
    abort ();
}

static void
read_config (const char *text, size_t length)
{
  route_config_t *config = config_codec_read (text, length, NULL);
  if (!config)
    return;
  check (config->version <= ROUTE_CONFIG_VERSION_MAX);
  if (route_config_check (config, NULL))
    for (size_t i = 0; i < config->n_routes; i++)
      {
        check (config->routes[i].host[0] && config->routes[i].timeout >= 0);
        route_config_match (config, config->routes[i].host, text);
      }
  route_config_free (config);
}

static void
check_record (const backend_record_t *record)
{
  size_t length = strnlen (record->id, sizeof record->id);
  check (length > 0 && length < sizeof record->id);
  for (size_t i = 0; i < length; i++)
    check (record->id[i] > ' ' && record->id[i] <= '~');
  check (record->slots > 0 && record->slots <= BACKEND_SLOTS_MAX);
  check (record->address.port > 0 && record->cold_left >= 0);
}

static void
read_list (const char *text, size_t length)
{
  backend_list_t list = { 0 };
  list_page_t page;
  if (backend_list_codec_read (text, length, &list, &page, NULL))
    {
      check (strnlen (page.next_token, sizeof page.next_token)
             < sizeof page.next_token);
      backend_list_finalize (&list);
      for (size_t i = 0; i < list.n_records; i++)
        check_record (&list.records[i]);
    }
  backend_list_clear (&list);
}

/* The first byte tells which of the two follows.  */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  if (size == 0)
    return 0;
  /* A copy, so that a read beyond its end is found.  */
  char *text = malloc (size);
  check (text != NULL);
  memcpy (text, data + 1, size - 1);
  text[size - 1] = '\0';
  if (data[0] == 'c')
    read_config (text, size - 1);
  else
    read_list (text, size - 1);
  free (text);
  return 0;
}
