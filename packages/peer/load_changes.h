/* Loads at backend servers as messages tell them. Each has the number of the
   change that set it, and a peer says through which number it holds a list, so
   a message has only what has changed since. Numbers rise over all lists of an
   instance, and those of one incarnation mean nothing to the next.  */
#ifndef LOAD_CHANGES_H
#define LOAD_CHANGES_H

#include "peer/gossip_message.h"

struct load_changes;

struct load_changes *load_changes_new (guint64 *number, guint tolerance);
void load_changes_free (struct load_changes *changes);
void load_changes_begin (struct load_changes *changes);
void load_changes_set (struct load_changes *changes,
                       const struct gossip_message_load *load, gint64 now);
void load_changes_end (struct load_changes *changes, gint64 now);
guint load_changes_since (const struct load_changes *changes, guint64 held,
                          struct gossip_message_load *loads,
                          struct gossip_message_range *range);

#endif
