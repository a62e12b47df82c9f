/* session: what every command of mulberryctl needs: the settings, the
   operator's key, the control VMs, and the way errors are told.  */

#ifndef CTL_SESSION_H
#define CTL_SESSION_H

#include <jansson.h>

#include "ctl/client.h"
#include "ctl/options.h"
#include "settings/settings.h"

typedef struct session
{
  const options_t *options;
  settings_t *settings;
  credentials_t credentials;
  const char **addresses; /* of the control VMs, --vm first */
  size_t n_addresses;
} session_t;

/* Load the settings, where the command needs them.  */
bool session_open (session_t *session, const options_t *options, err_t *err);

void session_close (session_t *session);

/* Ask the control VMs; the first call reads the operator's key file.  An
   answer with a status other than 200 becomes an error of the kind that it
   names, REPLY then still holds it; release it in either case.  */
bool session_ask (session_t *session, const client_request_t *request,
                  client_reply_t *reply, err_t *err);

/* GET TARGET as JSON; NULL on an error, else for json_decref.  */
json_t *session_get (session_t *session, const char *target, err_t *err);

/* The operator whose key is used; NULL before session_ask.  */
const name_t *session_operator (const session_t *session);

/* Tell ERR on standard error, or as JSON on standard output; returns the exit
   code that fits its kind.  */
exit_code_t session_fail (const session_t *session, const err_t *err);

/* Print JSON on standard output, as one indented text.  */
void session_print_json (const json_t *json);

#endif
