/* admin_exchange: one administration request and its signed answer.  */

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
  const char *header;      /* Authorization; NULL: none */
  const credential_t *who; /* NULL: not authenticated, answers unsigned */
  char from[ADDRESS_BYTES];
  /* Of the answer, for the log.  */
  unsigned status;
  uint64_t number;    /* of the sheet; 0: none */
  const char *reason; /* an error's kind, or "" */
} admin_exchange_t;

/* Each queues the answer.  TEXT is malloc'd and becomes the answer's.  */
enum MHD_Result admin_reply_text (admin_exchange_t *exchange, unsigned status,
                                  const char *type, char *text, size_t length);

enum MHD_Result admin_reply_error (admin_exchange_t *exchange, unsigned status,
                                   const err_t *err);

enum MHD_Result admin_reply_accepted (admin_exchange_t *exchange,
                                      const admin_accepted_t *accepted);

/* A sheet that was refused, with its bad rows.  */
enum MHD_Result admin_reply_refused (admin_exchange_t *exchange,
                                     const sheet_faults_t *faults,
                                     const err_t *err);

enum MHD_Result admin_reply_status (admin_exchange_t *exchange,
                                    const settings_t *settings, vm_id_t self,
                                    const admin_status_t *status);

#endif
