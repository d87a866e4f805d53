#include "ledger/led.h"
struct led *
led_new (const struct led_options *o)
{
  (void)o;
  return (struct led *)g_malloc0 (1);
}
void
led_free (struct led *l)
{
  g_free (l);
}
guint
led_shard_of (const guint8 key[MSG_KEY_BYTES])
{
  return key[0] % LED_SHARDS;
}
void
led_intent (struct led *l, const char *f, const struct msg_ledger_intent *i)
{
  (void)l;
  (void)f;
  (void)i;
}
void
led_result (struct led *l, const char *f, const struct msg_ledger_result *i)
{
  (void)l;
  (void)f;
  (void)i;
}
void
led_answer (struct led *l, guint64 t, const struct sto_answer *a)
{
  (void)l;
  (void)t;
  (void)a;
}
void
led_tick (struct led *l)
{
  (void)l;
}
void
led_dump (const struct led *l, JsonBuilder *j)
{
  (void)l;
  (void)j;
}
