/* The lives of backend servers that have said that they are leaving. A life
   lasts from one start of a server to the next. The records outlast the
   servers' entries in the list, so that an entry that is removed and comes back
   does not make the server ready again.  */
#ifndef LEAVE_RECORDS_H
#define LEAVE_RECORDS_H

#include <glib.h>

struct registry_entry;
struct leave_records;

struct leave_records *leave_records_new (void);
void leave_records_free (struct leave_records *leave_records);
void leave_records_add (struct leave_records *leave_records,
                        const struct registry_entry *entry, gint64 first_at,
                        gint64 now);
gint64 leave_records_find (struct leave_records *leave_records,
                           const struct registry_entry *entry, gint64 now);
gint64 leave_records_first_response (const struct leave_records *leave_records,
                                     const struct registry_entry *entry,
                                     gint64 from);
gint64 leave_records_find_earlier (struct leave_records *leave_records,
                                   const struct registry_entry *entry,
                                   gint64 from, gint64 now);
void leave_records_expire (struct leave_records *leave_records, gint64 now);

#endif
