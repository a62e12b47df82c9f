/* core_view: a director's view of the deployment, as JSON for operators.  */

#include "director/core_internal.h"

#include <jansson.h>
#include <stdlib.h>

#include "base/clock.h"
#include "config_codec.h"
#include "fleet/backend_list.h"
#include "routing/route_config.h"

static json_t *
address_json (const inet_t *address)
{
  char text[INET_TEXT_BYTES];
  inet_format (address, text);
  return json_string (text);
}

/* Milliseconds since AT; -1 where AT is 0: never.  */
static json_t *
age_json (usec_t at, usec_t now)
{
  return json_integer (at > 0 ? (now - at) / USEC_PER_MSEC : -1);
}

/* The form of a process's messages; null if it is not known.  */
static json_t *
form_json (uint32_t form)
{
  return form == MESSAGE_FORM_NOT_TOLD ? json_null ()
                                       : json_sprintf ("%u", form);
}

static json_t *
route_json (const route_t *route)
{
  json_t *shares = json_array ();
  for (size_t i = 0; i < route->n_shares; i++)
    json_array_append_new (shares,
                           json_pack ("{s:s,s:f}", "service",
                                      route->shares[i].service.text, "weight",
                                      route->shares[i].weight));
  json_t *homes = json_array ();
  for (size_t i = 0; i < route->n_home_regions; i++)
    json_array_append_new (homes,
                           json_string (route->home_region_names[i].text));
  return json_pack (
      "{s:s,s:s,s:s,s:b,s:I,s:I,s:i,s:i,s:o,s:o}", "name", route->name.text,
      "host", route->host, "prefix", route->path_prefix, "idempotent",
      route->is_idempotent, "timeout_ms",
      (json_int_t)(route->timeout / USEC_PER_MSEC), "objective_ms",
      (json_int_t)(route->latency_objective / USEC_PER_MSEC), "priority",
      (int)route->priority, "attempts", (int)route->max_attempts, "shares",
      shares, "homes", homes);
}

static json_t *
routes_json (const director_core_t *core)
{
  json_t *routes = json_array ();
  const blob_t *text = core->state.config;
  route_config_t *config = text ? config_codec_read ((const char *)text->bytes,
                                                     text->length, NULL)
                                : NULL;
  for (size_t i = 0; config && i < config->n_routes; i++)
    json_array_append_new (routes, route_json (&config->routes[i]));
  route_config_free (config);
  return routes;
}

static json_t *
evacuated_json (const director_core_t *core)
{
  json_t *domains = json_array ();
  for (size_t i = 0; i < core->state.n_evacuated; i++)
    json_array_append_new (domains,
                           json_string (core->state.evacuated[i].text));
  return domains;
}

static json_t *
quarantined_json (const director_core_t *core, usec_t now)
{
  json_t *requests = json_array ();
  for (size_t i = 0; i < core->n_quarantined; i++)
    {
      const suspect_t *suspect
          = crash_table_find (&core->crashes, core->quarantined[i]);
      char text[FINGERPRINT_TEXT_BYTES];
      if (!suspect)
        continue;
      fingerprint_format (core->quarantined[i], text);
      json_array_append_new (
          requests,
          json_pack (
              "{s:s,s:i,s:o}", "fingerprint", text, "crashes",
              (int)suspect->n_crashes, "last_crash_ms_ago",
              age_json (suspect->crashes[suspect->n_crashes - 1].ended_at,
                        now)));
    }
  return requests;
}

static json_t *
directors_json (const director_core_t *core, usec_t now)
{
  json_t *directors = json_array ();
  for (size_t i = 0; i < core->roster.n_slots; i++)
    {
      char address[INET_TEXT_BYTES];
      inet_format_address (core->roster.addresses[i], address);
      bool is_self = core->roster.addresses[i] == core->own_address;
      json_array_append_new (
          directors,
          json_pack ("{s:i,s:s,s:b,s:b,s:o,s:o}", "slot", (int)i, "address",
                     address, "leads", core->leader_slot == i, "self", is_self,
                     "form",
                     form_json (is_self ? MESSAGE_FORM : core->peers[i].form),
                     "heard_ms_ago",
                     is_self ? json_integer (0)
                             : age_json (core->peers[i].last_heard_at, now)));
    }
  return directors;
}

static json_t *
routers_json (const director_core_t *core, usec_t now)
{
  json_t *routers = json_array ();
  for (size_t i = 0; i < core->router_table.n_records; i++)
    {
      const router_record_t *record = &core->router_table.records[i];
      json_array_append_new (
          routers,
          json_pack ("{s:s,s:s,s:o,s:b,s:b,s:o,s:o}", "vm", record->vm.text,
                     "failure_domain", record->domain.text, "requests",
                     address_json (&record->request_address), "takes_requests",
                     record->takes_requests, "cut_off", record->is_cut_off,
                     "form", form_json (record->form), "heard_ms_ago",
                     age_json (record->heard_at, now)));
    }
  return routers;
}

/* That a backend server leaves, as it said to routers that report here; null
   if it did not.  */
static json_t *
leaving_json (const notice_summary_t *notices, usec_t now)
{
  if (notices->n_leaving == 0)
    return json_null ();
  return json_pack ("{s:i,s:o}", "routers", (int)notices->n_leaving,
                    "said_ms_ago", age_json (notices->leaving_since, now));
}

/* The same for a rest.  */
static json_t *
rest_json (const notice_summary_t *notices, usec_t now)
{
  if (notices->n_resting == 0)
    return json_null ();
  return json_pack ("{s:i,s:o,s:I}", "routers", (int)notices->n_resting,
                    "said_ms_ago", age_json (notices->resting_since, now),
                    "left_ms",
                    (json_int_t)((notices->rest_until - now) / USEC_PER_MSEC));
}

static json_t *
backends_json (const director_core_t *core, usec_t now)
{
  json_t *backends = json_array ();
  for (size_t i = 0; i < core->backend_list.n_records; i++)
    {
      const backend_record_t *record = &core->backend_list.records[i];
      const notice_summary_t notices = notice_table_summary (
          &core->notices, backend_record_boot (record), now);
      json_array_append_new (
          backends,
          json_pack (
              "{s:s,s:s,s:s,s:o,s:s,s:i,s:o,s:o}", "id", record->id, "service",
              record->service.text, "failure_domain", record->domain.text,
              "address", address_json (&record->address), "state",
              record->is_draining ? "draining" : "ready", "slots",
              (int)record->slots, "leaving", leaving_json (&notices, now),
              "rest", rest_json (&notices, now)));
    }
  return backends;
}

char *
core_view_json (const director_core_t *core)
{
  usec_t now = clock_monotonic ();
  const char *role = core->replica ? replica_role_name (core->role) : "none";
  json_t *view = json_pack (
      "{s:s,s:s,s:I,s:I,s:o,s:o,s:o,s:o,s:o,s:o,s:o,s:o}", "vm",
      core->settings->vm.text, "role", role, "version",
      (json_int_t)core->state.config_version, "applied",
      (json_int_t)core->applied_index, "newest_ms_ago",
      age_json (core->confirmed_at, now), "list_ms_ago",
      age_json (core->backend_list.read_at, now), "evacuated",
      evacuated_json (core), "quarantined", quarantined_json (core, now),
      "directors", directors_json (core, now), "routers",
      routers_json (core, now), "routes", routes_json (core), "backends",
      backends_json (core, now));
  char *text = json_dumps (view, JSON_INDENT (2));
  json_decref (view);
  if (!text)
    abort ();
  return text;
}
