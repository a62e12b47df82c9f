/* request_trace: the log lines of one request, collected from the logs of many
   VMs and ordered by time.  Does no I/O but printing.  */

#ifndef CTL_REQUEST_TRACE_H
#define CTL_REQUEST_TRACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>

typedef struct request_trace request_trace_t;

/* A trace of the request ID.  The string is borrowed and must outlive the
   trace.  */
request_trace_t *request_trace_new (const char *id);
void request_trace_free (request_trace_t *trace);

/* Add one line of a log if its field `id` is the request's and its field
   `time` is valid; the line may hold anything.  True where the line was added;
   the number of lines is bounded.  */
bool request_trace_add (request_trace_t *trace, const char *line);

/* The number of lines added.  */
size_t request_trace_count (const request_trace_t *trace);

/* Print the lines in the order of time: seconds since the first line, the VM,
   the event and its fields.  Sorts the trace.  */
void request_trace_print (request_trace_t *trace, FILE *file);

/* The outcome in the last line that ends or refuses the request, as a static
   sentence; "" where no line does.  */
const char *request_trace_outcome (const request_trace_t *trace);

#endif
