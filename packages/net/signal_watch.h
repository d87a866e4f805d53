/* Delivery of signals to the main loop, with the time of their arrival: a busy
   loop may handle them much later.  */
#ifndef SIGNAL_WATCH_H
#define SIGNAL_WATCH_H

#include "base/clock.h"
#include "base/err.h"

struct signal_watch;

/* ARRIVED_AT: clock time at which the process got the first of the signals that
   this call reports.  */
typedef void (*signal_watch_handler) (void *ctx, int signal, gint64 arrived_at);

struct signal_watch_options
{
  const int *signals; /* ends with 0; borrowed */
  /* Must be callable in a signal handler, as clk_boottime is; borrowed. */
  const struct clk *clk;
  signal_watch_handler handler;
  void *ctx;
};

struct signal_watch *
signal_watch_new (const struct signal_watch_options *options, struct err *err);
void signal_watch_free (struct signal_watch *signal_watch);

#endif
