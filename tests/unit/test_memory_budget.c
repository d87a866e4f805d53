/* Which of those that keep memory take less or give up when there is too much.
   Guards against a process that runs out of memory though each of its parts is
   within its limits, and against small requests that pay for large ones.  */
#include "unit/unit.h"

#include "policy/memory_budget.h"

#define KB ((gsize)1024)
#define MB (1024 * KB)
#define HOLDERS_MAX 400

struct load
{
  struct memory_budget budget;
  struct memory_holder holders[HOLDERS_MAX];
  guint n;
};

static struct load *
load_new (gsize limit)
{
  struct load *load = g_new0 (struct load, 1);
  memory_budget_init (&load->budget, limit);
  return load;
}

static struct memory_holder *
add (struct load *load, guint tier, gsize kept)
{
  struct memory_holder *holder = &load->holders[load->n++];
  holder->tier = tier;
  memory_budget_add (&load->budget, holder);
  memory_budget_set (&load->budget, holder, kept);
  return holder;
}

/* Lets holders give up until the rest fits. Returns how many did.  */
static guint
relieve (struct load *load)
{
  guint n = 0;
  while (memory_budget_is_over (&load->budget))
    {
      struct memory_holder *victim = memory_budget_victim (&load->budget);
      CU_ASSERT_PTR_NOT_NULL_FATAL (victim);
      memory_budget_remove (&load->budget, victim);
      n++;
    }
  return n;
}

/* Responses without end beside many small requests: only those grow too large,
   and only they give up.  */
static void
test_endless_responses (void)
{
  struct load *load = load_new (20 * MB);
  struct memory_holder *endless[18];
  for (guint i = 0; i < 300; i++)
    add (load, 9, 16 * KB);
  for (guint i = 0; i < G_N_ELEMENTS (endless); i++)
    endless[i] = add (load, 0, 64 * KB);
  for (guint round = 1; round < 100; round++)
    {
      for (guint i = 0; i < G_N_ELEMENTS (endless); i++)
        if (endless[i]->link.data != NULL)
          memory_budget_set (&load->budget, endless[i], round * 64 * KB);
      relieve (load);
      CU_ASSERT_TRUE (load->budget.kept <= 20 * MB);
    }
  for (guint i = 0; i < 300; i++)
    CU_ASSERT_PTR_NOT_NULL (load->holders[i].link.data);
  g_free (load);
}

static void
test_least_urgent_of_the_large (void)
{
  struct load *load = load_new (10 * MB);
  add (load, 1, 5 * MB);
  struct memory_holder *less_urgent = add (load, 3, 4 * MB);
  add (load, 9, 2 * MB); /* small beside them */
  CU_ASSERT_PTR_EQUAL (memory_budget_victim (&load->budget), less_urgent);
  CU_ASSERT_EQUAL (relieve (load), 1);
  g_free (load);
}

static void
test_largest_of_equal_urgency (void)
{
  struct load *load = load_new (10 * MB);
  add (load, 2, 4 * MB);
  struct memory_holder *largest = add (load, 2, 7 * MB);
  CU_ASSERT_PTR_EQUAL (memory_budget_victim (&load->budget), largest);
  g_free (load);
}

/* Sixty bodies of 4 MB at once: those that have begun come to their end, and
   the others wait and take their turns.  */
static void
test_promises (void)
{
  struct load *load = load_new (20 * MB);
  guint ended = 0;
  for (guint i = 0; i < 60; i++)
    add (load, 0, 64 * KB);
  for (guint round = 0; round < 40 && ended < 60; round++)
    {
      for (guint i = 0; i < 60; i++)
        if (load->holders[i].link.data != NULL
            && memory_budget_promise (&load->budget, &load->holders[i], 4 * MB))
          memory_budget_set (&load->budget, &load->holders[i], 4 * MB);
      CU_ASSERT_FALSE (memory_budget_is_over (&load->budget));
      for (guint i = 0; i < 60; i++)
        if (load->holders[i].kept == 4 * MB)
          {
            memory_budget_remove (&load->budget, &load->holders[i]);
            ended++;
          }
    }
  CU_ASSERT_EQUAL (ended, 60);
  CU_ASSERT_EQUAL (load->budget.kept, 0);
  CU_ASSERT_EQUAL (load->budget.promised, 0);
  g_free (load);
}

/* Promises count before they are kept, and end with their holder.  */
static void
test_promise_counts (void)
{
  struct load *load = load_new (8 * MB);
  struct memory_holder *first = add (load, 0, MB);
  struct memory_holder *second = add (load, 0, MB);
  CU_ASSERT_TRUE (memory_budget_promise (&load->budget, first, 4 * MB));
  CU_ASSERT_TRUE (memory_budget_promise (&load->budget, first, 4 * MB));
  CU_ASSERT_FALSE (memory_budget_promise (&load->budget, second, 4 * MB));
  CU_ASSERT_FALSE (memory_budget_is_tight (&load->budget));
  memory_budget_set (&load->budget, first, 4 * MB);
  CU_ASSERT_FALSE (memory_budget_promise (&load->budget, second, 4 * MB));
  memory_budget_remove (&load->budget, first);
  CU_ASSERT_TRUE (memory_budget_promise (&load->budget, second, 4 * MB));
  memory_budget_end_promise (&load->budget, second);
  CU_ASSERT_EQUAL (load->budget.promised, 0);
  CU_ASSERT_EQUAL (load->budget.kept, MB);
  g_free (load);
}

static void
test_no_limit (void)
{
  struct load *load = load_new (0);
  struct memory_holder *holder = add (load, 0, 900 * MB);
  CU_ASSERT_FALSE (memory_budget_is_tight (&load->budget));
  CU_ASSERT_FALSE (memory_budget_is_over (&load->budget));
  CU_ASSERT_TRUE (memory_budget_promise (&load->budget, holder, 2000 * MB));
  g_free (load);
}

static CU_TestInfo tests[] = {
  { "responses without end", test_endless_responses },
  { "the least urgent of the large ones", test_least_urgent_of_the_large },
  { "the largest of equal urgency", test_largest_of_equal_urgency },
  { "sixty long bodies", test_promises },
  { "promises count", test_promise_counts },
  { "no limit", test_no_limit },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "memory_budget", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
