/* accepted_sheet: the newest accepted sheet that this process has applied, and
   which version each VM has in force.  The sheet's number never decreases.
   Thread-safe.  */

#ifndef CONTROL_ACCEPTED_SHEET_H
#define CONTROL_ACCEPTED_SHEET_H

#include "agreement/sheet_registry.h"
#include "membership/version_store.h"
#include "membership/version_table.h"

typedef struct accepted_sheet accepted_sheet_t;

/* N_VMS is the number of VMs in the topology.  Release the result with
   accepted_sheet_free, which permits NULL.  */
accepted_sheet_t *accepted_sheet_new (size_t n_vms);
void accepted_sheet_free (accepted_sheet_t *accepted);

/* Store the sheet of RECORD, whose content is copied from TEXT; ignored if its
   number is not above the stored one.  */
void accepted_sheet_put (accepted_sheet_t *accepted,
                         const sheet_record_t *record, const char *text,
                         size_t length);

/* Record that at AT (monotonic clock) no newer sheet could have been accepted:
   the age of AT is the freshness that answers to pulls report.  */
void accepted_sheet_confirm (accepted_sheet_t *accepted, usec_t at);

/* The number of the newest accepted sheet; 0 before the first.  */
uint64_t accepted_sheet_number (accepted_sheet_t *accepted);

/* A copy of the newest sheet's text, which the caller releases with free, and
   its length in bytes; NULL before the first, *LENGTH is then unchanged.  */
char *accepted_sheet_text (accepted_sheet_t *accepted, size_t *length);

/* Store the N_REPORTS reports of a pull and answer it at NOW for a VM that has
   VERSION.  The caller releases the result with version_answer_clear.  */
version_answer_t accepted_sheet_answer_pull (accepted_sheet_t *accepted,
                                             usec_t now, uint64_t version,
                                             const version_report_t *reports,
                                             size_t n_reports);

/* The last report of VM; all zero if there is no such VM.  */
version_row_t accepted_sheet_row (accepted_sheet_t *accepted, vm_id_t vm);

#endif
