#include "settings/fleet_settings.h"

#include <stdlib.h>
#include <string.h>

#include "base/name.h"
#include "settings/yaml_reader.h"

/* The file as read; the nodes are parsed after the top level.  */
typedef struct document
{
  fleet_settings_t settings;
  yaml_node_t *domains;
  yaml_node_t *seeds;
  yaml_node_t *bounds;
} document_t;

#define TOP_FIELD(k, type, req, member)                                       \
  {                                                                           \
    .key = (k), .kind = (type), .required = (req),                            \
    .offset = offsetof (document_t, member), .min = 0, .max = 1e9             \
  }

#define PORT_FIELD(k, member)                                                 \
  {                                                                           \
    .key = (k), .kind = YAML_FIELD_U16, .required = true,                     \
    .offset = offsetof (document_t, member), .min = 1, .max = UINT16_MAX      \
  }

static const yaml_field_t top_fields[] = {
  TOP_FIELD ("vm", YAML_FIELD_NAME, true, settings.vm),
  TOP_FIELD ("address", YAML_FIELD_ADDRESS, true, settings.address),
  TOP_FIELD ("failure_domain", YAML_FIELD_NAME, true, settings.domain),
  TOP_FIELD ("region", YAML_FIELD_NAME, true, settings.region),
  TOP_FIELD ("requests", YAML_FIELD_INET, false, settings.requests),
  TOP_FIELD ("readiness", YAML_FIELD_INET, false, settings.readiness),
  TOP_FIELD ("operators", YAML_FIELD_INET, false, settings.operators),
  TOP_FIELD ("lookups", YAML_FIELD_INET, false, settings.lookups),
  PORT_FIELD ("peer_port", settings.peer_port),
  PORT_FIELD ("metrics_port", settings.metrics_port),
  TOP_FIELD ("peer_secret", YAML_FIELD_NAME, true, settings.peer_secret),
  TOP_FIELD ("first_start", YAML_FIELD_BOOL, false, settings.first_start),
  TOP_FIELD ("data_folder", YAML_FIELD_PATH, false, settings.data_folder),
  TOP_FIELD ("backend_list", YAML_FIELD_INET, true, settings.backend_list),
  TOP_FIELD ("backend_list_rate", YAML_FIELD_REAL, true,
             settings.backend_list_rate),
  TOP_FIELD ("backend_list_lag", YAML_FIELD_DURATION, false,
             settings.backend_list_lag),
  TOP_FIELD ("share_load", YAML_FIELD_BOOL, false, settings.shares_load),
  { .key = "body_memory_mb",
    .kind = YAML_FIELD_U64,
    .offset = offsetof (document_t, settings.body_memory),
    .min = 8,
    .max = 1e6,
    .scale = 1024 * 1024 },
  TOP_FIELD ("failure_domains", YAML_FIELD_NODE, true, domains),
  TOP_FIELD ("seeds", YAML_FIELD_NODE, true, seeds),
  TOP_FIELD ("bounds", YAML_FIELD_NODE, true, bounds),
};

#define BOUND_FIELD(k, type, member)                                          \
  {                                                                           \
    .key = (k), .kind = (type), .offset = offsetof (fleet_bounds_t, member),  \
    .min = 0, .max = 1e9                                                      \
  }

#define REQUIRED_BOUND_FIELD(k, member, advice)                               \
  {                                                                           \
    .key = (k), .kind = YAML_FIELD_DURATION, .required = true,                \
    .offset = offsetof (fleet_bounds_t, member), .remedy = (advice)           \
  }

static const yaml_field_t bound_fields[] = {
  REQUIRED_BOUND_FIELD ("drain", drain,
                        "add the time after which a draining backend server "
                        "may get no new request, for example 'drain: 3s'"),
  REQUIRED_BOUND_FIELD ("grace", grace,
                        "add the time from SIGTERM to SIGKILL of a process, "
                        "for example 'grace: 6s'"),
  BOUND_FIELD ("config_apply", YAML_FIELD_DURATION, config_apply),
  BOUND_FIELD ("settle", YAML_FIELD_DURATION, settle),
  BOUND_FIELD ("lookup_age", YAML_FIELD_DURATION, lookup_age),
  BOUND_FIELD ("retry_ratio", YAML_FIELD_REAL, retry_ratio),
  BOUND_FIELD ("retry_base", YAML_FIELD_REAL, retry_base),
  BOUND_FIELD ("retry_window", YAML_FIELD_DURATION, retry_window),
  BOUND_FIELD ("cold_overshoot", YAML_FIELD_REAL, cold_overshoot),
  BOUND_FIELD ("cold_slack", YAML_FIELD_REAL, cold_slack),
  BOUND_FIELD ("shift_ratio", YAML_FIELD_REAL, shift_ratio),
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
  N_TOP_FIELDS = sizeof top_fields / sizeof top_fields[0],
  N_BOUND_FIELDS = sizeof bound_fields / sizeof bound_fields[0],
  N_DOMAIN_FIELDS = sizeof domain_fields / sizeof domain_fields[0],
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
        "failure_domains has more than %d items", FLEET_DOMAINS_MAX);
  for (size_t i = 0; i < n; i++)
    if (!yaml_reader_mapping (reader,
                              yaml_reader_item (reader, document->domains, i),
                              "a failure domain", domain_fields,
                              N_DOMAIN_FIELDS, &settings->domains[i], err))
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
  if (n > FLEET_SEEDS_MAX)
    return yaml_reader_fault (reader, document->seeds, err,
                              "list fewer directors; three are enough",
                              "seeds has more than %d items", FLEET_SEEDS_MAX);
  for (size_t i = 0; i < n; i++)
    {
      const yaml_node_t *node = yaml_reader_item (reader, document->seeds, i);
      const char *text = node->type == YAML_SCALAR_NODE
                             ? (const char *)node->data.scalar.value
                             : "";
      if (!inet_parse (&settings->seeds[i], text))
        return yaml_reader_fault (
            reader, node, err,
            "write ADDRESS:PORT, for example 127.10.1.1:8080",
            "seeds: bad address '%s'", text);
      settings->n_seeds = i + 1;
    }
  return true;
}

static bool
read_document (yaml_reader_t *reader, document_t *document, err_t *err)
{
  yaml_node_t *root = yaml_document_get_root_node (&reader->document);
  return yaml_reader_mapping (reader, root, "the file", top_fields,
                              N_TOP_FIELDS, document, err)
         && read_domains (reader, document, err)
         && read_seeds (reader, document, err)
         && yaml_reader_mapping (reader, document->bounds, "bounds",
                                 bound_fields, N_BOUND_FIELDS,
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
  document.settings.backend_list_lag = FLEET_LIST_LAG_DEFAULT;
  document.settings.body_memory = FLEET_BODY_MEMORY_DEFAULT;
  document.settings.bounds.lookup_age = FLEET_LOOKUP_AGE_DEFAULT;
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
