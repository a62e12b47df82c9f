/* log_story: what the logs of many VMs tell of one request, in order.  Pure.
 */

#ifndef CTL_LOG_STORY_H
#define CTL_LOG_STORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>

typedef struct log_story log_story_t;

/* Of the request with ID, borrowed.  */
log_story_t *log_story_new (const char *id);
void log_story_free (log_story_t *story);

/* Take in one line of a log, whatever it holds; true where it tells of the
   request.  */
bool log_story_add (log_story_t *story, const char *line);

size_t log_story_count (const log_story_t *story);

/* The lines by their time: the span since the first, the VM, the event and
   its fields.  */
void log_story_print (log_story_t *story, FILE *file);

/* What the last of them says became of the request, in a sentence; "" where
   its end is not among them.  */
const char *log_story_outcome (const log_story_t *story);

#endif
