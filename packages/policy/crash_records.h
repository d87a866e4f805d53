/* Crashes in the form in which they are kept in a store: text, one line each.
   All instances write the same object, which has what all of them know. Parts
   of prompts and requests are named by their hashes only.  */
#ifndef CRASH_RECORDS_H
#define CRASH_RECORDS_H

#include "policy/crash_suspects.h"

struct crash_records_written
{
  guint n;         /* crashes */
  guint64 through; /* number of the last change that they cover */
};

gboolean crash_records_are_due (const struct suspects *suspects,
                                gboolean is_responsible, gint64 now);
GBytes *crash_records_write (const struct suspects *suspects,
                             gint64 wall_offset, guint max,
                             struct crash_records_written *written);
void crash_records_saved (struct suspects *suspects, guint64 through);
int crash_records_load (struct suspects *suspects, struct str text,
                        gint64 wall_offset, gint64 now);
void crash_records_loaded (struct suspects *suspects);
void crash_records_lost (struct suspects *suspects);
void crash_records_set_failing (struct suspects *suspects, gboolean failing);

#endif
