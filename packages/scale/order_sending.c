#include "scale/server_orders_internal.h"

#include "base/log.h"

#include <stdlib.h>
#include <string.h>

/* The text of the stored section, and which orders are due. An order is sent
   only after its number is stored, so that a later holder continues from what
   the platform may have been told.  */

/* A call without a result by then was dropped; calls time out much earlier. */
#define CALL_LOST_US (5 * CLK_S)
#define RETRY_MIN_US (200 * CLK_MS)
#define RETRY_MAX_US (2 * CLK_S)
#define NUMBER_MAX 100000 /* of servers in a section */

#define FIELDS 4 /* of an entry: service, domain, regular and spot servers */

static gboolean
read_wanted (const char *text, gint *number)
{
  char *end;
  long value = strtol (text, &end, 10);
  if (strcmp (text, "-") == 0)
    value = ORDER_NO_NUMBER;
  else if (end == text || *end != '\0' || value < 0 || value > NUMBER_MAX)
    return FALSE;
  *number = (gint)value;
  return TRUE;
}

/* Reads one entry of a section; one that cannot be read is left out, and its
   servers stay as they are.  */
static void
load_entry (struct server_orders *orders, const char *text)
{
  gint numbers[SERVER_KINDS];
  char **fields = g_strsplit (text, " ", FIELDS + 1);
  if (g_strv_length (fields) == FIELDS && str_id_ok (str_of (fields[0]))
      && str_id_ok (str_of (fields[1]))
      && read_wanted (fields[2], &numbers[SERVER_REGULAR])
      && read_wanted (fields[3], &numbers[SERVER_SPOT]))
    {
      struct order_subject *subject
          = server_orders_subject (orders, fields[0], fields[1]);
      for (guint k = 0; k < SERVER_KINDS; k++)
        {
          struct order_kind *kind = &subject->kinds[k];
          kind->wanted = kind->stored = numbers[k];
          kind->told = MAX (kind->told, (guint)MAX (numbers[k], 0));
        }
    }
  g_strfreev (fields);
}

/* Begins with SECTION, which the last holder stored. The numbers are sent again
   once the fleet has been looked at. After a change of ERA the section may be
   older than the orders that the platform has, so it goes by what runs.  */
void
server_orders_load (struct server_orders *orders, struct str section,
                    gboolean era_changed, gint64 now)
{
  for (guint i = 0; i < orders->subjects->len; i++)
    {
      struct order_subject *subject = g_ptr_array_index (orders->subjects, i);
      for (guint k = 0; k < SERVER_KINDS; k++)
        {
          struct order_kind *kind = &subject->kinds[k];
          kind->wanted = kind->given = kind->stored = ORDER_NO_NUMBER;
          kind->accepted = ORDER_NO_NUMBER;
          kind->sent_at = kind->short_since = 0;
          kind->repeats = kind->reached = 0;
        }
    }
  if (!era_changed)
    {
      char *text = str_dup (section);
      char **entries = g_strsplit (text, ";", -1);
      for (guint i = 0; entries[i] != NULL; i++)
        if (*entries[i] != '\0')
          load_entry (orders, entries[i]);
      g_strfreev (entries);
      g_free (text);
    }
  orders->is_loaded = orders->adopt = TRUE;
  orders->history_since = now;
  orders->retry_at = orders->retry_us = 0;
}

static void
append_number (GString *section, gint number)
{
  if (number == ORDER_NO_NUMBER)
    g_string_append (section, " -");
  else
    g_string_append_printf (section, " %d", number);
}

/* Appends the text that is to be stored, in any case. Returns TRUE if it
   differs from what is stored.  */
gboolean
server_orders_prepare (struct server_orders *orders, gint64 now,
                       GString *section)
{
  gboolean changed = FALSE;
  (void)now;
  for (guint i = 0; i < orders->subjects->len; i++)
    {
      struct order_subject *subject = g_ptr_array_index (orders->subjects, i);
      struct order_kind *kinds = subject->kinds;
      for (guint k = 0; k < SERVER_KINDS; k++)
        {
          changed |= kinds[k].wanted != kinds[k].stored;
          kinds[k].given = kinds[k].wanted;
        }
      if (kinds[SERVER_REGULAR].wanted == ORDER_NO_NUMBER
          && kinds[SERVER_SPOT].wanted == ORDER_NO_NUMBER)
        continue;
      g_string_append_printf (section, "%s %s", subject->service,
                              subject->domain);
      append_number (section, kinds[SERVER_REGULAR].wanted);
      append_number (section, kinds[SERVER_SPOT].wanted);
      g_string_append_c (section, ';');
    }
  return changed;
}

/* The text that server_orders_prepare gave last is stored.  */
void
server_orders_stored (struct server_orders *orders, gint64 now)
{
  (void)now;
  for (guint i = 0; i < orders->subjects->len; i++)
    {
      struct order_subject *subject = g_ptr_array_index (orders->subjects, i);
      for (guint k = 0; k < SERVER_KINDS; k++)
        subject->kinds[k].stored = subject->kinds[k].given;
    }
}

/* Returns whether the number of KIND is stored and has to be sent.  */
static gboolean
is_due (const struct order_kind *kind, gint64 now)
{
  return kind->wanted != ORDER_NO_NUMBER && kind->wanted == kind->stored
         && kind->wanted != kind->accepted
         && !(kind->wanted == kind->refused && now < kind->refused_until)
         && (kind->sent_at == 0 || now - kind->sent_at > CALL_LOST_US);
}

/* Returns whether an addition to kind K of SUBJECT has to wait until the
   platform has taken a reduction of the other kind: it might count more than
   the maximum otherwise.  */
static gboolean
must_wait (const struct order_subject *subject, guint k)
{
  const struct order_kind *kind = &subject->kinds[k];
  const struct order_kind *other = &subject->kinds[SERVER_KINDS - 1 - k];
  return kind->wanted > (gint)kind->told && (gint)other->told > other->wanted
         && (guint)kind->wanted + other->told > subject->max;
}

/* Fills in an order that is due, additions first. Returns FALSE if there is
   none.  */
gboolean
server_orders_next (struct server_orders *orders, gint64 now,
                    struct server_order *order)
{
  struct order_subject *found = NULL;
  guint found_kind = 0;
  gint most = G_MININT;
  if (orders->adopt || now < orders->retry_at)
    return FALSE;
  for (guint i = 0; i < orders->subjects->len; i++)
    {
      struct order_subject *subject = g_ptr_array_index (orders->subjects, i);
      for (guint k = 0; k < SERVER_KINDS && subject->is_scaled; k++)
        {
          const struct order_kind *kind = &subject->kinds[k];
          gint more = kind->wanted - (gint)kind->ready;
          if (!is_due (kind, now) || must_wait (subject, k) || more <= most)
            continue;
          most = more;
          found = subject;
          found_kind = k;
        }
    }
  if (found == NULL)
    return FALSE;
  *order = (struct server_order){ .is_spot = found_kind == SERVER_SPOT,
                                  .desired
                                  = (guint)found->kinds[found_kind].wanted };
  g_strlcpy (order->service, found->service, sizeof order->service);
  g_strlcpy (order->domain, found->domain, sizeof order->domain);
  found->kinds[found_kind].sent_at = now;
  found->kinds[found_kind].told
      = MAX (found->kinds[found_kind].told, order->desired);
  return TRUE;
}

static void
log_result (const struct order_subject *subject,
            const struct server_order *order, const char *event, int code)
{
  log_write (
      &(struct log_entry){ .level = code == 0              ? LOG_INFO
                                    : code == ERR_CONFLICT ? LOG_WARN
                                                           : LOG_DEBUG,
                           .event = event },
      "service=%s domain=%s kind=%s desired=%u reason=%s load=%.2f result=%s",
      order->service, order->domain,
      server_kind_name (order->is_spot ? SERVER_SPOT : SERVER_REGULAR),
      order->desired, server_orders_reason_name (subject->reason),
      subject->planned_load, code == 0 ? "accepted" : err_name (code));
}

/* Takes the platform's result CODE for ORDER: 0, ERR_CONFLICT for no capacity,
   or another error, after which the same number is sent again.  */
void
server_orders_done (struct server_orders *orders,
                    const struct server_order *order, int code, gint64 now)
{
  struct order_subject *subject
      = server_orders_subject (orders, order->service, order->domain);
  struct order_kind *kind
      = &subject->kinds[order->is_spot ? SERVER_SPOT : SERVER_REGULAR];
  if (kind->sent_at == 0) /* of a former term of the lease */
    return;
  kind->sent_at = 0;
  if (code == 0 || code == ERR_CONFLICT)
    orders->retry_at = orders->retry_us = 0;
  if (code == 0)
    {
      kind->accepted = (gint)order->desired;
      kind->told = order->desired;
      kind->refused = ORDER_NO_NUMBER;
      if (now >= kind->refused_until)
        kind->refusal_us = 0;
      kind->step_max
          = kind->step_max >= order->desired ? 0 : kind->step_max * 2;
      server_orders_count (orders, COUNTER_SCALE_ACCEPTED);
      log_result (subject, order, "order.sent", code);
    }
  else if (code == ERR_CONFLICT)
    {
      guint had = kind->accepted != ORDER_NO_NUMBER ? (guint)kind->accepted
                                                    : kind->ready;
      had = MIN (had, order->desired);
      kind->told = had;
      /* Part of the servers may still be had. */
      kind->step_max = MAX ((order->desired - had) / 2, 1);
      kind->refused = (gint)order->desired;
      server_orders_refuse (kind, had, now);
      if (kind->wanted > (gint)had)
        kind->wanted = (gint)had;
      subject->reason = ORDER_REFUSED;
      server_orders_count (orders, COUNTER_SCALE_REFUSED);
      log_result (subject, order, "order.refused", code);
    }
  else
    {
      orders->retry_us
          = CLAMP (orders->retry_us * 2, RETRY_MIN_US, RETRY_MAX_US);
      orders->retry_at = now + orders->retry_us;
      server_orders_count (orders, COUNTER_SCALE_FAILED);
      log_result (subject, order, "order.not_sent", code);
    }
}
