/* Main function of the CUnit programs in tests/unit. */
#ifndef UNIT_H
#define UNIT_H

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <glib.h>

/* Runs SUITES and prints the line "unit: N passed, N failed", which counts
   tests. Returns the exit status: 0 only if tests were run and all passed.  */
static inline int
unit_run (CU_SuiteInfo *suites)
{
  if (CU_initialize_registry () != CUE_SUCCESS
      || CU_register_suites (suites) != CUE_SUCCESS)
    return 2;
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned run = CU_get_number_of_tests_run ();
  unsigned failed = CU_get_number_of_tests_failed ();
  g_print ("unit: %u passed, %u failed\n", run - failed, failed);
  CU_cleanup_registry ();
  return failed || run == 0 ? 1 : 0;
}

#define UNIT_MAIN(suites)                                                      \
  int main (void) { return unit_run (suites); }

#endif
