#include "ctl/session.h"

#include <libgen.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "placement/topology.h"

enum
{
  HTTP_STATUS_OK = 200,
  ATTEMPT_TIMEOUT_SECONDS = 4,
  INDENT = 2,
};

static const char default_key_file[] = "operator.key";

static void
add_address (session_t *session, const vm_t *vm)
{
  if (vm->has_control)
    session->addresses[session->n_addresses++] = vm->address;
}

static bool
list_addresses (session_t *session, err_t *err)
{
  const topology_t *topology = &session->settings->topology;
  const char *preferred_name = session->options->vm;
  vm_id_t preferred = preferred_name ? topology_vm (topology, preferred_name)
                                     : TOPOLOGY_NONE;
  if (preferred_name && preferred == TOPOLOGY_NONE)
    return err_set (err, ERR_USAGE, "name one of the VMs in the settings",
                    "--vm %s: not in the settings", preferred_name);
  session->addresses = calloc (topology->n_vms, sizeof *session->addresses);
  if (!session->addresses)
    return err_set (err, ERR_LIMIT, "free some memory", "out of memory");
  if (preferred != TOPOLOGY_NONE)
    add_address (session, &topology->vms[preferred]);
  for (vm_id_t i = 0; i < topology->n_vms; i++)
    if (i != preferred)
      add_address (session, &topology->vms[i]);
  if (session->n_addresses == 0)
    return err_set (err, ERR_SETTINGS, "set control: true on 3 or 5 VMs",
                    "no VM in the settings has control: true");
  return true;
}

bool
session_open (session_t *session, const options_t *options, err_t *err)
{
  memset (session, 0, sizeof *session);
  session->options = options;
  if (!options_need_settings (options->command))
    return true;
  session->settings = settings_load (options->settings, err);
  return session->settings && list_addresses (session, err);
}

void
session_close (session_t *session)
{
  credentials_free (&session->credentials);
  free (session->addresses);
  if (session->settings)
    settings_free (session->settings);
}

static bool
load_key (session_t *session, err_t *err)
{
  char path[2 * SETTINGS_PATH_BYTES];
  if (session->credentials.n_entries > 0)
    return true;
  if (session->options->key)
    return credentials_load (&session->credentials, session->options->key,
                             err);
  char settings[SETTINGS_PATH_BYTES];
  snprintf (settings, sizeof settings, "%s", session->options->settings);
  snprintf (path, sizeof path, "%s/%s", dirname (settings), default_key_file);
  return credentials_load (&session->credentials, path, err);
}

const name_t *
session_operator (const session_t *session)
{
  if (session->credentials.n_entries == 0)
    return NULL;
  return &session->credentials.entries[0].operator_name;
}

static err_kind_t
kind_from_name (const char *name)
{
  for (err_kind_t kind = ERR_NONE; kind <= ERR_INTERNAL; kind++)
    if (strcmp (name, err_kind_name (kind)) == 0)
      return kind;
  return ERR_PROTOCOL;
}

/* Set ERR to the error in the answer of a VM; returns false.  */
static bool
error_from_reply (const client_reply_t *reply, err_t *err)
{
  const char *kind = NULL;
  const char *message = NULL;
  const char *remedy = "";
  json_t *json = json_loadb (reply->body, reply->length, 0, NULL);
  if (json_unpack (json, "{s:{s:s,s:s,s?s}}", "error", "kind", &kind,
                   "message", &message, "remedy", &remedy)
      == 0)
    err_set (err, kind_from_name (kind), remedy, "%s", message);
  else
    err_set (err, ERR_PROTOCOL, "use the release of the control VMs",
             "%s answered status %u without a valid error object",
             reply->address, reply->status);
  json_decref (json);
  return false;
}

bool
session_send (session_t *session, const client_request_t *request,
              client_reply_t *reply, err_t *err)
{
  memset (reply, 0, sizeof *reply);
  if (!load_key (session, err))
    return false;
  const client_options_t options
      = { .addresses = session->addresses,
          .n_addresses = session->n_addresses,
          .port = session->settings->ports.admin,
          .credential = &session->credentials.entries[0],
          .attempt_timeout = ATTEMPT_TIMEOUT_SECONDS * USEC_PER_SEC,
          .timeout = session->options->timeout };
  if (!client_send (&options, request, reply, err))
    return false;
  return reply->status == HTTP_STATUS_OK || error_from_reply (reply, err);
}

json_t *
session_get (session_t *session, const char *target, err_t *err)
{
  const client_request_t request = { .method = "GET", .target = target };
  client_reply_t reply;
  json_t *json = NULL;
  if (session_send (session, &request, &reply, err))
    {
      json = json_loadb (reply.body, reply.length, 0, NULL);
      if (!json)
        err_set (err, ERR_PROTOCOL, "use the release of the control VMs",
                 "the answer of %s is not valid JSON", reply.address);
    }
  client_reply_free (&reply);
  return json;
}

static exit_code_t
exit_code_for_kind (err_kind_t kind)
{
  switch (kind)
    {
    case ERR_NONE:
      return EXIT_OK;
    case ERR_USAGE:
    case ERR_SETTINGS:
    case ERR_IO:
      return EXIT_USAGE;
    case ERR_AUTH:
      return EXIT_AUTH;
    case ERR_CONFLICT:
    case ERR_STALE:
      return EXIT_CONFLICT;
    case ERR_UNAVAILABLE:
    case ERR_TIMEOUT:
    case ERR_STORAGE:
    case ERR_NO_SPACE:
    case ERR_INTERNAL:
    case ERR_PROTOCOL:
      return EXIT_NO_FINAL_ANSWER;
    case ERR_SHEET:
    case ERR_LIMIT:
      return EXIT_REFUSED;
    }
  return EXIT_NO_FINAL_ANSWER;
}

void
session_print_json (const json_t *json)
{
  json_dumpf (json, stdout, JSON_INDENT (INDENT) | JSON_PRESERVE_ORDER);
  putchar ('\n');
}

exit_code_t
session_report_error (const session_t *session, const err_t *err)
{
  if (session->options->output == OUTPUT_JSON)
    {
      json_t *json = json_pack ("{s:{s:s,s:s,s:s}}", "error", "kind",
                                err_kind_name (err->kind), "message",
                                err->message, "remedy", err->remedy);
      session_print_json (json);
      json_decref (json);
    }
  else
    fprintf (stderr, "mulberryctl: %s\nmulberryctl: remedy: %s\n",
             err->message, err->remedy);
  return exit_code_for_kind (err->kind);
}
