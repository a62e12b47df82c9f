/* list: an intrusive, circular, doubly linked list.

   A struct that is kept in a list has a `list_t` member; the list's head is
   a `list_t` too.  Nothing is allocated.  A member that is in no list points
   to itself, so `list_remove` may be called on it again.  */

#ifndef BASE_LIST_H
#define BASE_LIST_H

#include <stdbool.h>
#include <stddef.h>

typedef struct list
{
  struct list *next;
  struct list *prev;
} list_t;

/* The struct of TYPE whose member MEMBER is the link LINK.  */
#define LIST_ENTRY(link, type, member)                                        \
  ((type *)((char *)(link)-offsetof (type, member)))

/* Walk over the links of HEAD; LINK may be removed inside the loop.  */
#define LIST_FOREACH(link, head)                                              \
  for (list_t *link = (head)->next, *link##_next = link->next;                \
       link != (head); link = link##_next, link##_next = link->next)

static inline void
list_init (list_t *head)
{
  head->next = head;
  head->prev = head;
}

static inline bool
list_empty (const list_t *head)
{
  return head->next == head;
}

static inline void
list_push_back (list_t *head, list_t *link)
{
  link->prev = head->prev;
  link->next = head;
  head->prev->next = link;
  head->prev = link;
}

static inline void
list_push_front (list_t *head, list_t *link)
{
  list_push_back (head->next, link);
}

static inline void
list_remove (list_t *link)
{
  link->prev->next = link->next;
  link->next->prev = link->prev;
  list_init (link);
}

/* Take the first link off HEAD; NULL where it is empty.  */
static inline list_t *
list_pop_front (list_t *head)
{
  if (list_empty (head))
    return NULL;
  list_t *link = head->next;
  list_remove (link);
  return link;
}

#endif
