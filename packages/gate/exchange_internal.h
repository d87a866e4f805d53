/* Internal declarations shared by the files of an exchange.  */
#ifndef EXCHANGE_INTERNAL_H
#define EXCHANGE_INTERNAL_H

#include "base/log.h"
#include "gate/reverse_proxy_internal.h"

/* After which a client may return for which nothing better is known; also
   without a configuration, as the first one normally arrives within a second.
 */
#define DEFAULT_RETRY_US (500 * CLK_MS)

#define LOGGED_ID_MAX 40 /* bytes of an event id in the log */

/* An event id as the log shows it.  */
struct logged_id
{
  char text[LOGGED_ID_MAX + 1];
};

#define LOGGED_PARTS_MAX 8 /* of a prompt in the log */

/* Keys of the shared parts of a prompt, or of the request, as the log shows
   them.  */
struct logged_parts
{
  char text[LOGGED_PARTS_MAX * 17 + 1];
};

struct logged_parts exchange_logged_parts (const struct exchange *exchange);
struct logged_parts
exchange_logged_fingerprints (const struct exchange *exchange);
struct logged_id exchange_logged_id (struct str id);
struct logged_id exchange_logged_position (const struct exchange *exchange);
struct logged_id exchange_logged_resumes (const struct exchange *exchange);
struct log_entry exchange_log_record (const struct exchange *exchange,
                                      const char *event, const char *peer);

gint64 exchange_now (const struct exchange *exchange);
void exchange_transition (struct exchange *exchange, enum exchange_event event);
void exchange_log_end (const struct exchange *exchange, const char *outcome);
void exchange_end_attempt (struct exchange *exchange);
void exchange_enqueue (struct exchange *exchange);
void exchange_start_upstream (struct exchange *exchange,
                              struct registry_server *server,
                              const struct placement_choice *choice);
void exchange_reject (struct exchange *exchange, guint status, const char *code,
                      gint64 retry_after_us);
void exchange_send_outcome_unknown (struct exchange *exchange, guint status,
                                    const char *code);
struct retry_budget *exchange_retry_budget (struct exchange *exchange);
void exchange_identify (struct exchange *exchange);

void exchange_abort (struct exchange *exchange, const char *why);

#endif
