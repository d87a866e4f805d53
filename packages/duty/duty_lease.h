/* The lease of the instance that performs the duties: usage reports and server
   orders. At most one instance holds it, by a record in the platform's object
   store that is written only on condition of its version. A pure state machine
   without I/O.

   The holder measures its term from the time at which it sent the last write
   that took effect. A candidate writes only after it has seen the same version,
   nonce and era for a whole term and a margin, also after a holder that has
   stopped: without a shortcut, calls of A, B and A again are at least a term
   apart. Clocks count suspension and are not compared between instances.

   It does not use packages/lease: that one releases the lease, acquires it
   without a wait then, takes the version as the fencing token, which does not
   grow when the store is restored, and has no contents.  */
#ifndef DUTY_LEASE_H
#define DUTY_LEASE_H

#include <json-glib/json-glib.h>

#include "base/clock.h"
#include "store/storage.h"

#define DUTY_LEASE_OBJECT "duties"
/* Added to a candidate's wait, and subtracted from the term at a call. */
#define DUTY_LEASE_MARGIN_US (300 * CLK_MS)

/* Parts of the record that others fill in. X (NAME, "name") */
#define DUTY_SECTIONS(X)                                                       \
  X (USAGE, "usage")                                                           \
  X (ORDERS, "orders")

enum duty_section
{
#define DUTY_SECTION_ENUM(id, name) DUTY_SECTION_##id,
  DUTY_SECTIONS (DUTY_SECTION_ENUM)
#undef DUTY_SECTION_ENUM
      DUTY_SECTION_N
};

struct duty_lease;

struct duty_lease_options
{
  const struct clk *clk; /* counts suspension; borrowed */
  guint32 seed;
  const char *id;      /* of this instance, copied */
  const char *address; /* of its machine, copied */
  guint64 incarnation;
  gint64 term_us;
  /* Returns the true time, microseconds since 1970. */
  gint64 (*true_now) (void *ctx);
  /* Starts REQUEST; its response must be passed to duty_lease_response with
     the same TOKEN. */
  void (*start_request) (void *ctx, guint64 token,
                         const struct storage_request *request);
  void (*acquired) (void *ctx);
  void (*lost) (void *ctx, const char *cause);
  /* The text that was set last for SECTION is durable. */
  void (*stored) (void *ctx, enum duty_section section);
  void *ctx;
};

/* What the lease needs to know at each tick. */
struct duty_lease_view
{
  gboolean wanted; /* a candidate whose turn it is, or a holder that goes on;
                      without it, a lease that is held expires */
  guint64 heard_fence; /* highest one heard of; 0: none */
  guint64 known_era; /* newest one of the store known by other ways; 0: none */
};

struct duty_lease *duty_lease_new (const struct duty_lease_options *options);
void duty_lease_free (struct duty_lease *lease);
void duty_lease_tick (struct duty_lease *lease,
                      const struct duty_lease_view *view);
void duty_lease_response (struct duty_lease *lease, guint64 token,
                          const struct storage_response *response);
gboolean duty_lease_is_held (const struct duty_lease *lease);
/* Returns the fencing token for a call that is sent now and takes TIMEOUT_US at
   most, or 0 if none may be sent. */
guint64 duty_lease_call_fence (const struct duty_lease *lease,
                               gint64 timeout_us);
guint64 duty_lease_fence (const struct duty_lease *lease);
/* Clock time at which the lease that is held ends, unless it is renewed. */
gint64 duty_lease_valid_until (const struct duty_lease *lease);
struct str duty_lease_section (const struct duty_lease *lease,
                               enum duty_section section,
                               gboolean *era_changed);
void duty_lease_set_section (struct duty_lease *lease,
                             enum duty_section section, struct str text);
void duty_lease_dump (const struct duty_lease *lease, JsonBuilder *json);

#endif
