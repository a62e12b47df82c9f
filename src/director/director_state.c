#include "director/director_state.h"

#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "base/name.h"
#include "routing/route_defs.h"
#include "wire/generated/fleet.h"

void
director_state_clear (director_state_t *state)
{
  blob_unref (state->config);
  *state = (director_state_t){ 0 };
}

static blob_t *
encode (xdrproc_t filter, void *value)
{
  blob_t *blob = blob_new (NULL, xdr_sizeof (filter, value));
  XDR xdrs;
  xdrmem_create (&xdrs, (char *)blob->bytes, blob->length, XDR_ENCODE);
  if (!filter (&xdrs, value))
    abort ();
  blob->length = xdr_getpos (&xdrs);
  return blob;
}

static bool
decode (const blob_t *blob, xdrproc_t filter, void *value, err_t *err)
{
  XDR xdrs;
  xdrmem_create (&xdrs, (char *)(uintptr_t)blob->bytes, blob->length,
                 XDR_DECODE);
  if (filter (&xdrs, value))
    return true;
  xdr_free (filter, value);
  return err_set (err, ERR_PROTOCOL, "run the same release on all directors",
                  "cannot decode a command or snapshot of %u bytes",
                  blob->length);
}

blob_t *
director_command_config (uint64_t version, const char *text, size_t length)
{
  fleet_command_t command = { .kind = FLEET_COMMAND_CONFIG };
  fleet_config_t *config = &command.fleet_command_t_u.config;
  config->config_version = version;
  config->text.text_val = (char *)(uintptr_t)text;
  config->text.text_len = (u_int)length;
  return encode ((xdrproc_t)xdr_fleet_command_t, &command);
}

blob_t *
director_command_evacuate (const name_t *domain, bool is_evacuated)
{
  fleet_command_t command = { 0 };
  name_t copy = *domain;
  if (is_evacuated)
    {
      command.kind = FLEET_COMMAND_EVACUATE;
      command.fleet_command_t_u.evacuate = copy.text;
    }
  else
    {
      command.kind = FLEET_COMMAND_TAKE_BACK;
      command.fleet_command_t_u.take_back = copy.text;
    }
  return encode ((xdrproc_t)xdr_fleet_command_t, &command);
}

/* The position of DOMAIN in STATE's evacuated domains, or n_evacuated.  */
static size_t
evacuated_find (const director_state_t *state, const char *domain)
{
  return name_find (state->evacuated, state->n_evacuated, domain);
}

bool
director_state_is_evacuated (const director_state_t *state, const char *domain)
{
  return evacuated_find (state, domain) < state->n_evacuated;
}

/* Whether a configuration may be in force under VERSION.  An earlier release
   stored versions beyond the range, which no later one would replace.  */
static bool
is_valid_version (uint64_t version)
{
  if (version <= ROUTE_CONFIG_VERSION_MAX)
    return true;
  LOG_EVENT (LOG_LEVEL_ERROR, "stored_config_invalid",
             LOG_U ("version", version),
             LOG_S ("remedy", "put a valid configuration"));
  return false;
}

static void
apply_config (director_state_t *state, const fleet_config_t *config)
{
  if (config->config_version <= state->config_version
      || !is_valid_version (config->config_version))
    return;
  blob_unref (state->config);
  state->config = blob_new (config->text.text_val, config->text.text_len);
  state->config_version = config->config_version;
}

static void
apply_evacuation (director_state_t *state, log_index_t index,
                  const char *domain, bool is_evacuated)
{
  name_t name;
  size_t at = evacuated_find (state, domain);
  bool was_evacuated = at < state->n_evacuated;
  if (was_evacuated == is_evacuated || !name_parse (&name, domain, NULL)
      || (is_evacuated && state->n_evacuated == EVACUATED_MAX))
    return;
  state->evacuations_index = index;
  if (is_evacuated)
    state->evacuated[state->n_evacuated++] = name;
  else
    state->evacuated[at] = state->evacuated[--state->n_evacuated];
}

bool
director_state_apply (director_state_t *state, log_index_t index,
                      const blob_t *command, err_t *err)
{
  fleet_command_t decoded = { 0 };
  if (!decode (command, (xdrproc_t)xdr_fleet_command_t, &decoded, err))
    return false;
  switch (decoded.kind)
    {
    case FLEET_COMMAND_CONFIG:
      apply_config (state, &decoded.fleet_command_t_u.config);
      break;
    case FLEET_COMMAND_EVACUATE:
      apply_evacuation (state, index, decoded.fleet_command_t_u.evacuate,
                        true);
      break;
    case FLEET_COMMAND_TAKE_BACK:
      apply_evacuation (state, index, decoded.fleet_command_t_u.take_back,
                        false);
      break;
    }
  xdr_free ((xdrproc_t)xdr_fleet_command_t, (char *)&decoded);
  return true;
}

blob_t *
director_state_save (const director_state_t *state)
{
  director_state_t copy = *state;
  fleet_name_t names[EVACUATED_MAX];
  for (size_t i = 0; i < copy.n_evacuated; i++)
    names[i] = copy.evacuated[i].text;
  fleet_state_t wire = { .config_version = copy.config_version,
                         .evacuations_index = copy.evacuations_index };
  wire.text.text_val = copy.config ? (char *)copy.config->bytes : NULL;
  wire.text.text_len = copy.config ? copy.config->length : 0;
  wire.evacuated.evacuated_val = names;
  wire.evacuated.evacuated_len = (u_int)copy.n_evacuated;
  return encode ((xdrproc_t)xdr_fleet_state_t, &wire);
}

bool
director_state_restore (director_state_t *state, const blob_t *snapshot,
                        err_t *err)
{
  fleet_state_t wire = { 0 };
  if (!decode (snapshot, (xdrproc_t)xdr_fleet_state_t, &wire, err))
    return false;
  director_state_clear (state);
  if (wire.config_version > 0 && is_valid_version (wire.config_version))
    {
      state->config_version = wire.config_version;
      state->config = blob_new (wire.text.text_val, wire.text.text_len);
    }
  state->evacuations_index = wire.evacuations_index;
  for (u_int i = 0; i < wire.evacuated.evacuated_len; i++)
    if (state->n_evacuated < EVACUATED_MAX
        && name_parse (&state->evacuated[state->n_evacuated],
                       wire.evacuated.evacuated_val[i], NULL))
      state->n_evacuated++;
  xdr_free ((xdrproc_t)xdr_fleet_state_t, (char *)&wire);
  return true;
}
