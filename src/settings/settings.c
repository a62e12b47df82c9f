#include "settings/settings.h"

#include <errno.h>
#include <fcntl.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "base/number.h"
#include "placement/topology.h"
#include "settings/yaml_reader.h"

enum
{
  PORT_MAX = 65535,
  ITEMS_MAX = 4096, /* in one list */
};

#define COUNT(array) (sizeof (array) / sizeof ((array)[0]))
#define BYTES_PER_MBIT 125000

/* The file's top level; the nodes are read afterwards.  */
typedef struct root
{
  name_t organisation;
  usec_t domain_delay;
  usec_t client_delay;
  char key_file[SETTINGS_PATH_BYTES];
  char data_folder[SETTINGS_PATH_BYTES];
  char operators_file[SETTINGS_PATH_BYTES];
  yaml_node_t *objective;
  yaml_node_t *ports;
  yaml_node_t *limits;
  yaml_node_t *regions;
  yaml_node_t *domains;
  yaml_node_t *vms;
  yaml_node_t *services;
  yaml_node_t *links;
} root_t;

static const yaml_field_t root_fields[] = {
  { "organisation", YAML_FIELD_NAME, true, offsetof (root_t, organisation) },
  { "domain_delay_us", YAML_FIELD_USEC, true, offsetof (root_t, domain_delay),
    0, 1e6 },
  { "client_delay_us", YAML_FIELD_USEC, true, offsetof (root_t, client_delay),
    0, 1e6 },
  { "key_file", YAML_FIELD_PATH, true, offsetof (root_t, key_file) },
  { "data_folder", YAML_FIELD_PATH, true, offsetof (root_t, data_folder) },
  { "operators_file", YAML_FIELD_PATH, false,
    offsetof (root_t, operators_file) },
  { "objective", YAML_FIELD_NODE, true, offsetof (root_t, objective) },
  { "ports", YAML_FIELD_NODE, true, offsetof (root_t, ports) },
  { "limits", YAML_FIELD_NODE, false, offsetof (root_t, limits) },
  { "regions", YAML_FIELD_NODE, true, offsetof (root_t, regions) },
  { "failure_domains", YAML_FIELD_NODE, true, offsetof (root_t, domains) },
  { "vms", YAML_FIELD_NODE, true, offsetof (root_t, vms) },
  { "services", YAML_FIELD_NODE, true, offsetof (root_t, services) },
  { "links", YAML_FIELD_NODE, true, offsetof (root_t, links) },
};

static const yaml_field_t objective_fields[] = {
  { "latency", YAML_FIELD_REAL, true, offsetof (objective_t, latency), 0, 1 },
  { "headroom", YAML_FIELD_REAL, true, offsetof (objective_t, headroom), 0,
    1 },
};

static const yaml_field_t port_fields[] = {
  { "caller", YAML_FIELD_U16, true, offsetof (settings_ports_t, caller), 1,
    PORT_MAX },
  { "entry_peer", YAML_FIELD_U16, true,
    offsetof (settings_ports_t, entry_peer), 1, PORT_MAX },
  { "entry_metrics", YAML_FIELD_U16, true,
    offsetof (settings_ports_t, entry_metrics), 1, PORT_MAX },
  { "admin", YAML_FIELD_U16, true, offsetof (settings_ports_t, admin), 1,
    PORT_MAX },
  { "control_peer", YAML_FIELD_U16, true,
    offsetof (settings_ports_t, control_peer), 1, PORT_MAX },
  { "control_metrics", YAML_FIELD_U16, true,
    offsetof (settings_ports_t, control_metrics), 1, PORT_MAX },
};

static const yaml_field_t limit_fields[] = {
  { "body_bytes", YAML_FIELD_U32, false,
    offsetof (settings_limits_t, body_bytes), 1024, 64e6 },
  { "caller_connections", YAML_FIELD_U32, false,
    offsetof (settings_limits_t, caller_connections), 1, 60000 },
  { "requests_in_flight", YAML_FIELD_U32, false,
    offsetof (settings_limits_t, requests_in_flight), 1, 60000 },
  { "tickets", YAML_FIELD_U32, false, offsetof (settings_limits_t, tickets),
    16, 1e7 },
  { "ticket_lifetime_s", YAML_FIELD_USEC, false,
    offsetof (settings_limits_t, ticket_lifetime), 1, 86400, 1000000 },
  { "deadline_max_ms", YAML_FIELD_USEC, false,
    offsetof (settings_limits_t, deadline_max), 1, 600e3, 1000 },
  { "lookup_age_ms", YAML_FIELD_USEC, false,
    offsetof (settings_limits_t, lookup_age), 0, 600e3, 1000 },
  { "pull_interval_ms", YAML_FIELD_USEC, false,
    offsetof (settings_limits_t, pull_interval), 10, 60e3, 1000 },
  { "connection_idle_ms", YAML_FIELD_USEC, false,
    offsetof (settings_limits_t, connection_idle), 100, 600e3, 1000 },
};

/* One list item as read, before its names are resolved to identifiers.  */
typedef struct named_item
{
  name_t name;
  name_t region;
  name_t domain;
  name_t from;
  name_t to;
  uint32_t capacity;
  uint64_t bytes_per_second;
  usec_t delay;
  vm_t vm;
  service_t service;
} named_item_t;

#define SERVICE_AT(member)                                                    \
  (offsetof (named_item_t, service) + offsetof (service_t, member))
#define VM_AT(member) (offsetof (named_item_t, vm) + offsetof (vm_t, member))

static const yaml_field_t region_fields[] = {
  { "name", YAML_FIELD_NAME, true, offsetof (named_item_t, name) },
  { "capacity", YAML_FIELD_U32, true, offsetof (named_item_t, capacity), 1,
    1e9 },
};

static const yaml_field_t domain_fields[] = {
  { "name", YAML_FIELD_NAME, true, offsetof (named_item_t, name) },
  { "region", YAML_FIELD_NAME, true, offsetof (named_item_t, region) },
};

static const yaml_field_t vm_fields[] = {
  { "name", YAML_FIELD_NAME, true, offsetof (named_item_t, name) },
  { "failure_domain", YAML_FIELD_NAME, true, offsetof (named_item_t, domain) },
  { "address", YAML_FIELD_ADDRESS, true, VM_AT (address) },
  { "control", YAML_FIELD_BOOL, false, VM_AT (has_control) },
};

static const yaml_field_t service_fields[] = {
  { "name", YAML_FIELD_NAME, true, offsetof (named_item_t, name) },
  { "class", YAML_FIELD_NAME, true, SERVICE_AT (request_class) },
  { "weight", YAML_FIELD_U16, true, SERVICE_AT (weight), 1, 1000 },
  { "slots", YAML_FIELD_U16, true, SERVICE_AT (slots), 1, 1000 },
  { "connections", YAML_FIELD_U16, true, SERVICE_AT (connections), 1, 60000 },
  { "deadline_ms", YAML_FIELD_USEC, true, SERVICE_AT (deadline), 1, 600e3,
    1000 },
  { "answer_bytes", YAML_FIELD_U32, true, SERVICE_AT (answer_bytes), 1, 64e6 },
};

static const yaml_field_t link_fields[] = {
  { "from", YAML_FIELD_NAME, true, offsetof (named_item_t, from) },
  { "to", YAML_FIELD_NAME, true, offsetof (named_item_t, to) },
  { "mbit_s", YAML_FIELD_U64, true, offsetof (named_item_t, bytes_per_second),
    1, 1e6, BYTES_PER_MBIT },
  { "delay_us", YAML_FIELD_USEC, true, offsetof (named_item_t, delay), 0,
    1e6 },
};

/* Set *ID to what FIND returns for NAME; an error at NODE if LIST has no such
   name.  */
static bool
resolve (yaml_reader_t *reader, yaml_node_t *node, const topology_t *topology,
         uint16_t (*find) (const topology_t *, const char *),
         const name_t *name, const char *list, uint16_t *id, err_t *err)
{
  *id = find (topology, name->text);
  if (*id != TOPOLOGY_NONE)
    return true;
  return yaml_reader_fault (
      reader, node, err, "add the name to that list or correct its spelling",
      "no '%s' in the list %s", name->text, list);
}

/* KNOWN is the identifier found for NAME among the former items.  */
static bool
check_unique (yaml_reader_t *reader, yaml_node_t *node, uint16_t known,
              const name_t *name, err_t *err)
{
  if (known == TOPOLOGY_NONE)
    return true;
  return yaml_reader_fault (reader, node, err, "give each item its own name",
                            "duplicate name '%s'", name->text);
}

typedef enum
{
  LIST_REGIONS,
  LIST_DOMAINS,
  LIST_VMS,
  LIST_SERVICES,
  LIST_LINKS,
} list_kind_t;

static bool
add_region (yaml_reader_t *reader, yaml_node_t *node, topology_t *topology,
            const named_item_t *item, err_t *err)
{
  if (!check_unique (reader, node, topology_region (topology, item->name.text),
                     &item->name, err))
    return false;
  topology->regions[topology->n_regions++]
      = (region_t){ .name = item->name, .capacity = item->capacity };
  return true;
}

static bool
add_domain (yaml_reader_t *reader, yaml_node_t *node, topology_t *topology,
            const named_item_t *item, err_t *err)
{
  failure_domain_t domain = { .name = item->name };
  if (!check_unique (reader, node, topology_domain (topology, item->name.text),
                     &item->name, err)
      || !resolve (reader, node, topology, topology_region, &item->region,
                   "regions", &domain.region, err))
    return false;
  topology->domains[topology->n_domains++] = domain;
  return true;
}

static bool
add_vm (yaml_reader_t *reader, yaml_node_t *node, topology_t *topology,
        const named_item_t *item, err_t *err)
{
  vm_t vm = item->vm;
  vm.name = item->name;
  if (!check_unique (reader, node, topology_vm (topology, item->name.text),
                     &item->name, err)
      || !resolve (reader, node, topology, topology_domain, &item->domain,
                   "failure_domains", &vm.domain, err))
    return false;
  for (size_t i = 0; i < topology->n_vms; i++)
    if (strcmp (topology->vms[i].address, vm.address) == 0)
      return yaml_reader_fault (reader, node, err,
                                "give each VM its own address",
                                "VM '%s' has the address of VM '%s'",
                                vm.name.text, topology->vms[i].name.text);
  topology->vms[topology->n_vms++] = vm;
  return true;
}

static bool
add_service (yaml_reader_t *reader, yaml_node_t *node, topology_t *topology,
             const named_item_t *item, err_t *err)
{
  service_t service = item->service;
  service.name = item->name;
  if (!check_unique (reader, node,
                     topology_service (topology, item->name.text), &item->name,
                     err))
    return false;
  topology->services[topology->n_services++] = service;
  return true;
}

static bool
add_link (yaml_reader_t *reader, yaml_node_t *node, topology_t *topology,
          const named_item_t *item, err_t *err)
{
  link_t link
      = { .bytes_per_second = item->bytes_per_second, .delay = item->delay };
  if (!resolve (reader, node, topology, topology_region, &item->from,
                "regions", &link.from, err)
      || !resolve (reader, node, topology, topology_region, &item->to,
                   "regions", &link.to, err))
    return false;
  if (link.from == link.to || topology_link (topology, link.from, link.to))
    return yaml_reader_fault (
        reader, node, err, "list each direction between two regions once",
        "duplicate link, or link from a region to itself");
  topology->links[topology->n_links++] = link;
  return true;
}

/* How to read one list of the file into the topology.  */
typedef struct list_reader
{
  list_kind_t kind;
  const char *name;
  yaml_node_t *node;
  const yaml_field_t *fields;
  size_t n_fields;
  size_t item_bytes;
  void **array;
} list_reader_t;

static bool
add_item (yaml_reader_t *reader, yaml_node_t *node, topology_t *topology,
          list_kind_t kind, const named_item_t *item, err_t *err)
{
  switch (kind)
    {
    case LIST_REGIONS:
      return add_region (reader, node, topology, item, err);
    case LIST_DOMAINS:
      return add_domain (reader, node, topology, item, err);
    case LIST_VMS:
      return add_vm (reader, node, topology, item, err);
    case LIST_SERVICES:
      return add_service (reader, node, topology, item, err);
    case LIST_LINKS:
      return add_link (reader, node, topology, item, err);
    }
  return false;
}

static bool
read_list (yaml_reader_t *reader, topology_t *topology,
           const list_reader_t *list, err_t *err)
{
  size_t n = 0;
  if (!yaml_reader_sequence (reader, list->node, list->name, &n, err))
    return false;
  if (n > ITEMS_MAX || (n == 0 && list->kind != LIST_LINKS))
    return yaml_reader_fault (
        reader, list->node, err,
        "give the list 1 to 4096 items (links: 0 to 4096)", "%s has %zu items",
        list->name, n);
  *list->array = calloc (n + 1, list->item_bytes);
  if (!*list->array)
    return err_set (err, ERR_INTERNAL, "free memory on this VM",
                    "out of memory");
  for (size_t i = 0; i < n; i++)
    {
      named_item_t item = { 0 };
      yaml_node_t *node = yaml_reader_item (reader, list->node, i);
      if (!yaml_reader_mapping (reader, node, list->name, list->fields,
                                list->n_fields, &item, err)
          || !add_item (reader, node, topology, list->kind, &item, err))
        return false;
    }
  return true;
}

static bool
read_lists (yaml_reader_t *reader, const root_t *root, topology_t *topology,
            err_t *err)
{
  const list_reader_t lists[] = {
    { LIST_REGIONS, "regions", root->regions, region_fields,
      COUNT (region_fields), sizeof (region_t), (void **)&topology->regions },
    { LIST_DOMAINS, "failure_domains", root->domains, domain_fields,
      COUNT (domain_fields), sizeof (failure_domain_t),
      (void **)&topology->domains },
    { LIST_VMS, "vms", root->vms, vm_fields, COUNT (vm_fields), sizeof (vm_t),
      (void **)&topology->vms },
    { LIST_SERVICES, "services", root->services, service_fields,
      COUNT (service_fields), sizeof (service_t),
      (void **)&topology->services },
    { LIST_LINKS, "links", root->links, link_fields, COUNT (link_fields),
      sizeof (link_t), (void **)&topology->links },
  };
  for (size_t i = 0; i < COUNT (lists); i++)
    if (!read_list (reader, topology, &lists[i], err))
      return false;
  for (size_t i = 0; i < topology->n_vms; i++)
    if (topology->vms[i].has_control)
      return true;
  return yaml_reader_fault (reader, root->vms, err,
                            "set 'control: true' on the VMs with a disk",
                            "no VM in vms has a control process");
}

/* A service's deadline above limits.deadline_max_ms is refused: its requests
   would never get a slot.  */
static bool
check_deadlines (yaml_reader_t *reader, const root_t *root,
                 const settings_t *settings, err_t *err)
{
  const topology_t *topology = &settings->topology;
  for (size_t i = 0; i < topology->n_services; i++)
    if (topology->services[i].deadline > settings->limits.deadline_max)
      return yaml_reader_fault (
          reader, yaml_reader_item (reader, root->services, i), err,
          "lower the service's deadline_ms or raise limits.deadline_max_ms",
          "the deadline_ms of service '%s' exceeds limits.deadline_max_ms",
          topology->services[i].name.text);
  return true;
}

static void
limits_default (settings_limits_t *limits)
{
  *limits = (settings_limits_t){
    .body_bytes = 1024 * 1024,
    .caller_connections = 4096,
    .requests_in_flight = 4096,
    .tickets = 100000,
    .ticket_lifetime = 60 * USEC_PER_SEC,
    .deadline_max = 10 * USEC_PER_SEC,
    .lookup_age = 2 * USEC_PER_SEC,
    .pull_interval = 500 * USEC_PER_MSEC,
    .connection_idle = 30 * USEC_PER_SEC,
  };
}

/* Prepend the folder of FILE to PATH if PATH is relative.  */
static bool
path_resolve (char *path, const char *file, err_t *err)
{
  const char *slash = strrchr (file, '/');
  if (path[0] == '/' || path[0] == '\0' || !slash)
    return true;
  char joined[2 * SETTINGS_PATH_BYTES];
  int n = snprintf (joined, sizeof joined, "%.*s/%s", (int)(slash - file),
                    file, path);
  if (n < 0 || n >= SETTINGS_PATH_BYTES)
    return err_set (err, ERR_SETTINGS,
                    "use paths that have at most 255 bytes when joined",
                    "%s: the path %s is too long", file, path);
  memcpy (path, joined, (size_t)n + 1);
  return true;
}

static bool
read_root (yaml_reader_t *reader, settings_t *settings, err_t *err)
{
  root_t root = { 0 };
  topology_t *topology = &settings->topology;
  limits_default (&settings->limits);
  if (!yaml_reader_mapping (
          reader, yaml_document_get_root_node (&reader->document),
          "the settings", root_fields, COUNT (root_fields), &root, err)
      || !yaml_reader_mapping (reader, root.objective, "objective",
                               objective_fields, COUNT (objective_fields),
                               &topology->objective, err)
      || !yaml_reader_mapping (reader, root.ports, "ports", port_fields,
                               COUNT (port_fields), &settings->ports, err)
      || (root.limits
          && !yaml_reader_mapping (reader, root.limits, "limits", limit_fields,
                                   COUNT (limit_fields), &settings->limits,
                                   err)))
    return false;
  topology->organisation = root.organisation;
  topology->domain_delay = root.domain_delay;
  topology->client_delay = root.client_delay;
  memcpy (settings->key_file, root.key_file, sizeof root.key_file);
  memcpy (settings->data_folder, root.data_folder, sizeof root.data_folder);
  memcpy (settings->operators_file, root.operators_file,
          sizeof root.operators_file);
  return path_resolve (settings->key_file, reader->path, err)
         && path_resolve (settings->data_folder, reader->path, err)
         && path_resolve (settings->operators_file, reader->path, err)
         && read_lists (reader, &root, topology, err)
         && check_deadlines (reader, &root, settings, err);
}

settings_t *
settings_load (const char *path, err_t *err)
{
  yaml_reader_t reader;
  if (!yaml_reader_open (&reader, path, err))
    return NULL;
  settings_t *settings = calloc (1, sizeof *settings);
  bool ok = settings && read_root (&reader, settings, err);
  yaml_reader_close (&reader);
  if (ok)
    return settings;
  settings_free (settings);
  return NULL;
}

void
settings_free (settings_t *settings)
{
  if (!settings)
    return;
  topology_free (&settings->topology);
  free (settings);
}

static bool
key_decode (const char *text, unsigned char *key)
{
  if (strlen (text) != 2 * SETTINGS_KEY_BYTES)
    return false;
  for (size_t i = 0; i < SETTINGS_KEY_BYTES; i++)
    {
      const char digits[3] = { text[2 * i], text[2 * i + 1], '\0' };
      uint64_t byte;
      if (number_parse_hex (&byte, digits, 2) != NUMBER_OK)
        return false;
      key[i] = (unsigned char)byte;
    }
  return true;
}

bool
settings_read_key (const char *path, unsigned char *key, err_t *err)
{
  int fd = open (path, O_RDONLY | O_CLOEXEC);
  struct stat info;
  if (fd < 0 || fstat (fd, &info) != 0)
    {
      int why = errno;
      if (fd >= 0)
        close (fd);
      return err_set (
          err, ERR_SETTINGS,
          "create the file with 64 hexadecimal digits and mode 0600",
          "key file %s: %s", path, strerror (why));
    }
  if (info.st_mode & (S_IRWXG | S_IRWXO))
    {
      close (fd);
      return err_set (
          err, ERR_SETTINGS, "run: chmod 600 on the file",
          "key file %s is accessible to group or others (mode %03o)", path,
          (unsigned)(info.st_mode & 0777));
    }
  char text[2 * SETTINGS_KEY_BYTES + 2] = { 0 };
  ssize_t n = read (fd, text, sizeof text - 1);
  close (fd);
  text[strcspn (text, "\r\n")] = '\0';
  if (n > 0 && key_decode (text, key))
    return true;
  return err_set (err, ERR_SETTINGS,
                  "write 64 hexadecimal digits into it, for example from a "
                  "random source",
                  "key file %s does not hold 64 hexadecimal digits", path);
}
