/* list: an intrusive, circular, doubly linked list.

   A struct that can be in a list contains a `list_t` member, its link; the
   head of the list is a `list_t` too.  The functions allocate nothing.  Heads
   and links are initialised by `list_init`.  A link that is in no list points
   to itself, so calling `list_remove` on it again has no effect.  */

#ifndef BASE_LIST_H
#define BASE_LIST_H

#include <stdbool.h>
#include <stddef.h>

typedef struct list
{
  struct list *next;
  struct list *prev;
} list_t;

/* Returns the struct of TYPE that contains LINK as its member MEMBER.  */
#define LIST_ENTRY(link, type, member)                                        \
  ((type *)((char *)(link)-offsetof (type, member)))

/* Iterate over the links of HEAD.  The loop body may remove LINK.  */
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

/* Remove the first link of HEAD and return it, or NULL if HEAD is empty.  */
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
