/* accepted: the accepted sheet as this process has applied it, for all who
   read it.  Thread-safe; it never goes back.  */

#ifndef CONTROL_ACCEPTED_H
#define CONTROL_ACCEPTED_H

#include "agreement/sheet_registry.h"
#include "membership/version_store.h"
#include "membership/version_table.h"

typedef struct accepted accepted_t;

accepted_t *accepted_new (size_t n_vms);
void accepted_free (accepted_t *accepted);

/* The log has accepted RECORD with the content TEXT.  */
void accepted_put (accepted_t *accepted, const sheet_record_t *record,
                   const char *text, size_t length);

/* At AT nobody could have accepted a newer one.  */
void accepted_confirm (accepted_t *accepted, usec_t at);

/* The number of the newest; 0 before the first.  */
uint64_t accepted_number (accepted_t *accepted);

/* A copy of the newest text, for free; NULL before the first.  */
char *accepted_text (accepted_t *accepted, size_t *length);

/* Answer a pull at NOW.  */
version_answer_t accepted_pull (accepted_t *accepted, usec_t now,
                                uint64_t version,
                                const version_report_t *reports,
                                size_t n_reports);

/* What is known of VM.  */
version_row_t accepted_row (accepted_t *accepted, vm_id_t vm);

#endif
