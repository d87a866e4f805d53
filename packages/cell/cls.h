/* The classes of one cell and their queues of waiting tickets.  */
#ifndef CLS_H
#define CLS_H

#include "cell/tkt.h"
#include "config/cfg.h"

struct cls
{
  struct cfg_class cfg; /* copy of the configuration's entry */
  GSequence *waiting;   /* of struct tkt, the oldest first */
  guint n_running;      /* tickets granted or running */
};

struct cls *cls_new (const struct cfg_class *cfg);
void cls_free (struct cls *cls);
void cls_push (struct cls *cls, struct tkt *tkt);
void cls_remove (struct cls *cls, struct tkt *tkt);
guint cls_n_waiting (const struct cls *cls);
struct tkt *cls_oldest (const struct cls *cls);

#endif
