/* session: the state that the commands of mulberryctl share (settings,
   operator's key, addresses of the control VMs), requests to the control VMs,
   and the output of JSON and errors.  */

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

/* Load the settings and list the control VMs where the command needs them.
   OPTIONS must outlive the session.  Call session_close also after an
   error.  */
bool session_open (session_t *session, const options_t *options, err_t *err);

void session_close (session_t *session);

/* Send REQUEST to the control VMs; the first call reads the operator's key
   file.  An answer with a status other than 200 is an error of the kind that
   the answer names; REPLY holds the answer in that case too.  Release REPLY
   with client_reply_free in every case.  */
bool session_send (session_t *session, const client_request_t *request,
                   client_reply_t *reply, err_t *err);

/* GET TARGET from the control VMs as JSON.  Returns NULL and sets ERR on an
   error; the caller releases the value with json_decref.  */
json_t *session_get (session_t *session, const char *target, err_t *err);

/* The operator whose key is used; NULL before session_send has read the key
   file.  */
const name_t *session_operator (const session_t *session);

/* Report ERR on standard error, or as JSON on standard output with --output
   json; returns the exit code for its kind.  */
exit_code_t session_report_error (const session_t *session, const err_t *err);

/* Print JSON on standard output, indented, with a newline.  */
void session_print_json (const json_t *json);

#endif
