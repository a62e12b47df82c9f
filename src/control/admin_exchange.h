/* admin_exchange: one request to the administration API and its answer, which
   is signed if the request was authenticated.  */

#ifndef CONTROL_ADMIN_EXCHANGE_H
#define CONTROL_ADMIN_EXCHANGE_H

#include <microhttpd.h>

#include "control/admin_service.h"
#include "wire/credential.h"

typedef struct admin_exchange
{
  struct MHD_Connection *connection;
  const char *method;
  const char *target;
  const char *authorization;      /* header; NULL: absent */
  const credential_t *credential; /* NULL: not authenticated */
  char sender_address[ADDRESS_BYTES];
  /* Set by the reply functions, for the log.  */
  unsigned status;    /* HTTP status */
  uint64_t number;    /* of the accepted sheet; 0: none */
  const char *reason; /* the error's kind; "": no error */
} admin_exchange_t;

/* Each of the functions below queues the answer and returns libmicrohttpd's
   result, MHD_NO if no answer could be queued.  */

/* Takes ownership of TEXT (malloc'd, LENGTH bytes); TYPE is the content
   type.  */
enum MHD_Result admin_reply_text (admin_exchange_t *exchange, unsigned status,
                                  const char *type, char *text, size_t length);

enum MHD_Result admin_reply_error (admin_exchange_t *exchange, unsigned status,
                                   const err_t *err);

enum MHD_Result admin_reply_accepted (admin_exchange_t *exchange,
                                      const admin_accepted_t *accepted);

/* A sheet was refused; the answer lists its invalid rows.  */
enum MHD_Result admin_reply_refused (admin_exchange_t *exchange,
                                     const sheet_faults_t *faults,
                                     const err_t *err);

/* SELF is this VM.  */
enum MHD_Result admin_reply_status (admin_exchange_t *exchange,
                                    const settings_t *settings, vm_id_t self,
                                    const admin_status_t *status);

#endif
