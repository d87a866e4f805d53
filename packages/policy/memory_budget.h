/* The memory that an instance uses for what it keeps for others: bodies of
   requests and responses, output that a peer does not take, heads. Each holder,
   such as a connection, tells how much it keeps; the budget says when to take
   less, and which holder is to give up if there is too much. Does no I/O.  */
#ifndef MEMORY_BUDGET_H
#define MEMORY_BUDGET_H

#include <glib.h>

struct memory_holder
{
  guint tier; /* of its request, 0: the most urgent; set by the owner */
  /* Private. */
  GList link; /* data is NULL: in no budget */
  gsize kept;
  gsize promised; /* that it may come to keep; 0: not promised any */
};

struct memory_budget
{
  gsize limit; /* bytes; 0: none */
  /* Private. */
  GQueue holders; /* of struct memory_holder, borrowed */
  gsize kept;     /* by all of them */
  gsize promised; /* beyond that */
};

void memory_budget_init (struct memory_budget *budget, gsize limit);
void memory_budget_add (struct memory_budget *budget,
                        struct memory_holder *holder);
void memory_budget_remove (struct memory_budget *budget,
                           struct memory_holder *holder);
void memory_budget_set (struct memory_budget *budget,
                        struct memory_holder *holder, gsize kept);
gboolean memory_budget_promise (struct memory_budget *budget,
                                struct memory_holder *holder, gsize bytes);
void memory_budget_end_promise (struct memory_budget *budget,
                                struct memory_holder *holder);
gboolean memory_budget_is_tight (const struct memory_budget *budget);
gboolean memory_budget_is_over (const struct memory_budget *budget);
struct memory_holder *memory_budget_victim (const struct memory_budget *budget);
gsize memory_holder_kept (const struct memory_holder *holder);

#endif
