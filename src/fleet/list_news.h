/* list_news: the list of backend servers on its way from one that reads it to
   those that follow, as a whole or as the steps since the list that they
   have.

   What a step leaves out is as it was; a cold one stays cold for as much
   shorter as lies between the two readings.  */

#ifndef FLEET_LIST_NEWS_H
#define FLEET_LIST_NEWS_H

#include "fleet/fleet_defs.h"
#include "fleet/packed.h"
#include "wire/generated/fleet.h"

enum
{
  LIST_STEPS_MAX = FLEET_WIRE_STEPS_MAX,
};

typedef struct list_step
{
  uint64_t from; /* digests */
  uint64_t to;
  packed_t packed; /* a fleet_step_t */
} list_step_t;

/* What is kept to tell others of a list; all zero at first.  */
typedef struct list_source
{
  size_t n_steps;
  list_step_t steps[LIST_STEPS_MAX]; /* the last one leads to the list */
  uint64_t whole_digest;             /* of the list that WHOLE holds */
  usec_t whole_read_at;
  bool whole_has_cold; /* some backend server in it is cold */
  packed_t whole;
} list_source_t;

/* The list was FROM and is TO now.  */
void list_source_note (list_source_t *source, const backend_list_t *from,
                       const backend_list_t *to);
void list_source_clear (list_source_t *source);

/* What a follower that has the list of digest KNOWN is to be told of LIST.
   The result borrows from SOURCE and stands until it is noted to again.  STEPS
   has room for LIST_STEPS_MAX.  */
fleet_list_news_t list_source_tell (list_source_t *source,
                                    const backend_list_t *list, uint64_t known,
                                    fleet_packed_t *steps, usec_t now);

typedef enum
{
  LIST_NEWS_NONE,   /* the list stands */
  LIST_NEWS_TAKEN,  /* it is another one now */
  LIST_NEWS_BROKEN, /* they don't fit: ask for the whole list */
} list_news_end_t;

/* The list is as it was, but read at AT.  */
void list_news_pass_time (backend_list_t *list, usec_t at);

/* Follow NEWS in *LIST.  An older reading than *LIST changes nothing.  */
list_news_end_t list_news_take (const fleet_list_news_t *news, usec_t now,
                                backend_list_t *list);

#endif
