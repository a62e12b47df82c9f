/* reply_fields: reads the fields of a backend server's or entry VM's answer,
   line by line.  Pure.  */

#ifndef ENTRY_REPLY_FIELDS_H
#define ENTRY_REPLY_FIELDS_H

#include "entry/backend_client.h"

enum
{
  REPLY_ID_BYTES = 64,
};

/* All zero at first, but for `id`.  */
typedef struct reply_fields
{
  char id[REPLY_ID_BYTES]; /* of the request */
  bool has_id;             /* the last head has an X-Request-Id */
  bool has_not_started;    /* it has an X-Not-Started */
  bool has_outcome;        /* it has an X-Mulberry-Outcome */
} reply_fields_t;

/* Store in REPLY what the field line DATA, LENGTH bytes, tells.  A line that
   is too long, or another field, tells nothing.  */
void reply_fields_parse (reply_fields_t *fields, backend_reply_t *reply,
                         const char *data, size_t length);

/* Forget what the fields of an informational response told.  */
void reply_fields_reset (reply_fields_t *fields, backend_reply_t *reply);

#endif
