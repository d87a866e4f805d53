/* Structured logging through log4c: one JSON object per line on standard
   output. Logging never blocks; lines over the rate limit, or that standard
   output does not take at once, are dropped and counted.  */
#ifndef LOG_H
#define LOG_H

#include <glib.h>

#include "base/str.h"

enum log_level
{
  LOG_ERROR,
  LOG_WARN,
  LOG_INFO,
  LOG_DEBUG
};

struct log_entry
{
  enum log_level level;
  const char *event;      /* name of the event, such as "request.end" */
  const char *request_id; /* NULL if none */
  const char *step;       /* NULL if none */
  const char *peer;       /* NULL if none */
};

int log_open (const char *instance, enum log_level level);
void log_close (void);
guint64 log_dropped (void);
gboolean log_enabled (enum log_level level);
void log_write (const struct log_entry *entry, const char *format, ...)
    G_GNUC_PRINTF (2, 3);
gboolean log_level_parse (const char *name, enum log_level *level);

#define log_event(lvl, ev, ...)                                                \
  log_write (&(struct log_entry){ .level = (lvl), .event = (ev) }, __VA_ARGS__)

#endif
