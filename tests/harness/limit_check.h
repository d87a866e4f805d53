/* Whether instances keep to the limits that a backend server of a test names:
   the requests a second that it takes from all of them together. Times are
   monotonic microseconds.  */
#ifndef LIMIT_CHECK_H
#define LIMIT_CHECK_H

#include <glib.h>

/* The users' rule: in any LIMIT_CHECK_WINDOW_US that ends later than
   LIMIT_CHECK_SETTLE_US after the server first named a limit, instances that
   it had told LIMIT_CHECK_HEARD_US before send no more than
   LIMIT_CHECK_FACTOR times what it allows and LIMIT_CHECK_SLACK requests.  */
#define LIMIT_CHECK_WINDOW_US (4 * G_USEC_PER_SEC)
#define LIMIT_CHECK_SETTLE_US (4 * G_USEC_PER_SEC)
#define LIMIT_CHECK_HEARD_US (G_USEC_PER_SEC / 2)
#define LIMIT_CHECK_FACTOR 1.5
#define LIMIT_CHECK_SLACK 5

struct limit_check;

struct limit_check *limit_check_new (void);
void limit_check_free (struct limit_check *check);
/* The server names PER_S from now on; 0: none any more.  */
void limit_check_name (struct limit_check *check, double per_s, gint64 now);
/* Returns what it names; 0: nothing.  */
double limit_check_named (const struct limit_check *check);
/* A request has arrived from SENDER, a process; its response names the limit.
 */
void limit_check_arrived (struct limit_check *check, gconstpointer sender,
                          gint64 now);
/* Returns by how many requests the rule is broken at worst; 0: it is kept.
   MOST, unless NULL, gets the most requests that counted in one window.  */
guint limit_check_excess (const struct limit_check *check, guint *most);
/* Returns how many requests arrived between FROM and TO.  */
guint limit_check_count (const struct limit_check *check, gint64 from,
                         gint64 to);

#endif
