#include "settings/fleet_settings.h"

#include <stdlib.h>
#include <string.h>

#include "base/name.h"
#include "settings/yaml_reader.h"

typedef struct document
{
  fleet_settings_t settings;
  yaml_node_t *domains;
  yaml_node_t *seeds;
  yaml_node_t *bounds;
} document_t;

#define FIELD(k, type, req, member)                                           \
  {                                                                           \
    .key = (k), .kind = (type), .required = (req),                            \
    .offset = offsetof (document_t, member), .min = 0, .max = 1e9             \
  }

static const yaml_field_t top_fields[] = {
  FIELD ("vm", YAML_FIELD_NAME, true, settings.vm),
  FIELD ("address", YAML_FIELD_ADDRESS, true, settings.address),
  FIELD ("failure_domain", YAML_FIELD_NAME, true, settings.domain),
  FIELD ("region", YAML_FIELD_NAME, true, settings.region),
  FIELD ("requests", YAML_FIELD_INET, false, settings.requests),
  FIELD ("readiness", YAML_FIELD_INET, false, settings.readiness),
  FIELD ("operators", YAML_FIELD_INET, false, settings.operators),
  FIELD ("lookups", YAML_FIELD_INET, false, settings.lookups),
  FIELD ("peer_port", YAML_FIELD_U16, true, settings.peer_port),
  FIELD ("metrics_port", YAML_FIELD_U16, true, settings.metrics_port),
  FIELD ("peer_secret", YAML_FIELD_NAME, true, settings.peer_secret),
  FIELD ("first_start", YAML_FIELD_BOOL, false, settings.first_start),
  FIELD ("data_folder", YAML_FIELD_PATH, false, settings.data_folder),
  FIELD ("backend_list", YAML_FIELD_INET, true, settings.backend_list),
  FIELD ("backend_list_rate", YAML_FIELD_REAL, true,
         settings.backend_list_rate),
  FIELD ("failure_domains", YAML_FIELD_NODE, true, domains),
  FIELD ("seeds", YAML_FIELD_NODE, true, seeds),
  FIELD ("bounds", YAML_FIELD_NODE, true, bounds),
};

#define BOUND(k, type, member)                                                \
  {                                                                           \
    .key = (k), .kind = (type), .required = true,                             \
    .offset = offsetof (fleet_bounds_t, member), .min = 0, .max = 1e9         \
  }

static const yaml_field_t bound_fields[] = {
  BOUND ("drain", YAML_FIELD_DURATION, drain),
  BOUND ("grace", YAML_FIELD_DURATION, grace),
  BOUND ("config_apply", YAML_FIELD_DURATION, config_apply),
  BOUND ("settle", YAML_FIELD_DURATION, settle),
  BOUND ("lookup_age", YAML_FIELD_DURATION, lookup_age),
  BOUND ("retry_ratio", YAML_FIELD_REAL, retry_ratio),
  BOUND ("retry_base", YAML_FIELD_REAL, retry_base),
  BOUND ("retry_window", YAML_FIELD_DURATION, retry_window),
  BOUND ("cold_overshoot", YAML_FIELD_REAL, cold_overshoot),
  BOUND ("cold_slack", YAML_FIELD_REAL, cold_slack),
  BOUND ("shift_ratio", YAML_FIELD_REAL, shift_ratio),
};

static const yaml_field_t domain_fields[] = {
  { .key = "name",
    .kind = YAML_FIELD_NAME,
    .required = true,
    .offset = offsetof (fleet_domain_t, name) },
  { .key = "region",
    .kind = YAML_FIELD_NAME,
    .required = true,
    .offset = offsetof (fleet_domain_t, region) },
};

enum
{
  N_TOP = sizeof top_fields / sizeof top_fields[0],
  N_BOUNDS = sizeof bound_fields / sizeof bound_fields[0],
  N_DOMAIN = sizeof domain_fields / sizeof domain_fields[0],
};

static bool
read_domains (yaml_reader_t *reader, document_t *document, err_t *err)
{
  fleet_settings_t *settings = &document->settings;
  size_t n = 0;
  if (!yaml_reader_sequence (reader, document->domains, "failure_domains", &n,
                             err))
    return false;
  if (n > FLEET_DOMAINS_MAX)
    return yaml_reader_fault (
        reader, document->domains, err, "list fewer failure domains",
        "more than %d failure domains", FLEET_DOMAINS_MAX);
  for (size_t i = 0; i < n; i++)
    if (!yaml_reader_mapping (reader,
                              yaml_reader_item (reader, document->domains, i),
                              "a failure domain", domain_fields, N_DOMAIN,
                              &settings->domains[i], err))
      return false;
  settings->n_domains = n;
  return true;
}

static bool
read_seeds (yaml_reader_t *reader, document_t *document, err_t *err)
{
  fleet_settings_t *settings = &document->settings;
  size_t n = 0;
  if (!yaml_reader_sequence (reader, document->seeds, "seeds", &n, err))
    return false;
  for (size_t i = 0; i < n && i < FLEET_SEEDS_MAX; i++)
    {
      const yaml_node_t *node = yaml_reader_item (reader, document->seeds, i);
      const char *text = node->type == YAML_SCALAR_NODE
                             ? (const char *)node->data.scalar.value
                             : "";
      if (!inet_parse (&settings->seeds[i], text))
        return yaml_reader_fault (reader, node, err, "write ADDRESS:PORT",
                                  "bad seed '%s'", text);
      settings->n_seeds = i + 1;
    }
  return true;
}

static bool
read_document (yaml_reader_t *reader, document_t *document, err_t *err)
{
  yaml_node_t *root = yaml_document_get_root_node (&reader->document);
  return yaml_reader_mapping (reader, root, "the file", top_fields, N_TOP,
                              document, err)
         && read_domains (reader, document, err)
         && read_seeds (reader, document, err)
         && yaml_reader_mapping (reader, document->bounds, "bounds",
                                 bound_fields, N_BOUNDS,
                                 &document->settings.bounds, err);
}

fleet_settings_t *
fleet_settings_load (const char *file, err_t *err)
{
  yaml_reader_t reader;
  if (!yaml_reader_open (&reader, file, err))
    return NULL;
  document_t document;
  memset (&document, 0, sizeof document);
  bool ok = read_document (&reader, &document, err);
  yaml_reader_close (&reader);
  if (!ok)
    return NULL;
  fleet_settings_t *settings = malloc (sizeof *settings);
  if (!settings)
    abort ();
  memcpy (settings, &document.settings, sizeof *settings);
  return settings;
}

const name_t *
fleet_settings_region (const fleet_settings_t *settings, const char *domain)
{
  for (size_t i = 0; i < settings->n_domains; i++)
    if (strcmp (settings->domains[i].name.text, domain) == 0)
      return &settings->domains[i].region;
  return NULL;
}
