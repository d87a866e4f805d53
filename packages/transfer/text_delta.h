/* What has changed from one long text to the next, in a form that is short if
   few parts of it have. The time to make and to apply it grows with the length
   of the texts.  */
#ifndef TEXT_DELTA_H
#define TEXT_DELTA_H

#include "base/err.h"
#include "base/str.h"

GBytes *text_delta_encode (struct str base, struct str text);
GBytes *text_delta_apply (struct str base, struct str delta, gsize max,
                          struct err *err);

/* The latest texts, for peers that have one of them. */
struct text_history;

struct text_history *text_history_new (void);
void text_history_free (struct text_history *history);
void text_history_add (struct text_history *history, GBytes *text);
guint64 text_history_digest (const struct text_history *history);
gsize text_history_kept (const struct text_history *history);
void text_history_note_delta (struct text_history *history, guint64 base_digest,
                              GBytes *delta);
GBytes *text_history_delta (struct text_history *history, guint64 base_digest);

#endif
