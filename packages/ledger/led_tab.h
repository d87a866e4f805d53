/* The keys of one shard in memory: the records of the head object in full,
   those of the closed segments without their answers. Internal to the
   package.  */
#ifndef LED_TAB_H
#define LED_TAB_H

#include <glib.h>

#include "base/str.h"
#include "msg/msg.h"

/* What is recorded of a key. X (NAME, "name") */
#define LED_STATES(X)                                                          \
  X (NONE, "none")     /* nothing */                                           \
  X (INTENT, "intent") /* the call may run or have run */                      \
  X (DONE, "done")     /* the call's answer; final */                          \
  X (FREED, "freed")   /* the ticket's call certainly did not run */

enum led_state
{
#define LED_STATE_ENUM(id, name) LED_##id,
  LED_STATES (LED_STATE_ENUM)
#undef LED_STATE_ENUM
};

#define LED_IN_HEAD G_MAXUINT32 /* led_rec.seq of a record in the head */

/* An answer in one block with its bytes; freed by g_free. */
struct led_kept
{
  guint32 status;          /* HTTP status */
  struct str content_type; /* in this block */
  struct str answer;       /* in this block */
};

/* An incarnation of an entry. */
struct led_holder
{
  struct str_id id;
  guint64 incarnation;
};

struct led_rec
{
  guint8 key[MSG_KEY_BYTES];
  guint8 body[MSG_KEY_BYTES];
  guint64 ticket;
  struct led_kept *kept; /* DONE in the head, owned; else NULL */
  guint32 holder;        /* led_tab_holder's number */
  guint32 time;          /* of the intent, seconds since 1970 UTC */
  guint32 seq;           /* newest segment that has it, or LED_IN_HEAD */
  guint8 state;          /* enum led_state */
};

struct led_tab
{
  GHashTable *recs;         /* set of struct led_rec, by key */
  GPtrArray *head;          /* struct led_rec in the head, borrowed */
  GHashTable *segments;     /* loaded ones by number */
  GPtrArray *holders;       /* struct led_holder, owned */
  GHashTable *holder_index; /* struct led_holder to number */
  guint32 first;            /* oldest segment in retention */
  guint32 next;             /* number of the next segment */
  guint64 closes;           /* version of the head closed last */
};

struct led_kept *led_kept_new (guint32 status, struct str content_type,
                               struct str answer);
const char *led_state_name (guint state);
guint led_key_hash (gconstpointer rec);
gboolean led_key_equal (gconstpointer a, gconstpointer b);

struct led_tab *led_tab_new (void);
void led_tab_free (struct led_tab *tab);
guint32 led_tab_holder (struct led_tab *tab, struct str id,
                        guint64 incarnation);
const struct led_holder *led_tab_holder_at (const struct led_tab *tab,
                                            guint32 holder);
const struct led_rec *led_tab_find (const struct led_tab *tab,
                                    const guint8 key[MSG_KEY_BYTES]);
guint led_tab_size (const struct led_tab *tab);
void led_tab_put (struct led_tab *tab, const struct led_rec *rec);
void led_tab_clear_head (struct led_tab *tab);
gboolean led_tab_has_segment (const struct led_tab *tab, guint32 seq);
void led_tab_reopen_segment (struct led_tab *tab, guint32 seq);
void led_tab_add_segment (struct led_tab *tab, guint32 seq, guint32 time);
void led_tab_put_segment (struct led_tab *tab, guint32 seq,
                          const struct led_rec *rec);
void led_tab_close_head (struct led_tab *tab, guint32 seq, guint32 time);
guint32 led_tab_expired (const struct led_tab *tab, guint32 before);
void led_tab_expire (struct led_tab *tab, guint32 first);

#endif
