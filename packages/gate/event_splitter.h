/* Splits an event stream into whole events and reads their ids, so that a
   broken stream can go on after the last whole one.  */
#ifndef SES_H
#define SES_H

#include <glib.h>

#include "base/str.h"

#define SES_ID_MAX 127              /* bytes of an id */
#define SES_EVENT_MAX (1024 * 1024) /* bytes of one event */

struct ses
{
  GString *partial;          /* the start of an event that is not whole */
  char last[SES_ID_MAX + 1]; /* id of the last whole event; "" if none */
  guint events;              /* whole ones so far */
};

void ses_init (struct ses *ses);
void ses_clear (struct ses *ses);
gboolean ses_take (struct ses *ses, struct str bytes, GString *whole);
gboolean ses_is_between (const struct ses *ses);
void ses_drop_partial (struct ses *ses);

#endif
