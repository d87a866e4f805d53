/* The object API over HTTP by libsoup; docs/INTERFACES.md gives the
   requests.  */
#ifndef PLT_HTTP_H
#define PLT_HTTP_H

#include "base/clk.h"
#include "base/ctr.h"
#include "store/sto.h"

struct plt_http;

struct plt_http_options
{
  const char *address; /* IP:PORT */
  const char *token;   /* bearer token; NULL: none */
  struct ctr *ctr;     /* borrowed */
};

struct plt_http *plt_http_new (const struct plt_http_options *options);
/* Cancels what is open; no DONE is called any more. */
void plt_http_free (struct plt_http *plt);
/* Starts REQUEST; DONE is called once from the loop, never before return. */
void plt_http_start (struct plt_http *plt, const struct sto_call *request,
                     sto_done done, void *ctx);

#endif
